"""The maximum age of cached responses after purges."""

import pytest

from marbleglade.model.attempt import AttemptResult
from tests.harness.units import NS_PER_MS


@pytest.mark.parametrize(
    "object_id, group, requested, limited",
    [(5, 5, 5, True), (5, 5, 13, False), (0, 5, 13, True), (0, 5, 6, False)],
)
@pytest.mark.parametrize(
    "purged_ago, age",
    [(0, 1000), (85 * NS_PER_MS, 85 * NS_PER_MS - 1000), (5000 * NS_PER_MS, 5000 * NS_PER_MS - 1000)],
)
def test_a_purge_limits_the_age_and_clears_the_directory(
    create_harness, object_id, group, requested, limited, purged_ago, age
):
    harness = create_harness()
    harness.finish(harness.request(requested).attempts[0])
    harness.policy.handle_purge(object_id, group, harness.clock - purged_ago)
    attempt = harness.request(requested).attempts[0]
    assert harness.max_ages[-1] == (age if limited else 0)
    assert (
        attempt.upstream in harness.policy.fill_source.holders(attempt.request, harness.clock)
    ) is not limited


def test_a_purge_between_two_attempts_limits_the_second(create_harness):
    """The age was once computed only at admission, so a retry ignored a purge of all objects before it."""
    harness = create_harness()
    first = harness.request(5).attempts[0]
    harness.policy.handle_purge(5, 5, harness.clock)
    harness.finish(first, AttemptResult.REJECTED, 40)
    assert harness.max_ages == [0, 40 * NS_PER_MS - 1000]


@pytest.mark.parametrize(
    "purged, purged_ago, age", [(False, 0, 9000), (True, 5500, 5500), (True, 8000, 8000), (True, 9500, 9000)]
)
def test_a_stale_response_is_never_older_than_a_purge(create_harness, purged, purged_ago, age):
    """While fills are slow the stale grace extends the age limit, but never beyond the last purge."""
    harness = create_harness(freshness_lifetime=5000 * NS_PER_MS)
    harness.parameters.request_classes[0].stale_grace = 4000 * NS_PER_MS
    if purged:
        harness.policy.handle_purge(5, 5, harness.clock - purged_ago * NS_PER_MS)
    harness.policy.links.fills.capacity, harness.policy.links.fills.in_flight = 1.0, 50
    attempt = harness.request(5).attempts[0]
    assert harness.only_if_cached and abs(harness.max_ages[0] - age * NS_PER_MS) <= 1000
    request = attempt.request
    harness.finish(attempt, AttemptResult.MISS, 1)
    assert harness.actions == [("reject", request)]
