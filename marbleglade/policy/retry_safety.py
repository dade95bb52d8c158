"""Decides where a request may be sent again after an attempt that may already have run."""

from __future__ import annotations

from ..model.request import DeduplicationScope, Idempotency, Request
from ..model.upstream import Upstream


def may_send_to(request: Request, upstream: Upstream, now: int) -> bool:
    """Return whether an attempt at an upstream cannot repeat the effect of the request.

    Requests of an `IDEMPOTENT` class may be sent anywhere. Any other request that may have run is sent only
    to upstreams that would detect the duplicate. It is sent nowhere if it must not be repeated or if its
    deduplication window has ended.
    """
    request_class = request.request_class
    first = next((each for each in request.attempts if each.may_have_run), None)
    if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if not request.may_send_attempt(now):
        return False
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        return upstream.zone == first.upstream.zone
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return upstream.cell == first.upstream.cell
    return True
