"""One connection of a client that uses this process as a cache, through the cache protocol."""

from __future__ import annotations

from typing import Generic

from gevent import socket
from gevent.lock import Semaphore

from ..protocols.cache_server_protocol import RequestDecoder
from ..runtime import clock
from ..runtime.timeouts import TimeLimit
from .arrival import ArrivalBound
from .request_service import RequestT
from .timed_write import acquire_within, send_within


class CacheServerConnection(Generic[RequestT]):
    """The state of one connection.

    Args:
        sock: The accepted socket.
        arrivals: Bounds the arrival time of unread bytes.

    Attributes:
        decoder: Decodes the received bytes.
        earliest_arrival: The earliest moment at which the bytes read last may have arrived, ns.
        open_requests: The open requests by the id that the client chose.
        active_at: When bytes were last read, ns; at first, when the connection was accepted.
        partial_since: When a read first left a request incomplete, ns; 0: no request is incomplete.
        closed: This side has closed the connection.
    """

    def __init__(self, sock: socket.socket, arrivals: ArrivalBound) -> None:
        self.sock = sock
        self.arrivals = arrivals
        self.decoder = RequestDecoder()
        self.earliest_arrival = 0
        self.open_requests: dict[str, RequestT] = {}
        self.active_at = clock.now()
        self.partial_since = 0
        self.closed = False
        self._write_lock = Semaphore()

    def update_partial_since(self) -> None:
        """Update `partial_since` after the requests of a read were handled."""
        if self.decoder.has_partial_request:
            self.partial_since = self.partial_since or self.active_at
        else:
            self.partial_since = 0

    def send(self, response: bytes, limit: TimeLimit) -> bool:
        """Write a response; return False if the client did not take it in time or the connection failed.

        Responses from several greenlets are written one after the other.
        """
        if not acquire_within(self._write_lock, limit):
            return False
        try:
            return self.closed or send_within(self.sock, response, limit)
        except OSError:
            return False
        finally:
            self._write_lock.release()
