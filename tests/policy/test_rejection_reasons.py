"""The logged reason of a rejected or failed request states the cause."""

import pytest

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.request import DeduplicationScope, Idempotency
from marbleglade.model.upstream import UpstreamState
from marbleglade.policy.rejection_reasons import (
    NoCacheReason,
    NoParentReason,
    NoRetryReason,
    routing_reason,
)
from tests.harness.units import NS_PER_MS


def drain(harness, upstreams):
    for upstream in upstreams:
        upstream.state = UpstreamState.DRAINING
    harness.policy.update_endpoints(upstreams, False)


def congest(harness, upstreams):
    for upstream in upstreams:
        upstream.health.link.observe(1, 100 * NS_PER_MS, 900 * NS_PER_MS, harness.clock)


@pytest.mark.parametrize(
    "result, change, reason",
    [
        (AttemptResult.MISS, {}, NoRetryReason.OBJECT_NOT_FOUND),
        (AttemptResult.NOT_STARTED, {}, NoRetryReason.NOT_STARTED),
        (AttemptResult.RESET, {"max_attempts": 1}, NoRetryReason.ATTEMPT_LIMIT),
        (AttemptResult.RESET, {"tokens": 0.0}, NoRetryReason.BUDGET_EMPTY),
        (AttemptResult.RESET, {"client_half_closed": True}, NoRetryReason.CLIENT_HALF_CLOSED),
        (AttemptResult.RESET, {"after_ms": 2499}, NoRetryReason.DEADLINE),
    ],
)
def test_the_reason_states_why_a_failed_attempt_is_not_retried(create_harness, result, change, reason):
    harness = create_harness(max_attempts=change.get("max_attempts", 3))
    request = harness.request()
    harness.policy.retry_budget.tokens = change.get("tokens", 12.0)
    request.client_half_closed = change.get("client_half_closed", False)
    harness.finish(request.attempts[0], result, change.get("after_ms", 60))
    assert harness.actions == [("reject", request)]
    assert request.reason == reason.value


@pytest.mark.parametrize(
    "direct, parents_drain, parents_congested, reason",
    [
        (False, False, False, NoParentReason.NOT_ALLOWED),
        (True, True, False, NoParentReason.NONE_USABLE),
        (True, False, True, NoParentReason.TOO_SLOW),
    ],
)
def test_without_a_cache_the_reason_states_why_no_parent_serves(
    create_harness, direct, parents_drain, parents_congested, reason
):
    harness = create_harness(parents_serve_directly=direct, fleet_size=16)
    drain(harness, harness.caches)
    if parents_drain:
        drain(harness, harness.parents)
    if parents_congested:
        congest(harness, harness.parents)
    request = harness.request(5)
    assert request.reason == routing_reason(NoCacheReason.NONE_ACTIVE, reason)


def test_the_reason_states_that_a_repeat_is_unsafe_at_every_upstream(create_harness):
    harness = create_harness(
        Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ALL, parents_serve_directly=True
    )
    request = harness.request(4, timeout_ms=4000)
    harness.finish(request.attempts[0], AttemptResult.ERROR, 2001)
    assert request.reason == routing_reason(NoCacheReason.NONE_ADMITTED, NoParentReason.REPEAT_UNSAFE)


@pytest.mark.parametrize(
    "congestion, reason",
    [(0.5, NoCacheReason.CACHE_LINK_CONGESTED), (2.0, NoCacheReason.ZONE_LINK_NOT_FREE)],
)
def test_with_congested_caches_the_reason_states_whether_the_zone_has_capacity(
    create_harness, congestion, reason
):
    harness = create_harness(fleet_size=16)
    harness.caches[0].congestion, harness.caches[0].reported_at = congestion, harness.clock
    congest(harness, harness.caches)
    request = harness.request(5)
    assert request.reason == routing_reason(reason, NoParentReason.NOT_ALLOWED)


def test_the_reason_states_that_fills_are_too_congested_for_a_retry(create_harness):
    harness = create_harness(fleet_size=16)
    request = harness.request(5)
    harness.policy.links.fills.capacity, harness.policy.links.fills.in_flight = 1.0, 500
    harness.finish(request.attempts[0], AttemptResult.RESET, 1)
    assert request.reason == NoRetryReason.FILLS_CONGESTED.value
