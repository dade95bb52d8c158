"""Figures that are measured in a simulated fleet."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from marbleglade.testing.policy_stub import NS_PER_MS, NS_PER_S

MIN_FIRST_ATTEMPTS = 20  # at one upstream in one second; a ratio of fewer is meaningless
RECOVERED_SHARE = 0.95  # of the share served before the fault
RECOVERY_STEP, MAX_RECOVERY_STEPS = 0.5, 12  # step in seconds; steps until the fleet counts as not recovered
BASELINE_SECONDS = (2, 4)  # begin and end of the time before the fault, in seconds
MUCH_LARGER_FACTOR = 2  # factor over the size of a rejected request
MIN_SERVED_SHARE = 0.9
MIN_LARGER_REQUESTS = 3
COMPARISON_SLOT = 100 * NS_PER_MS


class AnsweredRequest(NamedTuple):
    """A request that got its final answer.

    Attributes:
        received_at: Simulated time when the front received the request, ns.
        served: Whether it was served, in time or late.
        in_time: Whether it was served within its latency objective.
        rejected: Whether it was rejected.
        size_kb: Size of its object, kB.
    """

    received_at: int
    served: bool
    in_time: bool
    rejected: bool
    size_kb: float


@dataclass(slots=True)
class FleetMeasurements:
    """Counts of one simulation.

    Attributes:
        started_at: Start of the simulation, ns.
        request_count: Number of requests sent.
        duplicate_answers: Number of answers after the first one of a request.
        probe_count: Number of load probes since the fleet had its first views.
        answered: The requests that got an answer, in the order of the answers.
    """

    started_at: int
    request_count: int = 0
    duplicate_answers: int = 0
    probe_count: int = 0
    answered: list[AnsweredRequest] = field(default_factory=list)
    _answered_by_slot: dict[tuple[bytes, int], list[AnsweredRequest]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _first_attempts: Counter[tuple[int, bytes]] = field(default_factory=Counter)
    _attempts: Counter[tuple[int, bytes]] = field(default_factory=Counter)

    @property
    def lost_requests(self) -> int:
        """Number of requests without an answer."""
        return self.request_count - len(self.answered)

    def add_attempt(self, second: int, upstream: bytes, is_first: bool) -> None:
        """Count an attempt."""
        self._first_attempts[second, upstream] += is_first
        self._attempts[second, upstream] += 1

    def add_answer(self, answered: AnsweredRequest, preferred_cache: bytes) -> None:
        """Count an answer to a request for an object with this preferred cache."""
        self.answered.append(answered)
        self._answered_by_slot[preferred_cache, answered.received_at // COMPARISON_SLOT].append(answered)

    def served_share(self, begin: float = 1, end: float = 99) -> float:
        """Return the share served in time of requests received between two seconds; 1 if there were none."""
        in_time = [
            one.in_time
            for one in self.answered
            if begin <= (one.received_at - self.started_at) / NS_PER_S < end
        ]
        return sum(in_time) / len(in_time) if in_time else 1.0

    def amplification(self) -> float:
        """Return the highest ratio of attempts to first attempts in any second at any upstream."""
        ratios = (
            self._attempts[key] / count
            for key, count in self._first_attempts.items()
            if count >= MIN_FIRST_ATTEMPTS
        )
        return max(ratios, default=1.0)

    def recovery_seconds(self, fault_end: float) -> float:
        """Return the seconds from `fault_end` until nearly the same share is served as before the fault."""
        before = self.served_share(*BASELINE_SECONDS)
        for step in range(MAX_RECOVERY_STEPS):
            begin = fault_end + step * RECOVERY_STEP
            if self.served_share(begin, begin + RECOVERY_STEP) >= RECOVERED_SHARE * before:
                return step * RECOVERY_STEP
        return MAX_RECOVERY_STEPS * RECOVERY_STEP

    def wrongly_rejected_share(self) -> float:
        """Return the share of rejected requests for which much larger ones were served at the same time.

        Requests with the same preferred cache in the same tenth of a second are compared.
        """
        wrong = rejected = 0
        for slot in self._answered_by_slot.values():
            for one in slot:
                if not one.rejected:
                    continue
                larger = [other.served for other in slot if other.size_kb > MUCH_LARGER_FACTOR * one.size_kb]
                rejected += 1
                wrong += len(larger) > MIN_LARGER_REQUESTS and sum(larger) > MIN_SERVED_SHARE * len(larger)
        return wrong / rejected if rejected else 0.0
