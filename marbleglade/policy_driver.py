"""Drives a policy and turns its callbacks into blocking calls for the greenlets that handle requests.

Only one greenlet at a time calls the policy, and calls are never nested. `QueueingHost` queues the attempts
and decisions that the policy orders during a call, and the greenlet that waits for them fetches them.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import cast

from gevent.event import Event

from .model.attempt import AttemptResult
from .model.fleet_view import FleetView, LoadObservations
from .model.parameters import Parameters
from .model.policy_action import PolicyAction
from .model.policy_protocol import PolicyProtocol
from .model.request import Request
from .model.upstream import Upstream
from .policy_host import QueueingHost
from .runtime.counters import Counters
from .runtime.timeouts import wait_until_ready
from .runtime.units import SECOND_NS
from .settings.load_reports import record_load_report
from .state.decisions import AttemptOrder, Decision, RequestOutcome
from .state.open_requests import OpenRequest


class PolicyDriver(QueueingHost):
    """Runs the policy of one instance, as its host and its only caller.

    Args:
        parameters: The policy's parameters.
        policy_factory: Creates the policy from its parameters and its host.
        clock: Returns the current time, ns.
        max_open_requests: Limit of open requests, beyond which none should be admitted; 0 for no limit.
        counters: Counters for violated invariants.
        on_action: Called with each action of the policy, to log it.
        handling_delay: Returns the recent delay between an event and its handling, ns.
    """

    def __init__(
        self,
        parameters: Parameters,
        policy_factory: Callable[[Parameters, PolicyDriver], PolicyProtocol],
        clock: Callable[[], int],
        max_open_requests: int,
        counters: Counters,
        on_action: Callable[[PolicyAction], None],
        handling_delay: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__(clock, max_open_requests, counters, on_action, handling_delay)
        self.policy = policy_factory(parameters, self)

    def _call(self, method: Callable[..., None], *arguments: object) -> None:
        """Call a method of the policy; the time that the policy sees is constant during the call."""
        self.counters.check(not self.in_call, "policy_reentered")
        self.in_call = True
        self.call_time = self.clock()
        try:
            method(*arguments)
        finally:
            self.in_call = False

    # Handling of one request, from submission to end.

    def submit(self, request: Request) -> Decision | None:
        """Open a request and pass it to the policy; return the decision if the policy decides at once."""
        open_request = self.open_requests.add(request)
        self._call(self.policy.handle_request, request)
        return cast(Decision, open_request.pending_steps.popleft()) if open_request.decided else None

    def next_step(self, request: Request) -> AttemptOrder | Decision:
        """Block until the policy orders an attempt or makes a decision, and return the order or decision."""
        open_request = self.open_requests.by_request.get(request)
        if open_request is None:
            if request.finished:  # the client disconnected before submission
                return Decision(RequestOutcome.CANCELLED)
            if decision := self.submit(request):
                return decision
            open_request = self.open_requests.by_request[request]
        has_step = not open_request.decided or bool(open_request.pending_steps)
        if not self.counters.check(has_step, "step_after_decision"):
            return Decision(RequestOutcome.CANCELLED)
        if not open_request.pending_steps:
            self._wait_for_step(open_request)
        return open_request.pending_steps.popleft()

    def _wait_for_step(self, open_request: OpenRequest) -> None:
        open_request.step_waiter = Event()
        seconds_left = (open_request.request.deadline - self.clock()) / SECOND_NS
        if not wait_until_ready(open_request.step_waiter, seconds_left):
            # The policy must decide before the deadline. End the request in spite of this policy fault.
            self.counters.check(False, "undecided_at_deadline")
            self._end(open_request, Decision(RequestOutcome.FAILED))
        open_request.step_waiter = None

    def report_result(self, order: AttemptOrder, result: AttemptResult, not_modified: bool = False) -> None:
        """Report the result of an attempt; the first successful attempt answers the request.

        Args:
            order: The order that started the attempt.
            result: The result.
            not_modified: Whether the answer has no body because the client's own copy is current.
        """
        attempt = order.attempt
        open_request = self.open_requests.by_request.get(attempt.request)
        if open_request is None or attempt.result is not None:
            self.counters.check(False, "result_reported_twice")
            return
        open_request.in_flight.pop(attempt, None)
        attempt.result = result
        attempt.not_modified = not_modified
        attempt.latency = self.clock() - attempt.sent_at
        attempt.not_written = not order.written
        if result is AttemptResult.OK and not attempt.request.finished:
            self._end(open_request, Decision(RequestOutcome.SERVED))
        self._call(self.policy.attempt_finished, attempt)

    def client_disconnected(self, request: Request) -> None:
        """End a request whose client has disconnected."""
        open_request = self.open_requests.by_request.get(request)
        if open_request is None:
            request.finished = True
            return
        if open_request.decided:
            return
        request.reason = request.reason or "its client cancelled or closed"
        try:
            self._call(self.policy.client_disconnected, request)
        finally:
            self._end(open_request, Decision(RequestOutcome.CANCELLED))

    def client_half_closed(self, request: Request) -> None:
        """Stop new attempts for a request whose client half-closed; attempts already sent may answer it."""
        request.client_half_closed = True
        open_request = self.open_requests.by_request.get(request)
        if open_request is None or open_request.decided:
            return
        for order in open_request.in_flight.values():
            if not order.written:
                order.cancel()
        if not open_request.in_flight:
            request.reason = "its client left"
            self._call(self.policy.give_up, request)

    def reject_new(self, request: Request, reason: str) -> Decision:
        """Open a request that cannot be served, let the policy give it up, and return the decision."""
        open_request = self.open_requests.add(request)
        request.reason = reason
        self._call(self.policy.give_up, request)
        return cast(Decision, open_request.pending_steps.popleft())

    def forget(self, request: Request) -> None:
        """Remove a request after its response; cancel attempts that an error left in flight."""
        open_request = self.open_requests.by_request.get(request)
        try:
            if open_request:
                for order in list(open_request.in_flight.values()):
                    self.report_result(order, AttemptResult.CANCELLED)
        finally:
            self.open_requests.remove(request)
            request.attempts = []  # break the reference cycle so that memory is freed at once

    def give_up_all(self) -> None:
        """End all open requests at shutdown.

        Raises:
            Exception: The first exception that the policy raised, after all requests have been ended.
        """
        failures: list[Exception] = []
        for open_request in list(self.open_requests.by_request.values()):
            if open_request.decided:
                continue
            request = open_request.request
            request.reason = "the front stops"
            try:
                self._call(self.policy.client_disconnected, request)
                self._call(self.policy.give_up, request)
            except Exception as error:  # an error in one request must not keep the others open
                failures.append(error)
                if not open_request.decided:
                    self._end(open_request, Decision(RequestOutcome.FAILED))
        if failures:
            raise failures[0]

    def in_flight(self) -> Counter[Upstream]:
        """Return the number of attempts in flight for open requests, by upstream."""
        return Counter(
            attempt.upstream
            for open_request in self.open_requests.by_request.values()
            for attempt in open_request.in_flight
        )

    # Events that do not belong to a request.

    def run_timers(self) -> int:
        """Call the policy for each wakeup that is due; return the time of the next wakeup, ns, or 0."""
        while self.wakeups and self.wakeups[0] <= self.clock():
            heapq.heappop(self.wakeups)
            self._call(self.policy.on_timer)
        return self.wakeups[0] if self.wakeups else 0

    def update_endpoints(self, upstreams: list[Upstream], complete: bool) -> None:
        """Pass changed upstreams to the policy; `complete` marks a complete endpoint list."""
        self._call(self.policy.update_endpoints, upstreams, complete)

    def handle_purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Pass a purge of an object or, if `object_id` is 0, of a group to the policy."""
        self._call(self.policy.handle_purge, object_id, group, purged_at)

    def limit_cache_age(self, max_age: int) -> None:
        """Limit the age of all cached responses to `max_age` ns; 0 (`DEFAULT_MAX_AGE`) removes the limit."""
        self._call(self.policy.limit_cache_age, max_age)

    def observations(self) -> LoadObservations:
        """Return the load observations of the policy."""
        return self.policy.observations()

    def apply_fleet_view(self, view: FleetView) -> None:
        """Pass the observations of the other fronts to the policy."""
        self._call(self.policy.apply_fleet_view, view)

    def next_probe(self) -> Upstream:
        """Block until the policy requests a load probe, and return the upstream to probe."""
        upstream: Upstream = self.pending_probes.get()
        return upstream

    def record_load_report(self, upstream: Upstream, report: dict[str, float]) -> None:
        """Store the load report of an upstream with the current time."""
        record_load_report(upstream, report, self.clock())
