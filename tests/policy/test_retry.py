"""Retries: safety, budget and choice of upstream."""

import pytest

from marbleglade.model.attempt import NEVER_RUN_RESULTS, AttemptResult
from marbleglade.model.request import DeduplicationScope, Idempotency
from marbleglade.model.upstream import UpstreamState

MAY_HAVE_RUN, NEVER_RAN = AttemptResult.ERROR, AttemptResult.REJECTED


@pytest.mark.parametrize(
    "idempotency, scope, result, after_ms, retried, response",
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, MAY_HAVE_RUN, 60, True, None),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, MAY_HAVE_RUN, 60, False, "fail"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, AttemptResult.RESET, 60, False, "fail"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, NEVER_RAN, 60, True, None),
        (Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ALL, MAY_HAVE_RUN, 60, True, None),
        (Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ALL, MAY_HAVE_RUN, 2001, False, "reject"),
        (Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ZONE, MAY_HAVE_RUN, 60, True, None),
        (Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ZONE, MAY_HAVE_RUN, 2001, False, "fail"),
        (Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.CELL, MAY_HAVE_RUN, 60, False, "fail"),
        (Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.CELL, NEVER_RAN, 60, True, None),
    ],
)
def test_no_retry_repeats_an_effect(create_harness, idempotency, scope, result, after_ms, retried, response):
    harness = create_harness(idempotency, scope)
    request = harness.request(4, timeout_ms=4000)
    first = request.attempts[0]
    if scope is DeduplicationScope.CELL and result is MAY_HAVE_RUN:
        first.upstream.state = UpstreamState.DRAINING
        harness.policy.update_endpoints([first.upstream], False)
    harness.finish(first, result, after_ms)
    assert (len(request.attempts) == 2) is retried
    assert [action for action, _ in harness.actions] == ([response] if response else [])


def test_a_request_without_usable_cache_is_rejected_at_once(create_harness):
    harness = create_harness()
    for cache in harness.caches:
        cache.state = UpstreamState.DRAINING
    harness.policy.update_endpoints(harness.caches, False)
    request = harness.request(5)
    assert harness.actions == [("reject", request)] and request.finished and not harness.attempts


@pytest.mark.parametrize("result, max_ratio", [(AttemptResult.ERROR, 1.25), (AttemptResult.REJECTED, 2)])
def test_the_retry_budget_bounds_retries(create_harness, result, max_ratio):
    harness = create_harness()
    for object_id in range(1, 300):
        attempt = harness.request(object_id).attempts[0]
        while not attempt.request.finished:
            attempt = harness.finish(attempt, result, 1)
    assert len(harness.attempts) < 299 * max_ratio + 15
    assert max(len(each.request.attempts) for each in harness.attempts) <= harness.parameters.max_attempts


@pytest.mark.parametrize(
    "result, same_cache, same_source",
    [
        (AttemptResult.REJECTED, True, False),
        (AttemptResult.ERROR, True, False),
        (AttemptResult.RESET, False, True),
    ],
)
def test_a_retry_avoids_the_upstream_that_failed_the_attempt_before(
    create_harness, result, same_cache, same_source
):
    harness = create_harness()
    first = harness.request(7).attempts[0]
    second = harness.finish(first, result)
    assert (second.upstream is first.upstream) is same_cache and (
        second.fill_source is first.fill_source
    ) is same_source
    if same_cache:
        assert harness.finish(second, result, 1).fill_source not in (first.fill_source, second.fill_source)


@pytest.mark.parametrize(
    ("idempotency", "not_written", "response"),
    [
        (Idempotency.NON_IDEMPOTENT, True, "reject"),
        (Idempotency.NON_IDEMPOTENT, False, "fail"),
        (Idempotency.IDEMPOTENT, False, "reject"),
    ],
)
def test_a_half_closed_client_gets_no_retry(create_harness, idempotency, not_written, response):
    harness = create_harness(idempotency)
    request = harness.request()
    harness.attempts[0].not_written = not_written
    request.client_half_closed = True
    harness.finish(harness.attempts[0], AttemptResult.CANCELLED)
    assert len(harness.attempts) == 1
    assert harness.actions == [(response, request)]
    assert AttemptResult.CANCELLED not in NEVER_RUN_RESULTS
