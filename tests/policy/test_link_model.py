"""Congestion estimates of links."""

import pytest

from marbleglade.model.attempt import AttemptResult
from tests.harness.units import NS_PER_MS, START_NS


def test_a_link_recovers_after_a_few_long_waits(create_harness):
    """Found in an incident: a few timeouts kept the capacity estimate at one long after the fault ended."""
    link = create_harness().policy.links.fills
    for n in range(30):
        link.observe(8, 100 * NS_PER_MS, 800 * NS_PER_MS, START_NS + n * 40 * NS_PER_MS)
    congested_capacity = link.capacity
    for n in range(60):
        link.observe(2, 100 * NS_PER_MS, 110 * NS_PER_MS, START_NS + (30 + n) * 40 * NS_PER_MS)
    assert congested_capacity < 3 and link.capacity > 2 * congested_capacity


def test_an_overdue_attempt_raises_the_slowdown_of_its_link_before_it_ends(create_harness):
    harness = create_harness(fleet_size=16)
    harness.request(1, 300.0)
    before = harness.policy.links.origin_fetches.slowdown(harness.clock)
    harness.clock += 1000 * NS_PER_MS
    harness.policy.on_timer()
    assert harness.policy.links.origin_fetches.slowdown(harness.clock) > before * 1.5


@pytest.mark.parametrize("loss_interval, congested", [(24, False), (3, True)])
def test_only_frequent_lost_responses_count_as_congestion(create_harness, loss_interval, congested):
    harness, shed_fills = create_harness(), 0
    for start in range(0, 24 * 40, 24):
        attempts = []
        for object_id in range(start, start + 24):  # new objects of unknown size
            harness.only_if_cached = False
            attempts += harness.request(object_id, size_kb=0).attempts
            shed_fills += harness.only_if_cached
        lost = attempts[loss_interval - 1 :: loss_interval]
        for attempt in attempts:
            if attempt not in lost:
                harness.finish(attempt, after_ms=5)
        harness.clock += 500 * NS_PER_MS
        for attempt in lost:
            harness.finish(attempt, AttemptResult.TIMEOUT, 0)
    assert (shed_fills > 0) == congested


@pytest.mark.parametrize("latency_ms, raised", [(10, True), (400, False)])
def test_responses_in_time_raise_the_capacity_of_a_link_that_only_new_objects_use(
    create_harness, latency_ms, raised
):
    harness = create_harness()
    attempts = [harness.request(object_id, size_kb=0).attempts[0] for object_id in range(1, 9)]
    link = harness.policy.links.origin_fetches
    link.capacity = before = 4.0
    for attempt in attempts[4:]:
        harness.finish(attempt, after_ms=latency_ms)
    assert (link.capacity > before) == raised
