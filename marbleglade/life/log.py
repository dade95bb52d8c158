"""The log: one JSON line an event on standard error; a line that would block is dropped and counted."""

from __future__ import annotations

import os
import select
import sys
import time

import orjson

from .counters import Counters


class Log:
    def __init__(self, name: str, counters: Counters, debug: bool = False, sink: int | None = None) -> None:
        self.name, self.counters, self.debug_on = name, counters, debug
        self.sink = sys.stderr.fileno() if sink is None else sink

    def say(self, event: str, **told: object) -> None:
        line = orjson.dumps({"at": time.time_ns() // 1_000_000, "front": self.name, "event": event} | told,
                            default=str, option=orjson.OPT_APPEND_NEWLINE)
        self.write(line)

    def write(self, line: bytes) -> None:
        """Passes a line on where that needs no waiting; else it is counted as dropped."""
        try:
            # A pipe that is ready takes a short line whole, so this never waits for its reader.
            if select.select([], [self.sink], [], 0)[1] and os.write(self.sink, line) == len(line):
                return
        except OSError:
            pass
        self.counters.add("log.dropped")

    def debug(self, event: str, **told: object) -> None:
        if self.debug_on:
            self.say(event, **told)
