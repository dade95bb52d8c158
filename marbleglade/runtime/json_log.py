"""Log of a process: one JSON line per event on standard error, written without blocking.

A line whose write would block is dropped and counted. If only a part of a line could be written, its rest is
written before the next line.
"""

from __future__ import annotations

import os
import select
import sys
import time

import orjson

from .counters import Counters
from .units import MILLISECOND_NS


class Log:
    """Writes events as JSON lines.

    Args:
        name: Name of the process, written in the field `front` of each line.
        counters: Counts dropped lines under `log.dropped`.
        debug: Whether events passed to `debug` are written too.
        sink: File descriptor to write to; None for standard error.
    """

    def __init__(self, name: str, counters: Counters, debug: bool = False, sink: int | None = None) -> None:
        self.name = name
        self.counters = counters
        self.debug_enabled = debug
        self.sink = sys.stderr.fileno() if sink is None else sink
        self.unwritten = bytearray()  # the rest of a partly written line

    def info(self, event: str, **fields: object) -> None:
        """Write an event."""
        line = orjson.dumps(
            {"at": time.time_ns() // MILLISECOND_NS, "front": self.name, "event": event} | fields,
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        self.write(line)

    def debug(self, event: str, **fields: object) -> None:
        """Write an event if debug events are on."""
        if self.debug_enabled:
            self.info(event, **fields)

    def write(self, line: bytes) -> None:
        """Write as much of a line as does not block; drop and count it if no byte of it can be written."""
        self._write_unwritten()
        if not self.unwritten:
            self.unwritten += line
            self._write_unwritten()
            if len(self.unwritten) < len(line):
                return
            self.unwritten.clear()
        self.counters.add("log.dropped")

    def _write_unwritten(self) -> None:
        # Writes at most PIPE_BUF bytes at once. A pipe that is ready accepts that much; a longer write (such
        # as the counters of a front with many upstreams) would block on a pipe that nobody reads.
        try:
            while self.unwritten and select.select([], [self.sink], [], 0)[1]:
                del self.unwritten[: os.write(self.sink, self.unwritten[: select.PIPE_BUF])]
        except OSError:
            pass
