"""Limits the age of the cached objects that a front may serve while it may have missed purges."""

from __future__ import annotations

from ...runtime.error_guard import ErrorGuard
from ...runtime.units import MILLISECOND_NS
from .client_status import AgeLimitStatus
from .purge_coverage import PurgeCoverage
from .target import ControlTarget


class AgeLimiter:
    """Applies the age limit computed by a `PurgeCoverage` to the front.

    Args:
        coverage: Tracks since when the front may have missed purges.
        target: The front that serves the cached objects.
        guard: Provides the counters and the log.

    Attributes:
        limit: The maximum age in force, in nanoseconds; 0 without a limit.
    """

    def __init__(self, coverage: PurgeCoverage, target: ControlTarget, guard: ErrorGuard) -> None:
        self._coverage = coverage
        self._target = target
        self._counters = guard.counters
        self._log = guard.log
        self.limit = 0

    def next_change_at(self) -> int | None:
        """Return when the limit starts unless the front catches up before; None while it is in force."""
        return None if self.limit else self._coverage.expires_at

    def record_caught_up(self, now: int) -> bool:
        """Record that the front caught up with a source; return whether a limit in force is to be lifted."""
        self._coverage.record_caught_up(now)
        return bool(self.limit)

    def apply(self, now: int) -> None:
        """Set the limit at the front if it differs from the one in force."""
        limit = self._coverage.age_limit(now)
        if limit == self.limit:
            return
        self._target.limit_cache_age(limit)
        self.limit = limit
        self._counters.add("control.age_limited" if limit else "control.age_limit_ended")
        self._log.info("control", age_limit_ms=limit // MILLISECOND_NS)

    def status(self, now: int) -> AgeLimitStatus:
        """Return the fields for the periodic `counters` log event."""
        return {
            "age_limit_ms": self.limit // MILLISECOND_NS,
            "complete_ms": (now - self._coverage.caught_up_at) // MILLISECOND_NS,
        }
