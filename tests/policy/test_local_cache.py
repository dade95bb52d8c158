"""Responses from the front's local cache."""

import pytest

from marbleglade.model.request import CachedResponse
from tests.harness.units import NS_PER_MS


@pytest.mark.parametrize(
    "transfer_ms, age_ms, purged_ms, served_locally",
    [
        (50, 100, None, True),
        (50, 1900, None, True),
        (50, 2100, None, False),
        (600, 100, None, False),
        (50, 100, 50, False),
        (50, 100, 200, True),
    ],
)
def test_a_cached_response_is_served_if_fresh_enough_and_in_time(
    create_harness, transfer_ms, age_ms, purged_ms, served_locally
):
    harness = create_harness(freshness_lifetime=2000 * NS_PER_MS, local_link_capacity=4.0)
    if purged_ms:
        harness.policy.handle_purge(5, 0, harness.clock - purged_ms * NS_PER_MS)
    request = harness.request(
        5, cached=CachedResponse(transfer_ms * NS_PER_MS, harness.clock - age_ms * NS_PER_MS)
    )
    assert (harness.actions == [("serve_cached", request)]) is served_locally
    assert len(request.attempts) == (not served_locally)


def test_requests_over_the_capacity_of_the_fronts_local_link_are_sent_to_caches(create_harness):
    harness = create_harness(local_link_capacity=4.0)
    served_locally = [
        not harness.request(
            object_id, size_kb=100.0, cached=CachedResponse(100 * NS_PER_MS, harness.clock)
        ).attempts
        for object_id in range(40)
    ]
    count = sum(served_locally)
    assert served_locally == [True] * count + [False] * (40 - count)
    assert 8 < count < 30
    harness.clock += 1000 * NS_PER_MS
    assert not harness.request(50, cached=CachedResponse(100 * NS_PER_MS, harness.clock)).attempts
