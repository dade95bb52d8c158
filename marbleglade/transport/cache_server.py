"""Server side of the cache protocol, by which fronts and parents use this process as a cache or origin."""

from __future__ import annotations

from collections.abc import Callable, Sized
from functools import partial
from typing import Generic, Protocol

import gevent
from gevent import socket

from ..model.request import Idempotency, RequestClass
from ..protocols.cache_protocol import CacheStatus, InvalidLineError, UpstreamRequest
from ..protocols.cache_server_protocol import (
    CancelRequest,
    HealthCheck,
    InvalidUpstreamRequest,
    ServerEvent,
    encode_response,
)
from ..protocols.client_protocol import ClientRequest
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.timeouts import TimeLimit
from ..runtime.units import MILLISECOND_NS, SECOND_NS
from ..state.decisions import RequestOutcome, Response
from .arrival import ArrivalBound, arrival_time
from .cache_server_connection import CacheServerConnection
from .half_close import peer_has_closed
from .request_service import RequestService, RequestT
from .sockets import READ_BUFFER, accept_forever, has_unread_bytes, read_chunks, set_options

MAX_OPEN_REQUESTS = 256  # on one connection
PARTIAL_TIMEOUT_DIVISOR = 8  # the rest of a partial request has to arrive within 1/8 of the idle time-out
IMMEDIATE_WRITE_NS = 2 * SECOND_NS  # time-out for writing a response that belongs to no open request


class CountedRequestService(RequestService[RequestT], Sized, Protocol[RequestT]):
    """A request service whose length is the number of its open requests."""


class CacheServer(Generic[RequestT]):
    """Accepts connections, reads requests from them and writes the responses.

    Args:
        service: Handles the requests.
        unknown_group: The purge group given to all requests, as this protocol has no field for it.
        max_connections: The most connections open at a time; further ones are closed at once.
        idle_timeout: Time after which an idle connection is closed, ns.
        accepts_requests: Returns whether new requests are accepted; if not, health checks report unhealthy.
        guard: Counts and logs errors.
        loop: The monitor of the event loop; None: a monitor that does not run.

    Attributes:
        connections: The open connections.
        idle_timeout: Time after which an idle connection is closed, ns.
    """

    def __init__(
        self,
        service: CountedRequestService[RequestT],
        unknown_group: int,
        max_connections: int,
        idle_timeout: int,
        accepts_requests: Callable[[], bool],
        guard: ErrorGuard,
        loop: LoopMonitor | None = None,
    ) -> None:
        self.connections: set[CacheServerConnection[RequestT]] = set()
        self.idle_timeout = idle_timeout
        self._service = service
        self._unknown_group = unknown_group
        self._max_connections = max_connections
        self._accepts_requests = accepts_requests
        self._guard = guard
        self._counters = guard.counters
        self._loop = loop or LoopMonitor(clock.now, guard.log)

    # Connections

    def accept(self, listener: socket.socket) -> None:
        """Accept connections; never returns."""
        accept_forever(
            listener,
            self._service.clock_resolution / SECOND_NS,
            self._accept_failed,
            self._guard,
            self._start_connection,
        )

    def _accept_failed(self) -> None:
        self._counters.add("cache_server.accept_failed")

    def _start_connection(self, sock: socket.socket) -> None:
        if len(self.connections) >= self._max_connections:
            self._counters.add("cache_server.over_connection_limit")
            sock.close()
            return
        set_options(sock, [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)], self._accept_failed)
        connection: CacheServerConnection[RequestT] = CacheServerConnection(
            sock, ArrivalBound(self._loop, self._loop.last_tick)
        )
        self.connections.add(connection)
        gevent.spawn(self._read, connection)

    def sweep(self) -> None:
        """Close connections that are idle, or whose partial request was not completed in time."""
        now = clock.now()
        for connection in [each for each in self.connections if not each.open_requests]:
            idle = now - connection.active_at > self.idle_timeout
            partial_since = connection.partial_since
            stalled = partial_since and now - partial_since > self.idle_timeout // PARTIAL_TIMEOUT_DIVISOR
            if (idle or stalled) and not has_unread_bytes(connection.sock):  # a request may be unread
                self._close(connection)

    def _read(self, connection: CacheServerConnection[RequestT]) -> None:
        try:
            for data in read_chunks(connection.sock):
                connection.earliest_arrival = connection.arrivals.record_read(len(data) < len(READ_BUFFER))
                connection.active_at = clock.now()
                for event in connection.decoder.feed(data):
                    if connection.closed:
                        return
                    self._handle(connection, event)
                connection.update_partial_since()
                connection.arrivals.start_waiting()
        except InvalidLineError:
            self._counters.add("cache_server.bad_line")
        except OSError:
            self._counters.add("cache_server.reset")
        except Exception as error:
            self._guard.record("cache_server", error)
        finally:
            self._close(connection)

    def _close(self, connection: CacheServerConnection[RequestT]) -> None:
        if connection.closed:
            return
        connection.closed = True
        self.connections.discard(connection)
        connection.sock.close()
        for request_id in list(connection.open_requests):
            self._abandon(connection, request_id)

    # Requests

    def _handle(self, connection: CacheServerConnection[RequestT], event: ServerEvent) -> None:
        if isinstance(event, UpstreamRequest):
            self._handle_request(connection, event)
        elif isinstance(event, CancelRequest):
            self._abandon(connection, event.id)
        elif isinstance(event, HealthCheck):
            self._answer_health_check(connection, event)
        elif isinstance(event, InvalidUpstreamRequest):
            self._reject_invalid(connection, event.id)

    def _answer_health_check(self, connection: CacheServerConnection[RequestT], check: HealthCheck) -> None:
        fields = {"report": f"inflight:{len(self._service)}"} if check.with_load_report else {}
        status = CacheStatus.HEALTHY if self._accepts_requests() else CacheStatus.UNHEALTHY
        self._send(connection, encode_response(check.id, status, fields))

    def _reject_invalid(self, connection: CacheServerConnection[RequestT], request_id: str) -> None:
        self._counters.add("cache_server.invalid_request")
        self._send(connection, encode_response(request_id, CacheStatus.FAILED, {}))

    def _handle_request(self, connection: CacheServerConnection[RequestT], request: UpstreamRequest) -> None:
        if request.id in connection.open_requests:
            raise InvalidLineError(f"id {request.id} belongs to a request that is still open")
        request_class = self._service.request_classes.get(request.class_name)
        if request_class is None or request.timeout_ms * MILLISECOND_NS > 2 * request_class.client_timeout:
            self._reject_invalid(connection, request.id)
        elif request.only_if_cached:  # a gateway is no cache: it has no objects of its own
            self._send(connection, encode_response(request.id, CacheStatus.MISSING, {}))
        elif (
            len(connection.open_requests) >= MAX_OPEN_REQUESTS
            or self._service.over_capacity()
            or not self._accepts_requests()
        ):
            self._counters.add("cache_server.rejected")
            self._send(connection, encode_response(request.id, CacheStatus.REJECTED, {}))
        else:
            self._counters.add("cache_server.requests")
            self._run(connection, self._client_request(connection, request, request_class))

    def _client_request(
        self,
        connection: CacheServerConnection[RequestT],
        request: UpstreamRequest,
        request_class: RequestClass,
    ) -> ClientRequest:
        """Convert a request to the form of a client's request; its id becomes the trace id."""
        return ClientRequest(
            tag=0,  # used only by the client protocol
            request_class=request_class,
            class_name=request.class_name,
            trace_id=request.id,
            timeout_ns=request.timeout_ms * MILLISECOND_NS,
            is_client_retry=False,
            object_id=request.object_id,
            part=request.part,
            group=self._unknown_group,
            cached_etag=request.cached_etag,
            body=request.body,
            max_age_ns=request.max_age_ms * MILLISECOND_NS,
            idempotency_key=request.idempotency_key,
            received_at=arrival_time(connection.earliest_arrival, clock.now()),
        )

    def _run(self, connection: CacheServerConnection[RequestT], client_request: ClientRequest) -> None:
        """Admit a request and respond to it, immediately or from a greenlet."""
        request = self._service.admit(client_request)
        connection.open_requests[client_request.trace_id] = request
        client_request.check_client_end = partial(self._check_client_end, connection, client_request.trace_id)
        respond = partial(self._respond, connection, client_request, request)
        response = self._service.answer_immediately(client_request, request)
        if response:
            respond(response)
        else:
            gevent.spawn_raw(
                self._guard.call, "cache_server", self._service.run, client_request, request, respond
            )

    def _check_client_end(self, connection: CacheServerConnection[RequestT], request_id: str) -> None:
        """Abandon a request if its client has closed its side, even if the end was not read yet."""
        if request_id in connection.open_requests and peer_has_closed(connection.sock):
            self._abandon(connection, request_id)

    def _abandon(self, connection: CacheServerConnection[RequestT], request_id: str) -> None:
        """End a request whose client no longer waits for it."""
        request = connection.open_requests.pop(request_id, None)
        if request is not None:
            self._guard.call("client_disconnected", self._service.client_disconnected, request)

    # Responses

    def _respond(
        self,
        connection: CacheServerConnection[RequestT],
        client_request: ClientRequest,
        request: RequestT,
        response: Response,
    ) -> None:
        request_id = client_request.trace_id
        if connection.open_requests.get(request_id) is not request:
            return
        del connection.open_requests[request_id]
        idempotent = client_request.request_class.idempotency is Idempotency.IDEMPOTENT
        time_left = max(0, request.deadline - clock.now())
        self._send(connection, _encode(request_id, response, idempotent), time_left)

    def _send(
        self,
        connection: CacheServerConnection[RequestT],
        response: bytes,
        time_left: int = IMMEDIATE_WRITE_NS,
    ) -> None:
        """Write a response; close the connection if the client does not take it within `time_left` ns."""
        limit = TimeLimit(self._loop, clock.now() + max(time_left, MILLISECOND_NS))
        if not connection.send(response, limit):
            self._close(connection)


def _encode(request_id: str, response: Response, idempotent: bool) -> bytes:
    """Return the bytes of a response in the cache protocol.

    The statuses REJECTED and MISSING tell the client that nothing was run. For a non-idempotent request they
    are sent only if that is certain.
    """
    if response.outcome is RequestOutcome.SERVED:
        fields = {"entity": response.entity_tag, "issued": str(response.issued_ms)}
        if response.not_modified:
            return encode_response(request_id, CacheStatus.NOT_MODIFIED, fields)
        return encode_response(request_id, CacheStatus.SERVED, fields, response.body)
    if response.outcome is RequestOutcome.REJECTED and (idempotent or not response.may_have_run):
        status = CacheStatus.MISSING if response.object_missing else CacheStatus.REJECTED
        return encode_response(request_id, status, {})
    return encode_response(request_id, CacheStatus.FAILED, {})
