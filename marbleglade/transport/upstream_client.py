"""Executes attempts at caches, parents and the origin, and requests their load reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from ..model.attempt import AttemptResult
from ..model.request import Request
from ..model.upstream import Upstream, UpstreamState
from ..protocols.cache_protocol import encode_cancel, encode_health_check
from ..protocols.client_protocol import ClientRequest
from ..runtime.error_guard import ErrorGuard
from ..runtime.timeouts import wait_until_ready
from ..runtime.units import SECOND_NS
from ..state.body_budget import BodyBudget
from ..state.decisions import AttemptOrder
from ..state.upstream_registry import RegisteredUpstream
from .attempt_check import AttemptCheck, WithholdReason
from .attempt_message import attempt_message
from .connection_pool import ConnectionPool, PoolLimits
from .response_reader import ResponseReader
from .upstream_connection import InFlightRequest, UpstreamConnection, UpstreamResult

# Load report requests are numbered within the process. Their ids differ from those of attempts, which are
# trace ids of 16 hex digits.
LOAD_REPORT_REQUEST_ID_FORMAT = "look%d"

# Writes a request to a connection. Returns None if the request was written or already has a result, otherwise
# the result of the request.
WriteRequest = Callable[[InFlightRequest, UpstreamConnection], UpstreamResult | None]


class UpstreamClient:
    """Sends attempts and load report requests, and waits until each has ended.

    Args:
        upstreams: The known upstreams.
        body_budget: The budget for response bodies in memory.
        limits: Limits on the connections.
        clock: The monotonic clock, ns.
        guard: Counts and logs errors.
        purged_since: Returns whether the object of a request was purged since a given time, ns of `clock`.
        apply_pending_events: Applies watch events that have reached this machine but are still unread.
    """

    def __init__(
        self,
        upstreams: dict[Upstream, RegisteredUpstream],
        body_budget: BodyBudget,
        limits: PoolLimits,
        clock: Callable[[], int],
        guard: ErrorGuard,
        purged_since: Callable[[Request, int], bool],
        apply_pending_events: Callable[[], None] = lambda: None,
    ) -> None:
        self.body_budget = body_budget
        self.in_flight: Counter[Upstream] = Counter()  # attempts that have started and not ended
        self._upstreams = upstreams
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self._load_report_requests = 0
        self.pool = ConnectionPool(
            upstreams,
            body_budget,
            limits,
            clock,
            guard.counters,
            lambda connection: self.reader.run(connection),
        )
        self.reader = ResponseReader(self.pool, body_budget, guard)
        self._check = AttemptCheck(purged_since, apply_pending_events, clock, guard)

    @property
    def connection_count(self) -> int:
        """The number of connections to all upstreams that are open or being opened."""
        return self.pool.connection_count

    def connections(self, upstream: Upstream) -> int:
        """Return the number of open connections to an upstream."""
        pool = self.pool.by_upstream.get(upstream)
        return len(pool.connections) if pool else 0

    def execute(self, client_request: ClientRequest, order: AttemptOrder) -> UpstreamResult:
        """Send an attempt and wait until it has ended."""
        attempt = order.attempt
        upstream, time_left = attempt.upstream, attempt.sent_at + attempt.timeout - self._clock()
        self.in_flight[upstream] += 1
        order.written = False
        try:
            request = InFlightRequest(
                client_request.trace_id,
                order.result,
                client_request.cached_etag,
                cacheable=not client_request.request_class.uncacheable,
            )
            return self._send_and_wait(
                request,
                upstream,
                time_left,
                lambda request, connection: self._send_attempt(request, connection, client_request, order),
            )
        finally:
            self.in_flight[upstream] -= 1
            if not self.in_flight[upstream]:  # upstreams come and go: the map must not keep removed ones
                del self.in_flight[upstream]

    def request_load_report(self, upstream: Upstream, timeout: int) -> dict[str, float]:
        """Return an upstream's load report, or an empty one if none was received within `timeout` ns.

        On the wire this is a health check. Its result neither ejects nor restores an upstream: only a
        half-open probe, which is an attempt, restores an ejected upstream.
        """
        self._load_report_requests += 1
        request_id = LOAD_REPORT_REQUEST_ID_FORMAT % self._load_report_requests
        request = InFlightRequest(request_id, AsyncResult(), is_load_report_request=True)
        result = self._send_and_wait(
            request,
            upstream,
            timeout,
            lambda request, connection: self._send_load_report_request(request, connection, upstream),
        )
        if not result.response:
            self._counters.add("upstream.load_report_unanswered")
            return {}
        self.release_body(result)
        return result.response.load_report()

    def release_body(self, result: UpstreamResult) -> None:
        """Release the bytes of a response's body from the body budget."""
        if result.response and result.response.body:
            self.body_budget.release(len(result.response.body))

    def drop_connections(self, upstreams: list[Upstream]) -> None:
        """Stop reusing connections to upstreams that were removed, have moved or have restarted."""
        self.pool.close_stale(upstreams)

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        self.pool.close_idle()

    def _send_and_wait(
        self, request: InFlightRequest, upstream: Upstream, time_left: int, write: WriteRequest
    ) -> UpstreamResult:
        """Send a request, wait for its end for up to `time_left` ns, and cancel it if it is unanswered."""
        connection = self.pool.take_idle(upstream, request.id)
        if connection:
            self._start_guarded(request, lambda: write(request, connection))  # does not block
        else:
            gevent.spawn(self._start_guarded, request, lambda: self._connect(request, upstream, write))
        result: UpstreamResult | None = None
        try:
            if wait_until_ready(request.result, time_left / SECOND_NS):
                result = request.result.get() or UpstreamResult(AttemptResult.CANCELLED)
        finally:
            if not request.result.ready():
                request.result.set(None)  # a greenlet that is still connecting then sends nothing
            self._cancel_unanswered(request)
        return result or UpstreamResult(AttemptResult.TIMEOUT)

    def _start_guarded(self, request: InFlightRequest, start: Callable[[], UpstreamResult | None]) -> None:
        """Call `start` and set the result that it returns; an exception gives the request a result too."""
        try:
            result = start()
        except Exception as error:
            self._guard.record("attempt", error)
            result = UpstreamResult(AttemptResult.ERROR if request.connection else AttemptResult.NOT_STARTED)
        if result and not request.result.ready():
            request.result.set(result)

    def _connect(
        self, request: InFlightRequest, upstream: Upstream, write: WriteRequest
    ) -> UpstreamResult | None:
        """Write a request to an idle, new or shared connection.

        If the upstream moved or restarted while the connection was being opened, the connection goes to the
        old address, where another upstream may listen by now. It is closed, and another one is acquired.
        """
        connection = self.pool.acquire(upstream, request.id)
        while (
            isinstance(connection, UpstreamConnection)
            and connection.pool.stale
            and not request.result.ready()
        ):
            self.pool.close(connection)
            connection = self.pool.acquire(upstream, request.id)
        if not isinstance(connection, UpstreamConnection):
            return UpstreamResult(connection)
        return write(request, connection)

    def _send_attempt(
        self,
        request: InFlightRequest,
        connection: UpstreamConnection,
        client_request: ClientRequest,
        order: AttemptOrder,
    ) -> UpstreamResult | None:
        """Write an attempt if it may still be sent; return its result if it was not written."""
        attempt = order.attempt
        self._check.apply_pending(client_request)
        if reason := self._check.reason_to_withhold(request, attempt, connection):
            self.pool.release(connection)
            self._check.record_withheld(client_request, attempt, reason)
            return UpstreamResult(AttemptResult.CANCELLED)
        source = self._upstreams.get(attempt.fill_source)
        time_left = attempt.sent_at + attempt.timeout - self._clock()
        if source is None or time_left <= 0:
            self.pool.release(connection)
            reason = WithholdReason.SOURCE_REMOVED if source is None else WithholdReason.NO_TIME_LEFT
            self._check.record_withheld(client_request, attempt, reason)
            return UpstreamResult(AttemptResult.CANCELLED if source is None else AttemptResult.NOT_STARTED)
        source_id = "" if attempt.fill_source is attempt.upstream else source.id
        message = attempt_message(client_request, order, source_id, time_left)
        result = self._send(connection, request, message.encode())
        order.written = result is None  # an attempt of which no byte was written can't have run
        self._log_attempt(client_request, order, message.timeout_ms)
        return result

    def _log_attempt(self, client_request: ClientRequest, order: AttemptOrder, timeout_ms: int) -> None:
        if self._log.debug_enabled:
            attempt = order.attempt
            self._log.debug(
                "attempt",
                trace=client_request.trace_id,
                upstream=attempt.upstream.name.decode(),
                fill_source=attempt.fill_source.name.decode(),
                number=len(attempt.request.attempts),
                timeout_ms=timeout_ms,
                written=order.written,
            )

    def _send_load_report_request(
        self, request: InFlightRequest, connection: UpstreamConnection, upstream: Upstream
    ) -> UpstreamResult | None:
        """Write a load report request unless it has timed out or its upstream is no longer active."""
        self._check.apply_pending()
        if request.result.ready():
            # It has timed out and would not be cancelled: without a response it would occupy its connection
            # forever.
            self.pool.release(connection)
            return None
        if upstream.state is not UpstreamState.ACTIVE or connection.pool.stale:
            self.pool.release(connection)
            return UpstreamResult(AttemptResult.CANCELLED)
        return self._send(connection, request, encode_health_check(request.id))

    def _send(
        self, connection: UpstreamConnection, request: InFlightRequest, data: bytes
    ) -> UpstreamResult | None:
        self._counters.add("attempt.sent")
        if connection.send_request(request, data, self.pool.close):
            return None
        return UpstreamResult(AttemptResult.RESET)

    def _cancel_unanswered(self, request: InFlightRequest) -> None:
        """Send a cancel for a request that has ended on this side without a response.

        Its connection is closed unless other requests share it: an upstream that does not respond may be
        stuck, and the next request on the connection would be lost too. A shared connection is the last
        choice for new requests until the upstream responds on it.
        """
        connection, request.connection = request.connection, None
        if connection is None or connection.in_flight.get(request.id) is not request:
            return
        del connection.in_flight[request.id]
        self._counters.add("attempt.cancel_sent")
        connection.cancelled.add(request.id)
        connection.unanswered = True
        # A request that is partly written is completed before the cancel: the connection stays usable for the
        # other requests.
        connection.send(encode_cancel(request.id), self.pool.close)
        if not connection.in_flight:
            self.pool.close(connection)
