"""Slow start: a recently started upstream receives a growing share of the keys and of the load."""

from __future__ import annotations

from typing import NamedTuple

from ..model.parameters import Parameters
from ..model.request import Request
from ..model.upstream import Upstream, UpstreamRole
from ..runtime.stable_hash import HASH_LIMIT
from .known_upstreams import KnownUpstreams
from .load_estimate import LoadEstimate
from .rendezvous import rendezvous_score

KEY_RANGE_PART = -1  # hashed in place of the part's number, so that a key range contains whole objects
# Planned load of a cold upstream, as a share of the load above which it is overloaded. The rest is left for
# retries and random variation.
PLANNED_LOAD_SHARE = 1 / 2
# Maximum unused warm-up budget, as a share of the budget that accrues in one averaging window of the load
# (`Parameters.overload_window`).
MAX_SAVED_WINDOW_SHARE = 1 / 2


class SlowStartRule(NamedTuple):
    """The slow start parameters for upstreams of one role.

    Attributes:
        role: The role.
        initial_share: Load that an upstream can serve right after its start, as a share of a warm one's load,
            0 to 1.
        duration: Time in which that share grows to 1, ns; afterwards there is no limit.
        overload_factor: Ratio of load to normal load above which a cold upstream is overloaded.
    """

    role: UpstreamRole
    initial_share: float
    duration: int
    overload_factor: float


class SlowStart:
    """Limits the load on upstreams while they warm up."""

    def __init__(self, parameters: Parameters, upstreams: KnownUpstreams, load: LoadEstimate) -> None:
        self._parameters = parameters
        self._upstreams = upstreams
        self._load = load

    def admits(self, request: Request, upstream: Upstream, now: int) -> bool:
        """Return whether slow start allows sending the request to the upstream.

        An upstream that is warm or has no known start time admits every request. A cold one admits a request
        if the object is in the upstream's key range and the upstream's warm-up budget is not exhausted. Key
        range and budget depend on one share: the share of a warm upstream's load that an upstream of this
        age can serve, times the overload factor, times `PLANNED_LOAD_SHARE`. The key range covers this share
        of the hash range. The budget grows by this share of the front's recent load divided by the highest
        number of upstreams of the role listed so far. Each call for a cold upstream refills the budget.
        """
        if not upstream.started_at:
            return True
        age = now - upstream.started_at
        rule = self._rule_for(upstream.role)
        if age >= rule.duration:
            return True
        warm_share = rule.initial_share + (1 - rule.initial_share) * max(age, 0) / rule.duration
        share = warm_share * rule.overload_factor * PLANNED_LOAD_SHARE
        recent = self._load.recent
        rate = share * recent.sum / recent.window / self._upstreams.peak_count(rule.role)
        self._refill(upstream, rate, now)
        if upstream.health.warmup_budget < 0:
            return False
        return rendezvous_score(request.object_id, KEY_RANGE_PART, upstream.name) / HASH_LIMIT < share

    def _rule_for(self, role: UpstreamRole) -> SlowStartRule:
        parameters = self._parameters
        if role is UpstreamRole.PARENT:
            return SlowStartRule(
                role,
                parameters.parent_slow_start_share,
                parameters.parent_slow_start_time,
                parameters.parent_overload_factor,
            )
        return SlowStartRule(
            UpstreamRole.CACHE,
            parameters.slow_start_share,
            parameters.slow_start_time,
            parameters.overload_factor,
        )

    def _refill(self, upstream: Upstream, rate: float, now: int) -> None:
        """Add the elapsed time times `rate` to the warm-up budget, up to its limit.

        The limit is the budget that accrues in `MAX_SAVED_WINDOW_SHARE` of the averaging window.

        Args:
            upstream: The cold upstream.
            rate: Growth of the budget: transfer time per unit of time.
            now: The present time, ns.
        """
        health = upstream.health
        elapsed = now - max(health.warmup_budget_at, upstream.started_at)
        health.warmup_budget_at = now
        limit = rate * self._parameters.overload_window * MAX_SAVED_WINDOW_SHARE
        health.warmup_budget = min(health.warmup_budget + rate * max(elapsed, 0), limit)
