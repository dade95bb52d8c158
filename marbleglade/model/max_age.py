"""`max_age`: the greatest age at which a cached response may be served, counted from its issue by the origin.

The value 0 (`DEFAULT_MAX_AGE`) sets no limit: only the freshness lifetime of the request class applies. If
the class has no lifetime, a response of any age may be served. An attempt's `max_age` replaces the lifetime.

Every interface uses this convention: the limit for the whole front, the attempts ordered by the policy, and
the requests to caches and other regions. The unit is nanoseconds (`max_age`, `max_age_ns`) or milliseconds
(`max_age_ms`). An expired limit is therefore the smallest positive value, never 0.
"""

from __future__ import annotations

DEFAULT_MAX_AGE = 0


def stricter_max_age(one: int, other: int) -> int:
    """Return the smaller limit of those that are set; `DEFAULT_MAX_AGE` if neither is set."""
    return min(one or other, other or one)
