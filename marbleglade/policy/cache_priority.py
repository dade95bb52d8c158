"""The priority with which a cache should keep an object; it rises with the number of requests."""

from __future__ import annotations

UNCACHED_PRIORITY = 0  # the upstream should not cache the object
FIRST_CACHE_PRIORITY = 1  # for an object requested once; it may evict only objects of this priority
MAX_CACHE_PRIORITY = 3
REQUESTS_PER_PRIORITY = 2  # number of requests that raises the priority by one


def cache_priority(requests: int, uncacheable: bool) -> int:
    """Return the cache priority of an object.

    Args:
        requests: Number of requests for the object, including the current one.
        uncacheable: Whether responses of the request class are never cached.
    """
    if uncacheable:
        return UNCACHED_PRIORITY
    return min(MAX_CACHE_PRIORITY, FIRST_CACHE_PRIORITY + requests // REQUESTS_PER_PRIORITY)
