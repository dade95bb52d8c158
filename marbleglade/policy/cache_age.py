"""The maximum age of cached responses after purges, and while purge events may be missing."""

from __future__ import annotations

from ..model.max_age import DEFAULT_MAX_AGE, stricter_max_age
from ..model.parameters import Parameters
from ..model.request import Request
from ..runtime.units import MICROSECOND_NS
from ..state.purge_history import PurgeHistory

# The lowest age limit. A limit of 0 would mean "no limit", and so would a smaller one that is later rounded
# down to whole microseconds.
MIN_AGE_LIMIT_NS = MICROSECOND_NS
PURGE_MARGIN_NS = MICROSECOND_NS  # excludes a response issued at the moment of the purge
# How long a purge limits the age of cached responses, in percent of the purge deadline. By the deadline all
# caches have applied the purge; the other 50 % are a margin.
PURGE_LIMIT_PERCENT = 150
PURGE_RETENTION_DEADLINES = 2  # purge deadlines for which a purge is stored: longer than it limits ages


class CacheAgeLimit:
    """Computes the `max_age` of each attempt; see `model.max_age`."""

    def __init__(self, parameters: Parameters) -> None:
        retention = parameters.purge_deadline * PURGE_RETENTION_DEADLINES
        self._purges = PurgeHistory(retention, unknown_group=None)
        self._purge_limit_time = parameters.purge_deadline * PURGE_LIMIT_PERCENT // 100
        self._general_limit = DEFAULT_MAX_AGE  # ns; set while purge events may be missing

    def add_purge(self, object_id: int, group: int, purged_at: int, now: int) -> None:
        """Record a purge of an object or, if `object_id` is 0, of a group; times in ns."""
        self._purges.add(object_id, group, max(purged_at, 0), now)

    def set_general_limit(self, max_age: int) -> None:
        """Limit the age of all cached responses to `max_age` ns; 0 (`DEFAULT_MAX_AGE`) removes the limit."""
        is_set = max_age != DEFAULT_MAX_AGE
        self._general_limit = max(max_age, MIN_AGE_LIMIT_NS) if is_set else DEFAULT_MAX_AGE

    def age_limit(self, request: Request, now: int, grace: int = 0) -> int:
        """Return the maximum age of a cached response, ns; 0 (`DEFAULT_MAX_AGE`) if it is not limited.

        Args:
            request: The request.
            now: The present time, ns.
            grace: Time for which a response is accepted after the end of its freshness lifetime, ns.
        """
        limit = stricter_max_age(self._limit_after_purge(request, now), self._general_limit)
        lifetime = request.request_class.freshness_lifetime + grace
        if limit == DEFAULT_MAX_AGE or 0 < lifetime < limit:
            # The upstream applies the freshness lifetime itself. A limit is sent only if a grace extends it.
            return lifetime if grace else DEFAULT_MAX_AGE
        return limit

    def is_limited(self, request: Request, now: int) -> bool:
        """Return whether a limit stricter than the freshness lifetime applies to cached responses."""
        return self.age_limit(request, now) != DEFAULT_MAX_AGE

    def _limit_after_purge(self, request: Request, now: int) -> int:
        since_purge = now - self._purges.latest(request.object_id, request.group)
        if since_purge > self._purge_limit_time:
            return DEFAULT_MAX_AGE
        return max(since_purge - PURGE_MARGIN_NS, MIN_AGE_LIMIT_NS)
