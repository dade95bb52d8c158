"""Adaptive limit on the number of requests that this gateway has in flight to one region.

Requests are not queued: a request above the limit is rejected immediately, and the policy decides what
follows. When a region becomes reachable again, the limit starts low and grows with each served request, so
that the accumulated requests do not overload the region.
"""

from __future__ import annotations

DECREASE_RATIO = 0.7


class ConcurrencyLimit:
    """A limit that served requests raise (slow start, then linearly) and rejections and timeouts lower.

    Args:
        max_limit: The highest limit.
        initial_limit: The limit when the region becomes reachable again; also the lowest limit.
        decrease_interval_ns: The minimum time between two decreases, ns.

    Attributes:
        limit: The current limit.
        in_flight: The number of requests in flight.
        decreased_at: The time at which the limit was last decreased or reset, ns.
    """

    def __init__(self, max_limit: int, initial_limit: int, decrease_interval_ns: int) -> None:
        self.max_limit = max_limit
        self.initial_limit = max(1, initial_limit)
        self.decrease_interval_ns = decrease_interval_ns
        self.limit = float(self.initial_limit)
        self.in_flight = 0
        self.decreased_at = 0

    def restart(self, now: int) -> None:
        """Reset the limit to its initial value, since the region became reachable again at `now`, ns."""
        self.limit = float(min(self.initial_limit, self.max_limit))
        self.decreased_at = now

    def try_acquire(self) -> bool:
        """Count one more request in flight; return False without counting it if the limit is reached."""
        if self.in_flight >= int(self.limit):
            return False
        self.in_flight += 1
        return True

    def release_served(self) -> None:
        """Release a request that was served, and raise the limit.

        Below half of `max_limit` each served request raises the limit by one, so the limit doubles in the
        time that one request takes.
        """
        self.in_flight -= 1
        slow_start = self.limit < self.max_limit / 2
        increase = 1.0 if slow_start else self.initial_limit / self.limit
        self.limit = min(float(self.max_limit), self.limit + increase)

    def release_failed(self, overloaded: bool, now: int) -> None:
        """Release a request that was not served.

        Args:
            overloaded: True if the request was rejected or timed out, so that the limit is lowered.
            now: The current time, ns.
        """
        self.in_flight -= 1
        if overloaded and now - self.decreased_at >= self.decrease_interval_ns:
            self.limit = max(float(self.initial_limit), self.limit * DECREASE_RATIO)
            self.decreased_at = now
