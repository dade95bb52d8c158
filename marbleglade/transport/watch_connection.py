"""One connection to the discovery service: connects, reads with a time limit, and reads pending events."""

from __future__ import annotations

from collections.abc import Iterator

from gevent import socket

from ..protocols.discovery_protocol import EventDecoder, encode_subscription
from ..runtime import clock
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.units import MILLISECOND_NS, SECOND_NS
from .arrival import ArrivalBound
from .half_close import unread_input
from .sockets import READ_BUFFER, read_chunks, receive_available

MAX_UNREAD_NS = 50 * MILLISECOND_NS  # how long an event may be unread when an attempt is written
MAX_PENDING_READS = 16  # reads of unread events on one connection before an attempt is written


class WatchConnection:
    """A connection to the discovery service, from connecting to its end.

    Args:
        sock: The socket, not connected yet.
        loop: The monitor of the event loop.

    Attributes:
        decoder: Decodes the received bytes.
        last_line_at: When a line whose index was not an old one last arrived, ns; at first the opening time.
        closed: This side has closed the connection.
    """

    def __init__(self, sock: socket.socket, loop: LoopMonitor) -> None:
        self.decoder = EventDecoder()
        self.last_line_at = clock.now()
        self.closed = False
        self._sock = sock
        self._loop = loop
        self._arrivals: ArrivalBound | None = None  # None: not connected yet

    def connect(self, address: tuple[str, int], last_index: int, timeout_ns: int) -> None:
        """Connect and request all events after an index.

        Raises:
            OSError: Connecting failed; `TimeoutError` if the time-out passed first.
        """
        self._sock.settimeout(timeout_ns / SECOND_NS)
        self._sock.connect(address)
        self._sock.sendall(encode_subscription(last_index))
        self._arrivals = ArrivalBound(self._loop, self._loop.last_tick)

    def read(self, timeout_ns: int) -> Iterator[memoryview]:
        """Yield the received bytes until the service closes the connection; a view is valid until the next.

        Raises:
            TimeoutError: More than the time-out has passed since `last_line_at`.
            OSError: The connection failed.
        """
        assert self._arrivals is not None, "read() before connect()"
        for data in read_chunks(self._sock):
            self._arrivals.record_read(len(data) < len(READ_BUFFER))
            yield data
            # If the service sends old indexes or partial lines without a pause, no read ever blocks, so the
            # time-out of the socket never expires.
            remaining_ns = timeout_ns - (clock.now() - self.last_line_at)
            if remaining_ns <= 0:
                raise TimeoutError("received only old indexes, or no complete line, within the time-out")
            self._sock.settimeout(remaining_ns / SECOND_NS)
            self._arrivals.start_waiting()

    def may_have_unread_events(self) -> bool:
        """Return whether events may have been unread for longer than `MAX_UNREAD_NS`."""
        if self.closed or self._arrivals is None:
            return False
        return self._arrivals.may_be_unread_longer_than(clock.now(), MAX_UNREAD_NS)

    def read_pending(self) -> memoryview | None:
        """Return the unread bytes without blocking; None or empty if there are none, or only the end is left.

        Raises:
            OSError: The connection failed.
        """
        return receive_available(self._sock) if unread_input(self._sock).readable else None

    def close(self) -> None:
        """Close the connection; a greenlet that is reading it gets an error."""
        self.closed = True
        self._sock.close()
