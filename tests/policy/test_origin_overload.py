"""Load shedding before the origin is overloaded, and fill probes during congestion."""

import pytest

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.upstream import UpstreamRole
from tests.harness.units import NS_PER_MS


@pytest.mark.parametrize("latency_ms, min_fills, max_fills", [(60, 12, 40), (900, 1, 4)])
def test_the_end_of_congested_fills_is_found_by_one_probe_at_a_time(
    create_harness, latency_ms, min_fills, max_fills
):
    """Guards against rejections that go on after congestion has ended.

    After a stall of 4 s, six in ten new objects were rejected for 17 s more. All attempts were
    only-if-cached, so none measured whether fills had recovered.
    """
    harness, fetched = create_harness(fleet_size=16), 0
    for link in (harness.policy.links.fills, harness.policy.links.origin_fetches):
        link.observe(2, 100 * NS_PER_MS, 6000 * NS_PER_MS, harness.clock)
    for object_id in range(1, 21):
        attempts = [attempt for n in (0, 100) for attempt in harness.request(object_id + n).attempts]
        fills = [attempt for attempt in attempts if attempt.fill_source is not attempt.upstream]
        # Fills are probes, and only one is sent at a time until three have been sent.
        assert len(fills) < 2 or fetched >= 3
        fetched += len(fills)
        for attempt in attempts:
            harness.finish(
                attempt, *((AttemptResult.OK, latency_ms) if attempt in fills else (AttemptResult.MISS, 5))
            )
        harness.clock += 40 * NS_PER_MS
    assert min_fills <= fetched <= max_fills  # late probes cause a backoff


@pytest.mark.parametrize("factor, slowdown, fetched", [(2.5, 250, False), (2.5, 150, True), (0.0, 250, True)])
def test_new_objects_are_shed_before_the_origin_is_overloaded(create_harness, factor, slowdown, fetched):
    """Guards against an overload that late fetches do not announce.

    Before an origin was overloaded, its fetches were 2.6 times slower, but still in time.
    """
    harness = create_harness(fleet_size=16, origin_overload_factor=factor)
    harness.policy.links.origin_fetches.observe(
        2, 20_000 * NS_PER_MS, slowdown * 200 * NS_PER_MS, harness.clock
    )
    harness.policy.links.caches.observe(2, 20_000 * NS_PER_MS, 20_000 * NS_PER_MS, harness.clock)
    harness.request(1)  # the fill probe, which is sent regardless of congestion
    assert (harness.request(2).attempts[0].fill_source.role is UpstreamRole.PARENT) is fetched
    harness.finish(harness.attempts[0])
    harness.request(1)
    # The object was requested before, so a cache or parent most likely holds it.
    assert harness.attempts[-1].fill_source.role is UpstreamRole.PARENT


@pytest.mark.parametrize("size_kb, fetched", [(10.0, True), (300.0, False)])
def test_the_lowest_priority_per_transfer_time_is_shed_first(create_harness, size_kb, fetched):
    """The slowdown of the origin is 1.9. Its limit is 2.0 at mean priority and 2.5 for small objects."""
    harness = create_harness(fleet_size=16, origin_overload_factor=2.5)
    for object_id in range(100, 140):
        harness.finish(harness.request(object_id, 50.0).attempts[0], after_ms=30)
    harness.policy.links.origin_fetches.observe(
        2, 200_000 * NS_PER_MS, 1_900 * 200 * NS_PER_MS, harness.clock
    )
    harness.policy.links.caches.observe(2, 200_000 * NS_PER_MS, 200_000 * NS_PER_MS, harness.clock)
    harness.policy.links.origin_fetches.in_flight = 1  # a probe is in flight, so the next fetch is none
    assert (harness.request(7, size_kb).attempts[0].fill_source.role is UpstreamRole.PARENT) is fetched
