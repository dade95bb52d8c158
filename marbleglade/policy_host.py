"""The host of a policy: queues its attempt orders and decisions until the request handler fetches them."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from gevent.event import AsyncResult
from gevent.queue import SimpleQueue

from .model.attempt import Attempt
from .model.max_age import DEFAULT_MAX_AGE
from .model.policy_action import PolicyAction
from .model.request import Request
from .model.upstream import Upstream
from .runtime.counters import Counters
from .state.decisions import AttemptOrder, Decision, RequestOutcome
from .state.open_requests import OpenRequest, OpenRequests


class QueueingHost:
    """Implements `model.policy_protocol.PolicyHost` with queues.

    Attributes:
        open_requests: The open requests, each with its queue of pending steps (attempt orders and decisions).
        pending_probes: Queue of upstreams to send a load probe to.
        wakeups: A heap of the times at which the policy's timer is due, ns.
        in_call: Whether a call of the policy is in progress.
        call_time: The start time of the current call, ns.

    Args:
        clock: Returns the current time, ns.
        max_open_requests: Limit of open requests, beyond which none should be admitted; 0 for no limit.
        counters: Counters for violated invariants.
        on_action: Called with each action of the policy, to log it.
        handling_delay: Returns the recent delay between an event and its handling, ns.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        max_open_requests: int,
        counters: Counters,
        on_action: Callable[[PolicyAction], None],
        handling_delay: Callable[[], int],
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.on_action = on_action
        self.handling_delay = handling_delay
        self.open_requests = OpenRequests(max_open_requests)
        self.pending_probes: SimpleQueue[Upstream] = SimpleQueue()
        self.wakeups: list[int] = []
        self.in_call = False
        self.call_time = clock()

    def now(self) -> int:
        """Return the current time, ns; it is constant during a call of the policy."""
        return self.call_time if self.in_call else self.clock()

    def start_attempt(
        self,
        request: Request,
        upstream: Upstream,
        fill_source: Upstream,
        timeout: int,
        cache_priority: int = 0,
        max_age: int = DEFAULT_MAX_AGE,
        join_fill: bool = False,
        refresh: bool = False,
        only_if_cached: bool = False,
        cache_locally: bool = False,
    ) -> Attempt:
        """Queue the order for an attempt; see `PolicyHost.start_attempt`."""
        attempt = Attempt(
            request,
            upstream,
            fill_source,
            sent_at=self.now(),
            timeout=timeout,
            cache_priority=cache_priority,
        )
        open_request = self.open_requests.by_request[request]
        request.attempts.append(attempt)
        order = AttemptOrder(
            attempt,
            max_age=max_age,
            join_fill=join_fill,
            refresh=refresh,
            only_if_cached=only_if_cached,
            cache_locally=cache_locally,
            result=AsyncResult(),
        )
        open_request.in_flight[attempt] = order
        self._add_step(open_request, order)
        return attempt

    def serve_cached(self, request: Request) -> None:
        """Decide to serve a request from the front's local cache."""
        self._decide(request, Decision(RequestOutcome.SERVED, from_local_cache=True))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt if it is in flight."""
        open_request = self.open_requests.by_request.get(attempt.request)
        order = open_request.in_flight.get(attempt) if open_request else None
        if order:
            order.cancel()

    def reject(self, request: Request, retry_after: int = 0) -> None:
        """Decide to reject a request, with a Retry-After in ns (0 for none)."""
        self._decide(request, Decision(RequestOutcome.REJECTED, retry_after=retry_after))

    def fail(self, request: Request) -> None:
        """Decide to fail a request."""
        self._decide(request, Decision(RequestOutcome.FAILED))

    def _decide(self, request: Request, decision: Decision) -> None:
        self._end(self.open_requests.by_request[request], decision)

    def schedule_wakeup(self, after: int) -> None:
        """Schedule a call of the policy's `on_timer` after `after` nanoseconds."""
        heapq.heappush(self.wakeups, self.now() + after)

    def poll_endpoints(self) -> None:
        """Do nothing, because the discovery service pushes changes of the endpoint list."""

    def probe_load(self, upstream: Upstream) -> None:
        """Queue an upstream for a load probe."""
        self.pending_probes.put(upstream)

    def record_action(self, action: PolicyAction) -> None:
        """Pass an action of the policy to the log."""
        self.on_action(action)

    def _end(self, open_request: OpenRequest, decision: Decision) -> None:
        if self.counters.check(not open_request.decided, "decided_twice"):
            open_request.decided = True
            open_request.request.finished = True
            self._add_step(open_request, decision)

    def _add_step(self, open_request: OpenRequest, step: AttemptOrder | Decision) -> None:
        open_request.pending_steps.append(step)
        if open_request.step_waiter:
            open_request.step_waiter.set()
