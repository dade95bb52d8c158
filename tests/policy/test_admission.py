"""Admission of requests: object sizes, cache priorities and local caching."""

import pytest

from tests.harness.units import NS_PER_MS


@pytest.mark.parametrize("uses, priority", [(1, 1), (2, 2), (6, 3)])
def test_cache_priority_grows_with_repeated_use(create_harness, uses, priority):
    harness = create_harness()
    for _ in range(uses):
        attempt = harness.request(3).attempts[0]
        harness.finish(attempt)
    assert attempt.cache_priority == priority


@pytest.mark.parametrize("not_modified, transfer_time", [(False, 20 * NS_PER_MS), (True, 400 * NS_PER_MS)])
def test_a_response_without_body_does_not_update_the_transfer_time(
    create_harness, not_modified, transfer_time
):
    harness = create_harness()
    harness.finish(harness.request(5, size_kb=0).attempts[0], after_ms=400)
    second = harness.request(5, size_kb=0)
    harness.finish(second.attempts[0], after_ms=20, not_modified=not_modified)
    assert harness.request(5, size_kb=0).context.transfer_time == transfer_time


def test_only_objects_requested_again_are_cached_locally(create_harness):
    harness = create_harness(local_link_capacity=4.0)
    for _ in range(3):
        harness.finish(harness.request(5).attempts[0])
    assert harness.cache_locally == [False, True, True]
