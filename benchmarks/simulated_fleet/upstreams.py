"""Simulated caches, parents and origin: how long an attempt takes, and how it ends."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import Enum

from marbleglade.model.attempt import Attempt, AttemptResult
from marbleglade.testing.policy_stub import NS_PER_MS, NS_PER_S

from .parameters import FLOW_KB_PER_S

ORIGIN = b"o"
HIT_TIME, FILL_TIME = 20 * NS_PER_MS, 50 * NS_PER_MS  # without the transfer
MISS_TIME, REJECTION_TIME, ERROR_TIME = 4 * NS_PER_MS, 4 * NS_PER_MS, 5 * NS_PER_MS
REJECTION_RATIO = 4  # ratio of transfers in flight to capacity from which an upstream rejects
SLOW_FACTOR = 8


class Fault(Enum):
    """Fault of an upstream; the values are printed in tables."""

    SLOW = "slow"
    HUNG = "hung"
    ERRING = "erring"


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Duration and result of an attempt.

    Attributes:
        duration: Time from its start to its end, ns.
        result: Result of the attempt.
        occupied: Names of the upstreams where it uses capacity until its end.
    """

    duration: int
    result: AttemptResult
    occupied: tuple[bytes, ...] = ()


class SimulatedUpstreams:
    """Upstreams of the same capacity, which fill misses from one origin.

    Args:
        capacity: Number of transfers at full speed at one upstream.
        origin_capacity: Number of transfers at full speed at the origin.
    """

    def __init__(self, capacity: float, origin_capacity: float) -> None:
        self._capacity, self._origin_capacity = capacity, origin_capacity
        self._in_flight: Counter[bytes] = Counter()
        self._cached: dict[bytes, set[int]] = defaultdict(set)

    def serve(self, attempt: Attempt, only_if_cached: bool, fault: Fault | None) -> AttemptOutcome:
        """Start an attempt; `finish` must be called when its duration has passed."""
        if fault is Fault.ERRING:
            return AttemptOutcome(ERROR_TIME, AttemptResult.ERROR)
        if fault is Fault.HUNG:
            return AttemptOutcome(attempt.timeout, AttemptResult.TIMEOUT)
        name = attempt.upstream.name
        is_hit = attempt.request.object_id in self._cached[name]
        if not is_hit and only_if_cached:
            return AttemptOutcome(MISS_TIME, AttemptResult.MISS)
        capacities = {name: self._capacity}
        if not is_hit:
            capacities[ORIGIN] = self._origin_capacity
        if any(self._in_flight[link] >= REJECTION_RATIO * each for link, each in capacities.items()):
            return AttemptOutcome(REJECTION_TIME, AttemptResult.REJECTED)
        loads = [self._in_flight[link] / capacity for link, capacity in capacities.items()]
        self._in_flight.update(capacities.keys())
        slowdown = max(1.0, *loads) * (SLOW_FACTOR if fault is Fault.SLOW else 1)
        transfer_time = attempt.request.size_kb / FLOW_KB_PER_S * NS_PER_S
        duration = int((HIT_TIME if is_hit else FILL_TIME) + transfer_time * slowdown)
        result = AttemptResult.OK if duration < attempt.timeout else AttemptResult.TIMEOUT
        return AttemptOutcome(min(duration, attempt.timeout), result, tuple(capacities))

    def finish(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Release the capacity that an attempt used, and cache its object if it succeeded."""
        self._in_flight.subtract(outcome.occupied)
        if outcome.result is AttemptResult.OK:
            self._cached[attempt.upstream.name].add(attempt.request.object_id)
