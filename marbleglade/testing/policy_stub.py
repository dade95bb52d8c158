"""Parameters and a host without sockets and clocks for a policy under test."""

from __future__ import annotations

from dataclasses import replace

from ..model.attempt import Attempt
from ..model.parameters import Parameters
from ..model.policy_action import PolicyAction
from ..model.request import Request, RequestClass
from ..model.upstream import Upstream

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS


def policy_parameters(request_classes: list[RequestClass], **changes: object) -> Parameters:
    """Return the parameters of a front with caches, parents and an origin.

    Args:
        request_classes: Request classes of the front.
        **changes: Values of fields of `Parameters` that replace the defaults below.
    """
    defaults = Parameters(
        request_classes=request_classes,
        seed=7,
        zone=1,
        fleet_size=1,
        flow_kb_per_s=1000.0,
        clock_resolution=2 * NS_PER_MS,
        slow_start_share=0.2,
        slow_start_time=10 * NS_PER_S,
        overload_factor=3.0,
        overload_window=1 * NS_PER_S,
        parent_slow_start_share=0.1,
        parent_slow_start_time=20 * NS_PER_S,
        parent_overload_factor=2.0,
        origin_overload_factor=0.0,
        purge_deadline=6 * NS_PER_S,
        max_attempts=6,
        max_retry_after=500 * NS_PER_MS,
        can_cancel=True,
        sends_retry_after=True,
        parents_serve_directly=False,
        siblings_fill=True,
        can_join_fills=False,
        reports_cache_status=False,
        must_poll_endpoints=False,
        local_link_capacity=0.0,
        load_probes_allowed=False,
    )
    return replace(defaults, **changes)  # type: ignore[arg-type]  # an unknown field raises TypeError


class StubPolicyHost:
    """Policy host that creates attempts and ignores all other calls; tests override the methods they need.

    Attributes:
        clock: Current time in ns, as `now` returns it to the policy.
    """

    def __init__(self, clock: int) -> None:
        self.clock = clock

    def now(self) -> int:
        """Return the current time in ns."""
        return self.clock

    def handling_delay(self) -> int:
        """Return 0, since events are handled without delay."""
        return 0

    def begin_attempt(
        self, request: Request, upstream: Upstream, fill_source: Upstream, timeout: int, cache_priority: int
    ) -> Attempt:
        """Return a new attempt, which is also appended to the attempts of its request."""
        attempt = Attempt(request, upstream, fill_source, self.now(), timeout, cache_priority)
        request.attempts.append(attempt)
        return attempt

    def schedule_wakeup(self, after: int) -> None:
        """Ignore the request for a wakeup."""

    def poll_endpoints(self) -> None:
        """Ignore the request for a poll."""

    def record_action(self, action: PolicyAction) -> None:
        """Ignore the action."""
