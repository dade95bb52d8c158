"""The load that a cache can bear during its slow start, and the peak of the load that it received."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WarmUpBudget:
    """The load that a cache can bear after a cold start.

    Attributes:
        share: The share of the warm load that a cache can bear right after its start.
        warm_after: Seconds after which the cache is warm.
        factor: The multiple of its usual load that a cache can bear.
        window: The length of the window in which requests are counted, in seconds.
        warm_rate: Requests per second that a warm cache usually receives.
    """

    share: float
    warm_after: float
    factor: float
    window: float
    warm_rate: float

    def allowed(self, age: float) -> float:
        """The budget N: requests of mean cost that one window may contain at a given age in seconds."""
        ramp = min(1.0, self.share + (1 - self.share) * age / self.warm_after)
        return self.factor * ramp * self.warm_rate * self.window

    def limit(self, age: float) -> float:
        """The number of requests in one window above which the cache is overloaded."""
        allowed = self.allowed(age)
        return allowed + 2 * math.sqrt(allowed) + 2

    def rules(self) -> dict[str, float]:
        """The budget as entries of `Rules` in the settings."""
        return {
            "Cold": self.warm_after * 1000,
            "ColdFrom": self.share,
            "Fall": self.window * 1000,
            "OverloadFactor": self.factor,
        }


@dataclass(frozen=True, slots=True)
class PeakLoad:
    """The window with the highest ratio of requests to the limit."""

    age: float  # seconds from the start of the cache to the end of the window
    count: int
    limit: float

    @property
    def share(self) -> float:
        """The ratio of the count to the limit; the cache is overloaded if it is above 1."""
        return self.count / self.limit


def peak_load(arrivals: Iterable[float], started_at: float, budget: WarmUpBudget) -> PeakLoad:
    """The peak among all windows that end with an arrival; all times are in monotonic seconds."""
    ages = [arrival - started_at for arrival in sorted(arrivals) if arrival >= started_at]
    worst, first = PeakLoad(0.0, 0, budget.limit(0.0)), 0
    for last, age in enumerate(ages):
        while ages[first] <= age - budget.window:
            first += 1
        found = PeakLoad(age, last + 1 - first, budget.limit(age))
        worst = max(worst, found, key=lambda peak: peak.share)
    return worst
