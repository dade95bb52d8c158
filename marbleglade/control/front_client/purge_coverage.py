"""Tracks whether a front may have missed purges, and the safe age of cached objects meanwhile.

Without I/O, clocks or randomness. Times are nanoseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from .node_selection import HEARTBEAT_INTERVAL_NS

# A healthy source shows at each heartbeat that the front has caught up with it. The additional half interval
# allows for a late heartbeat.
MIN_TIME_TO_LIMIT_NS = HEARTBEAT_INTERVAL_NS * 3 // 2


@dataclass(slots=True)
class PurgeCoverage:
    """Since when purges may have been missed, and the safe age of cached objects meanwhile.

    While the front has caught up with a source (a control node or the discovery service) at each heartbeat,
    purges reach it in time. Otherwise purges may have been issued that the front has not received. Once three
    quarters of the purge deadline have passed without such a source, the front may only serve cached objects
    younger than that time, so that no purged object is served after the deadline. The remaining quarter
    allows for delays of the network and of timers.

    Attributes:
        deadline: The time within which a purge must reach every front, in nanoseconds.
        caught_up_at: When the front last caught up with a source, in nanoseconds; initially its start.
    """

    deadline: int
    caught_up_at: int

    @property
    def max_safe_age(self) -> int:
        """The maximum safe age of a cached object while purges may have been missed, in nanoseconds."""
        return self.deadline * 3 // 4

    @property
    def expires_at(self) -> int:
        """When the age limit starts if the front catches up with no source before, in nanoseconds."""
        return self.caught_up_at + max(self.max_safe_age, MIN_TIME_TO_LIMIT_NS)

    def record_caught_up(self, now: int) -> None:
        """Record that the front has applied all events of a source."""
        self.caught_up_at = max(self.caught_up_at, now)

    def age_limit(self, now: int) -> int:
        """Return the maximum age of a cached object in nanoseconds; 0 without a limit."""
        return self.max_safe_age if now >= self.expires_at else 0
