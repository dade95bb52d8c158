"""Reads request lines from one connection of a control node, with limits on time and line length."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
from gevent import socket

from ...runtime import clock
from ...runtime.units import SECOND_NS
from ...transport.sockets import CALLS_PER_TURN, READ_BUFFER
from ..events.session import ProtocolError
from ..messages import MAX_REQUEST_LINE_BYTES

REQUEST_TIMEOUT_S = 3.0  # time for one complete line, which includes the wait for the first one
WATCH_TIMEOUT_S = 60.0  # timeout of one read from a watcher, which may stay idle; it is repeated


class RequestReader:
    """Reads from one connection and splits the data into lines.

    Args:
        sock: The socket of the connection.
        may_idle: Returns whether the peer may wait any length of time between two lines.
    """

    def __init__(self, sock: socket.socket, may_idle: Callable[[], bool]) -> None:
        self._sock = sock
        self._may_idle = may_idle

    def lines(self) -> Iterator[bytes]:
        """Yield complete lines until the peer closes its sending side.

        Raises:
            ProtocolError: A line is too long, or is not completed in time.
            OSError: The connection failed.
        """
        buffer = bytearray()
        started_at = clock.now()  # when the wait for the current line began
        reads = 0
        while data := self._read(bool(buffer), started_at):
            if not buffer:
                started_at = clock.now()
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            if any(len(line) > MAX_REQUEST_LINE_BYTES for line in [*lines, buffer]):
                raise ProtocolError("long_line", f"the line is longer than {MAX_REQUEST_LINE_BYTES} bytes")
            yield from map(bytes, lines)
            reads += 1
            if not reads % CALLS_PER_TURN:
                gevent.sleep(0)

    def _read(self, line_started: bool, started_at: int) -> bytes:
        """Return the next bytes, or `b""` at the end of the stream."""
        while True:
            timeout_s = WATCH_TIMEOUT_S
            if line_started or not self._may_idle():
                timeout_s = REQUEST_TIMEOUT_S - (clock.now() - started_at) / SECOND_NS
                if timeout_s <= 0:
                    raise ProtocolError("idle", f"no complete line within {REQUEST_TIMEOUT_S:g} s")
            self._sock.settimeout(timeout_s)
            try:
                return bytes(READ_BUFFER[: self._sock.recv_into(READ_BUFFER)])
            except TimeoutError:
                continue
