"""Slow start of caches and parents."""

import pytest

from marbleglade.model.upstream import UpstreamRole, UpstreamState
from tests.harness.units import NS_PER_MS


@pytest.mark.parametrize("role", [UpstreamRole.CACHE, UpstreamRole.PARENT])
def test_an_upstream_in_slow_start_gets_a_small_share_that_grows(create_harness, role):
    harness = create_harness(siblings_fill=False)
    starting = (harness.caches if role is UpstreamRole.CACHE else harness.parents)[0]
    duration = (
        harness.parameters.slow_start_time
        if role is UpstreamRole.CACHE
        else harness.parameters.parent_slow_start_time
    )
    starting.started_at = harness.clock
    harness.policy.update_endpoints([starting], False)
    shares = []
    for age in (duration // 20, duration // 2, duration * 11 // 10):
        before = len(harness.attempts)
        while harness.clock < starting.started_at + age:
            harness.finish(harness.request(len(harness.attempts) + 1).attempts[0], after_ms=10)
        last = harness.attempts[max(before, len(harness.attempts) - 300) :]
        shares.append(sum(starting in (each.upstream, each.fill_source) for each in last) / len(last))
    assert shares[0] < shares[1] <= shares[2] and shares[0] < 0.1 and shares[2] > 0.15


def test_fronts_do_not_all_send_to_a_newly_started_cache_at_once(create_harness):
    """With hundreds of fronts, one attempt from each would exhaust the warm-up budget of a cold upstream."""
    first, later = 0, 0
    for seed in range(40):
        harness = create_harness(seed=seed, siblings_fill=False)
        starting = harness.caches[0]
        for object_id in range(1, 9):
            harness.finish(harness.request(object_id).attempts[0])
        starting.started_at = harness.clock
        harness.policy.update_endpoints([starting], False)
        first += any(
            harness.request(object_id).attempts[0].upstream is starting for object_id in range(50, 58)
        )
        later += any(
            harness.finish(harness.request(object_id).attempts[0]).upstream is starting
            for object_id in range(100, 150)
        )
    assert first < 4 and 8 < later < 40


def test_a_restart_of_an_ejected_cache_closes_its_circuit(create_harness):
    harness = create_harness()
    cache = harness.caches[0]
    cache.health.circuit_open_until = harness.clock + 5000 * NS_PER_MS
    cache.started_at = harness.clock - 10 * NS_PER_MS
    harness.policy.update_endpoints([cache], False)
    assert cache.health.is_usable(harness.clock) and cache.health.warmup_budget < 0


def test_the_first_caches_to_restart_do_not_receive_all_traffic_of_the_zone(create_harness):
    """Found by a search: most caches of a zone failed, and the first to restart received all the traffic."""
    shares = []
    for removed in (0, 3):
        harness = create_harness(siblings_fill=False)
        for object_id in range(1, 100):
            harness.finish(harness.request(object_id).attempts[0], after_ms=10)
        starting, *others = harness.caches
        starting.started_at = harness.clock
        for cache in others[:removed]:
            cache.state = UpstreamState.REMOVED
        harness.policy.update_endpoints(harness.caches, False)
        before = sum(each.upstream is starting for each in harness.attempts)
        for object_id in range(100, 250):
            for attempt in harness.request(object_id).attempts:
                harness.finish(attempt, after_ms=0)
            harness.clock += 10 * NS_PER_MS
        shares.append(sum(each.upstream is starting for each in harness.attempts) - before)
    assert 0 < shares[1] < 2 * shares[0]
