"""Builds the message that sends an attempt to a cache, a parent or the origin."""

from __future__ import annotations

from ..model.max_age import DEFAULT_MAX_AGE, stricter_max_age
from ..protocols.cache_protocol import UpstreamRequest
from ..protocols.client_protocol import ClientRequest
from ..runtime.units import MILLISECOND_NS
from ..state.decisions import AttemptOrder

MIN_MAX_AGE_MS = 1  # for limits below a millisecond, as 0 on the wire means the default


def max_age_ms(client_request: ClientRequest, order: AttemptOrder) -> int:
    """Return the stricter `max_age` of policy and client, ms; 0 stands for `DEFAULT_MAX_AGE`."""
    max_age = stricter_max_age(order.max_age, client_request.max_age_ns)
    if max_age == DEFAULT_MAX_AGE:
        return DEFAULT_MAX_AGE
    return max(MIN_MAX_AGE_MS, max_age // MILLISECOND_NS)


def attempt_message(
    client_request: ClientRequest, order: AttemptOrder, fill_source: str, time_left: int
) -> UpstreamRequest:
    """Return the message of an attempt.

    Args:
        client_request: The request of the client.
        order: The policy's order to send the attempt.
        fill_source: Id of the upstream from which a miss is filled; empty: a miss is not filled.
        time_left: Time until the attempt times out, ns.
    """
    return UpstreamRequest(
        id=client_request.trace_id,
        class_name=client_request.class_name,
        object_id=client_request.object_id,
        part=client_request.part,
        timeout_ms=max(1, time_left // MILLISECOND_NS),
        fill_source=fill_source,
        priority=order.attempt.cache_priority,
        max_age_ms=max_age_ms(client_request, order),
        join_fill=order.join_fill,
        only_if_cached=order.only_if_cached,
        refresh=order.refresh,
        cached_etag=client_request.cached_etag,
        body=client_request.body,
        idempotency_key=client_request.idempotency_key,
    )
