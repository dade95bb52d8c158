"""Processes requests: admits a request, executes the policy's steps, and passes on the response.

Nothing here depends on the protocol by which a request arrived, so several protocols can share the handler.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .discovery_events import DiscoveryCallbacks, DiscoveryEvents
from .model.attempt import AttemptResult
from .model.request import CachedResponse, Request, RequestClass
from .model.upstream import UpstreamRole
from .policy_driver import PolicyDriver
from .protocols.cache_protocol import UpstreamResponse
from .protocols.client_protocol import ClientRequest
from .request_log import RequestLog
from .runtime import clock
from .runtime.error_guard import ErrorGuard
from .runtime.units import SECOND_NS
from .state.decisions import AttemptOrder, Decision, RequestOutcome, Response
from .state.local_cache import CachedObject, LocalCache
from .state.purge_history import PurgeHistory
from .state.upstream_registry import UpstreamRegistry
from .transport.attempt_sender import AttemptSender
from .transport.upstream_connection import UpstreamResult
from .upstream_monitor import UpstreamMonitor

MAX_CLOCK_SKEW_NS = 2 * SECOND_NS  # the largest accepted difference between the clocks of two machines
NOT_MODIFIED_COST_DIVISOR = 20  # ratio of the cost of a full response to that of one without a body


@dataclass(slots=True, eq=False)
class _Progress:
    """The state of a request's attempts so far.

    Attributes:
        served: The successful attempt; `release_body` returns the bytes of its body to the body budget.
        object_missing: Whether the last attempt showed that the object is missing; see `_is_object_missing`.
    """

    served: UpstreamResult | None = None
    object_missing: bool = False


class HandlerComponents(NamedTuple):
    """The components of a request handler.

    Attributes:
        driver: Runs the policy.
        upstream_client: Sends attempts to upstreams.
        upstreams: The upstreams listed by the discovery service.
        purge_history: The recent purges.
        local_cache: The front's own cache.
        bytes_per_second: Throughput of one transfer from the local cache; 0 if the cache is not used.
        guard: Records exceptions; also provides the log and the counters.
    """

    driver: PolicyDriver
    upstream_client: AttemptSender
    upstreams: UpstreamRegistry
    purge_history: PurgeHistory
    local_cache: LocalCache
    bytes_per_second: int
    guard: ErrorGuard


class RequestHandler:
    """Handles the requests of one front, and holds the components shared by them.

    Attributes:
        events: Applies events from the discovery service and from other fronts.
        monitor: Handles load reports and probes of the upstreams, and reports their status.

    Args:
        parts: The components of the handler. Those used elsewhere are attributes of the same name.
        rejects_all: Returns whether all requests are rejected for maintenance, because the front is drained
            or the list of machines out of service has not been received yet.
        callbacks: The callbacks for `events`.
    """

    def __init__(
        self,
        parts: HandlerComponents,
        rejects_all: Callable[[], bool] = lambda: False,
        callbacks: DiscoveryCallbacks | None = None,
    ) -> None:
        self.driver = parts.driver
        self.upstream_client = parts.upstream_client
        self.upstreams = parts.upstreams
        self.purge_history = parts.purge_history
        self.local_cache = parts.local_cache
        self.bytes_per_second = parts.bytes_per_second
        self.guard = parts.guard
        self.counters = self.guard.counters
        self._rejects_all = rejects_all
        self._request_log = RequestLog(self.counters, self.guard.log)
        self.events = DiscoveryEvents(
            self.driver,
            self.upstream_client,
            self.upstreams,
            self.purge_history,
            self.local_cache,
            self.guard,
            callbacks,
        )
        self.monitor = UpstreamMonitor(self.driver, self.upstream_client, self.upstreams, self.guard)

    @property
    def request_classes(self) -> dict[str, RequestClass]:
        """The request classes by name."""
        return self.upstreams.environment.request_classes

    @property
    def clock_resolution(self) -> int:
        """Resolution of the timers, ns."""
        return self.driver.policy.parameters.clock_resolution

    def over_capacity(self) -> bool:
        """Return whether a body waits for body budget or too many requests are open; count it if so."""
        if not (self.upstream_client.body_budget.has_waiters or self.driver.open_requests.full):
            return False
        self.counters.add("request.over_capacity")
        return True

    # Processing of a request, from admission to the response.

    def admit(self, client_request: ClientRequest) -> Request:
        """Convert a client's request to the form that the policy uses, and record it in the log."""
        received_at = client_request.received_at or clock.now()
        self._request_log.admitted(client_request, received_at)
        return Request(
            request_class=client_request.request_class,
            object_id=int(client_request.object_id, 16),
            part=client_request.part,
            group=client_request.group,
            size_kb=0.0,  # clients do not send the size
            received_at=received_at,
            deadline=received_at + client_request.timeout_ns,
            is_client_retry=client_request.is_client_retry,
        )

    def attach_cached(self, client_request: ClientRequest, request: Request) -> None:
        """Attach the response from the local cache to a request, if there is one.

        An uncacheable request gets none: a write must not be answered with a copy of the object it modifies.
        """
        if request.request_class.uncacheable:
            return
        entry = self.local_cache.get(request.object_id, request.part)
        if not entry:
            return
        not_modified = bool(client_request.cached_etag) and entry.tag == client_request.cached_etag
        transfer_time = len(entry.body) * SECOND_NS // self.bytes_per_second
        response = Response(
            RequestOutcome.SERVED,
            not_modified=not_modified,
            body=b"" if not_modified else entry.body,
            entity_tag=entry.tag,
            issued_ms=clock.to_unix_ms(entry.issued_at),
        )
        request.cached = CachedResponse(
            transfer_time // NOT_MODIFIED_COST_DIVISOR if not_modified else transfer_time,
            entry.issued_at,
            response,
        )

    def cache_response(self, request: Request, response: UpstreamResponse) -> None:
        """Store a response in the local cache if it may be cached."""
        if not self.bytes_per_second or not response.entity_tag or request.request_class.uncacheable:
            return
        issued_at = clock.from_unix_ms(response.issued_ms)
        if issued_at > clock.now() + MAX_CLOCK_SKEW_NS:
            # This machine's clock or the upstream's clock is wrong, so the age of the object is not known.
            self.counters.add("local_cache.issued_in_future")
            return
        entry = CachedObject(response.body, response.entity_tag, issued_at, request.group)
        purged_at = self.purge_history.latest(request.object_id, request.group)
        self.local_cache.put(request.object_id, request.part, entry, purged_at)

    def answer_immediately(self, client_request: ClientRequest, request: Request) -> Response | None:
        """Submit an admitted request; return its response, or None if it must be completed by `run`."""
        try:
            decision = self._submit(client_request, request)
            if decision is None:
                return None
            response = self._response(request, decision, None)
        except Exception as error:
            self.guard.record("request", error)
            request.finished = True
            response = Response(RequestOutcome.FAILED)
        self._request_log.finished(client_request, request, response)
        self.guard.call("forget_request", self.driver.forget, request)
        return response

    def _submit(self, client_request: ClientRequest, request: Request) -> Decision | None:
        if self._rejects_all():
            self.counters.add("request.rejected_for_maintenance")
            return self.driver.reject_new(request, "out for maintenance, or not informed yet")
        if request.deadline <= clock.now():
            self.counters.add("request.deadline_passed")
            return self.driver.reject_new(request, "its time was over when it was read")
        self.attach_cached(client_request, request)
        return self.driver.submit(request)

    def run(
        self, client_request: ClientRequest, request: Request, respond: Callable[[Response], None]
    ) -> None:
        """Run a submitted request until it is answered or its client has disconnected.

        Args:
            client_request: The request as sent by the client.
            request: The same request in the form that the policy uses.
            respond: Sends the response; called at most once, and never if the client has disconnected.
        """
        progress = _Progress()
        response = Response(RequestOutcome.FAILED)
        try:
            response = self._run_steps(client_request, request, progress)
        except Exception as error:
            self.guard.record("request", error)
            request.finished = True
        try:
            self._request_log.finished(client_request, request, response)
            if response.outcome is not RequestOutcome.CANCELLED:
                respond(response)
        finally:
            if progress.served:
                self.upstream_client.release_body(progress.served)
            self.guard.call("forget_request", self.driver.forget, request)

    def _run_steps(self, client_request: ClientRequest, request: Request, progress: _Progress) -> Response:
        step = self.driver.next_step(request)
        while isinstance(step, AttemptOrder):
            self._execute_attempt(client_request, request, step, progress)
            step = self.driver.next_step(request)
        response = self._response(request, step, progress.served)
        response.object_missing = progress.object_missing and response.outcome is RequestOutcome.REJECTED
        return response

    def _execute_attempt(
        self, client_request: ClientRequest, request: Request, order: AttemptOrder, progress: _Progress
    ) -> None:
        upstream_result = self.upstream_client.execute(client_request, order)
        if upstream_result.result is AttemptResult.OK and not request.finished:
            progress.served = upstream_result
        else:
            self.upstream_client.release_body(upstream_result)
        progress.object_missing = _is_object_missing(order, upstream_result)
        self._request_log.attempt_ended(client_request, order, upstream_result)
        if upstream_result.response:
            self.driver.record_load_report(order.attempt.upstream, upstream_result.response.load_report())
        if order.cache_locally and upstream_result.response and upstream_result.has_object:
            self.guard.call("local_cache", self.cache_response, request, upstream_result.response)
        self.driver.report_result(order, upstream_result.result, upstream_result.not_modified)

    def client_disconnected(self, request: Request) -> None:
        """End a request whose client has disconnected."""
        self.driver.client_disconnected(request)

    def client_half_closed(self, request: Request) -> None:
        """Allow no further attempt for a request whose client half-closed: it has most likely left."""
        self.driver.client_half_closed(request)

    def abandon_request(self, request: Request) -> None:
        """Cancel and remove a request that was answered as failed because an error prevents `run`."""
        try:
            self.driver.client_disconnected(request)
        finally:
            self.driver.forget(request)

    def _response(self, request: Request, decision: Decision, served: UpstreamResult | None) -> Response:
        """Return the response to a decided request; `served` is its successful attempt, if any."""
        if decision.from_local_cache and request.cached and request.cached.response:
            self.counters.add("request.served_from_local_cache")
            return request.cached.response
        if decision.outcome is not RequestOutcome.SERVED:
            may_have_run = any(attempt.may_have_run for attempt in request.attempts)
            return Response(decision.outcome, decision.retry_after, may_have_run=may_have_run)
        if served is None or served.response is None:
            self.counters.check(False, "served_without_response")
            return Response(RequestOutcome.FAILED)
        return Response(
            RequestOutcome.SERVED,
            not_modified=served.not_modified,
            body=served.response.body,
            entity_tag=served.response.entity_tag,
            issued_ms=served.response.issued_ms,
        )


def _is_object_missing(order: AttemptOrder, upstream_result: UpstreamResult) -> bool:
    """Return whether an attempt ended with a miss of the origin, or of its upstream if it allowed no fill."""
    if upstream_result.result is not AttemptResult.MISS or order.only_if_cached:
        return False
    source = order.attempt.fill_source
    return source.role is UpstreamRole.ORIGIN or source is order.attempt.upstream
