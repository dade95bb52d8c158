"""Reasons for which the policy rejects or fails a request.

They appear only as `reason` in the debug log event `finished`, and `docs/on-call.md` explains each. The
routing stage logs two reasons together: why no cache can serve the request, and why no parent serves it in
place of the caches.
"""

from __future__ import annotations

from enum import Enum


class NoCacheReason(Enum):
    """Why the routing stage selects no cache for a request."""

    NONE_ACTIVE = "no active cache in the zone"
    NONE_ADMITTED = "no cache admitted"  # slow start excludes every cache, or a repeat there is unsafe
    CACHE_LINK_CONGESTED = "cache's own link congested"
    ZONE_LINK_NOT_FREE = "cache's own link congested, zone not reported free"


class NoParentReason(Enum):
    """Why no parent serves a request in place of the caches."""

    NOT_ALLOWED = "parents may not serve directly"  # disabled in the settings
    NONE_USABLE = "no parent usable"  # none is active, not ejected, admitted and not avoided
    REPEAT_UNSAFE = "repeat at the parent unsafe"
    TOO_SLOW = "parent too slow"


class NoRetryReason(Enum):
    """Why a failed attempt is not retried."""

    OBJECT_NOT_FOUND = "object not found"  # or not cached, if only a cached copy was requested
    NOT_STARTED = "attempt dropped before it was started"
    ATTEMPT_LIMIT = "attempt limit reached"
    BUDGET_EMPTY = "retry budget empty"
    CLIENT_HALF_CLOSED = "client half-closed"
    DEADLINE = "no time left for a retry"
    FILLS_CONGESTED = "too late for a retry"  # the routing stage predicted that a fill would take too long


def routing_reason(no_cache: NoCacheReason, no_parent: NoParentReason) -> str:
    """Return the log text for a request that neither a cache nor a parent can serve."""
    return f"{no_cache.value}; {no_parent.value}"
