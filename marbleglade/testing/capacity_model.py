"""Load models of a stand-in upstream: slower above its capacity, unavailable after a lasting overload."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass

import gevent

MIN_ALLOWED_REQUESTS = 4  # per window; with a lower limit a single client would cause an overload


class CapacityModel:
    """Serves `capacity` concurrent requests at full speed; above that, all requests slow down proportionally.

    Args:
        capacity: Number of requests in flight that are served at full speed.
        overload_ratio: Ratio of requests in flight to capacity above which the upstream is overloaded;
            0 disables outages.
        overload_seconds: Duration of an overload after which the upstream becomes unavailable.
        outage_seconds: Duration of the outage.

    Attributes:
        in_flight: Number of requests being served.
        outage_count: Number of outages so far.
    """

    def __init__(
        self,
        capacity: int,
        overload_ratio: float = 0.0,
        overload_seconds: float = 1.0,
        outage_seconds: float = 2.0,
    ) -> None:
        self.capacity = capacity
        self.overload_ratio = overload_ratio
        self.overload_seconds = overload_seconds
        self.outage_seconds = outage_seconds
        self.in_flight = 0
        self.outage_count = 0
        self._overloaded_since = 0.0
        self._down_until = 0.0

    def serve(self, seconds: float) -> None:
        """Block for the service time of a request, which is `seconds` without other load."""
        now = time.monotonic()
        if now < self._down_until:
            gevent.sleep(self._down_until - now)
        self.in_flight += 1
        try:
            self._track_overload(now)
            gevent.sleep(seconds * max(1.0, self.in_flight / self.capacity))
        finally:
            self.in_flight -= 1

    def _track_overload(self, now: float) -> None:
        if not self.overload_ratio or self.in_flight <= self.overload_ratio * self.capacity:
            self._overloaded_since = 0.0
            return
        self._overloaded_since = self._overloaded_since or now
        if now - self._overloaded_since > self.overload_seconds:
            self._down_until = now + self.outage_seconds
            self._overloaded_since = 0.0
            self.outage_count += 1


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """Load limit of an upstream during slow start; a higher load makes the upstream crash.

    Attributes:
        initial_share: Limit at the start as a share of the limit of a warm upstream.
        duration_seconds: Time until the upstream is warm; the share rises linearly to 1.
        overload_factor: Ratio of the tolerated request rate to `warm_rate`.
        window_seconds: Length of the window in which requests are counted.
        warm_rate: Request rate of a warm upstream, per second.
    """

    initial_share: float
    duration_seconds: float
    overload_factor: float
    window_seconds: float
    warm_rate: float

    def allowed_requests(self, age_seconds: float) -> float:
        """Return the maximum number of requests per window at this age of the upstream."""
        share = self.initial_share + (1 - self.initial_share) * age_seconds / self.duration_seconds
        allowed = self.overload_factor * self.warm_rate * self.window_seconds * share
        return max(allowed, MIN_ALLOWED_REQUESTS)


class WarmUpModel:
    """Detects that an upstream receives more requests than its slow-start limit allows."""

    def __init__(self, limit: WarmUpLimit) -> None:
        self.limit = limit
        self.restart()

    def restart(self) -> None:
        """Begin slow start again."""
        self._started_at = time.monotonic()
        self._arrivals: deque[float] = deque()

    def record_request(self) -> bool:
        """Count a request; return whether it exceeds the limit."""
        now = time.monotonic()
        self._arrivals.append(now)
        while self._arrivals[0] < now - self.limit.window_seconds:
            self._arrivals.popleft()
        age = now - self._started_at
        if age >= self.limit.duration_seconds:
            return False
        return len(self._arrivals) > self.limit.allowed_requests(age)
