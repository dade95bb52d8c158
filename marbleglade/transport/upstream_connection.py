"""One connection to a cache, a parent or the origin, and its requests in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.event import AsyncResult

from ..model.attempt import AttemptResult
from ..protocols.cache_protocol import CacheStatus, ResponseDecoder, UpstreamResponse
from .sockets import send_now, send_some


@dataclass(slots=True, eq=False)
class UpstreamResult:
    """How an attempt or a load report request ended.

    Attributes:
        result: The result, in the terms of the policy.
        response: The response, if one was received. Its body counts against the body budget until released.
    """

    result: AttemptResult
    response: UpstreamResponse | None = None

    @property
    def not_modified(self) -> bool:
        """Whether the object that the client has cached is still valid."""
        return self.response is not None and self.response.status is CacheStatus.NOT_MODIFIED

    @property
    def has_object(self) -> bool:
        """Whether the response contains the object."""
        return self.result is AttemptResult.OK and not self.not_modified


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request for an object or for a load report that waits for its response.

    Attributes:
        id: The id of the request, which the response repeats.
        result: Set to an `UpstreamResult`, or to None once no caller waits for the result.
        cached_etag: Entity tag of the object that the client has cached; empty: none.
        is_load_report_request: The request is for a load report, which is a health check on the wire.
        cacheable: The object may be cached; responses with an uncacheable object have no entity tag.
        connection: The connection that the request was written to; None before the write and after its end.
    """

    id: str
    result: AsyncResult
    cached_etag: str = ""
    is_load_report_request: bool = False
    cacheable: bool = True
    connection: UpstreamConnection | None = None


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The connections to one upstream. The most recently used idle connection is reused first.

    Attributes:
        idle: Connections without a request in flight, the longest idle one first.
        connections: All connections.
        stale: The upstream was removed, has moved or has restarted: no connection is reused.
    """

    idle: dict[UpstreamConnection, None] = field(default_factory=dict)
    connections: dict[UpstreamConnection, None] = field(default_factory=dict)
    stale: bool = False


class UpstreamConnection:
    """One connection to an upstream.

    Args:
        sock: The connected socket.
        pool: The pool that the connection belongs to.

    Attributes:
        decoder: Decodes the responses.
        in_flight: Requests that wait for their response, by id.
        writer_running: A greenlet is writing the bytes that the kernel did not accept immediately.
        cancelled: Ids of cancelled requests; late responses to them are dropped.
        last_answered: Id of the last response; a duplicate of that response is dropped.
        reserved_bytes: Bytes of the body budget reserved for the response body that is being read.
        waiting_reader: The reading greenlet while it waits for the body budget, else None.
        idle_since: When the connection was last released, ns.
        unanswered: A request was cancelled on this connection, and no response has arrived since.
        closed: This side has closed the connection.
    """

    def __init__(self, sock: socket.socket, pool: EndpointPool) -> None:
        self.sock = sock
        self.pool = pool
        self.decoder = ResponseDecoder()
        self.in_flight: dict[str, InFlightRequest] = {}
        self.writer_running = False
        self.cancelled: set[str] = set()
        self.last_answered = ""
        self.reserved_bytes = 0
        self.waiting_reader: gevent.Greenlet | None = None
        self.idle_since = 0
        self.unanswered = False
        self.closed = False
        self._write_queue = bytearray()  # bytes that the running writer writes next

    def is_unambiguous(self, request_id: str) -> bool:
        """Return whether a response with this id can't belong to an earlier request on this connection."""
        return request_id not in self.cancelled and request_id != self.last_answered

    def send_request(self, request: InFlightRequest, data: bytes, close: CloseConnection) -> bool:
        """Write a request; return False if none of it could be written immediately.

        It is not written later: its client may have left by then, and its time-out would be too long.
        """
        request.connection = self
        self.in_flight[request.id] = request
        try:
            sent = send_now(self.sock, data)
        except OSError:
            close(self)
            return False
        if not sent:
            del self.in_flight[request.id]
            request.connection = None
            if not self.in_flight:  # otherwise keep it for the other requests
                close(self)
            return False
        if sent < len(data):
            self._start_writer(memoryview(data)[sent:], close)
        return True

    def send(self, data: bytes, close: CloseConnection) -> None:
        """Write a message; a greenlet writes the bytes that the kernel does not accept immediately."""
        if self.writer_running:
            self._write_queue += data
            return
        try:
            sent = send_now(self.sock, data)
        except OSError:
            close(self)
            return
        if sent < len(data):
            self._start_writer(memoryview(data)[sent:], close)

    def _start_writer(self, data: memoryview, close: CloseConnection) -> None:
        self.writer_running = True
        gevent.spawn(self._write_until_empty, data, close)

    def _write_until_empty(self, data: memoryview | bytearray, close: CloseConnection) -> None:
        try:
            while data and not self.closed:
                data = memoryview(data)[send_some(self.sock, memoryview(data)) :]
                if not data:
                    data, self._write_queue = self._write_queue, bytearray()
        except OSError:
            close(self)
        self.writer_running = False


CloseConnection = Callable[[UpstreamConnection], None]
