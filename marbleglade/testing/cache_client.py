"""Client of the cache protocol on one connection, for requests to a gateway or a stand-in cache."""

from __future__ import annotations

import itertools
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.lock import Semaphore

from ..protocols.cache_protocol import InvalidLineError, ResponseDecoder, UpstreamRequest, UpstreamResponse

CONNECT_TIMEOUT_SECONDS = 2
DEFAULT_TIMEOUT_MS = 2000


class CacheClient:
    """One connection to a cache. Several requests may be in flight; responses are matched to them by id.

    Attributes:
        closed: Whether the connection could not be opened or has been closed.
    """

    _request_ids = itertools.count(1)

    def __init__(self, address: tuple[str, int]) -> None:
        self.closed = False
        self._pending: dict[str, AsyncResult[UpstreamResponse | None]] = {}
        self._write_lock = Semaphore()
        self._decoder = ResponseDecoder()
        try:
            self.sock = socket.create_connection(address, CONNECT_TIMEOUT_SECONDS)
            self.sock.settimeout(None)
            gevent.spawn(self._read)
        except OSError:
            self.closed = True

    def _read(self) -> None:
        with suppress(OSError, InvalidLineError):
            while data := self.sock.recv(65536):
                for response in self._decoder.feed(data):
                    if result := self._pending.pop(response.id, None):
                        result.set(response)
        self.close()

    def request(
        self,
        class_name: str,
        object_id: str,
        part: int,
        timeout_ms: int,
        max_age_ms: int = 0,
        idempotency_key: str = "",
        body: bytes = b"",
    ) -> UpstreamResponse | None:
        """Send a request; return its response, or None if none arrived within `timeout_ms`.

        Args:
            class_name: Name of the request class.
            object_id: Object id as 16 hex digits.
            part: Number of the part of the object.
            timeout_ms: Response timeout in ms, which is also sent to the server.
            max_age_ms: Maximum age of a cached response in ms; 0 selects `DEFAULT_MAX_AGE`.
            idempotency_key: Key by which the server recognizes a repeated request; empty for none.
            body: Request body of a write.
        """
        request = UpstreamRequest(
            f"v{next(self._request_ids)}",
            class_name,
            object_id,
            part,
            timeout_ms,
            max_age_ms=max_age_ms,
            idempotency_key=idempotency_key,
            body=body,
        )
        return self.send(request.id, request.encode(), timeout_ms)

    def send(self, id: str, data: bytes, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> UpstreamResponse | None:
        """Write an encoded message; return the response with this id, or None if none arrived in time."""
        if self.closed:
            return None
        result = self._pending[id] = AsyncResult()
        try:
            with self._write_lock:
                self.sock.sendall(data)
            with gevent.Timeout(timeout_ms / 1000, False):
                response: UpstreamResponse | None = result.get()
                return response
        except OSError:
            self.close()
        finally:
            self._pending.pop(id, None)
        return None

    def close(self) -> None:
        """Close the connection; all pending requests return None."""
        if self.closed:
            return
        self.closed = True
        self.sock.close()
        for result in self._pending.values():
            result.set(None)
