"""Selection of the cache for a request."""

from collections import Counter

import pytest

from marbleglade.model.attempt import ResponseSource
from marbleglade.model.upstream import UpstreamRole, UpstreamState
from tests.harness.units import NS_PER_MS


def preferred_upstreams(create_harness, object_id):
    """Return the names of the cache and parent that a new front selects for an object."""
    attempt = create_harness().request(object_id).attempts[0]
    return attempt.upstream.name, attempt.fill_source.name


@pytest.mark.parametrize("object_id", range(1, 12))
def test_fronts_agree_on_cache_and_parent(create_harness, object_id):
    assert preferred_upstreams(create_harness, object_id) == preferred_upstreams(
        lambda: create_harness(seed=99), object_id
    )
    roles = {create_harness().request(object_id).attempts[0].fill_source.role}
    assert roles == {UpstreamRole.PARENT}


def test_the_hash_spreads_objects_over_all_caches_and_parents(create_harness):
    choices = [preferred_upstreams(create_harness, object_id) for object_id in range(1, 200)]
    for index, count in ((0, 4), (1, 3)):
        uses = Counter(choice[index] for choice in choices)
        assert len(uses) == count and min(uses.values()) > 199 / count / 2


@pytest.mark.parametrize("state", [UpstreamState.DRAINING, UpstreamState.REMOVED])
@pytest.mark.parametrize("role", [UpstreamRole.CACHE, UpstreamRole.PARENT])
def test_a_draining_or_removed_upstream_gets_no_attempt_and_no_fill(create_harness, state, role):
    harness = create_harness()
    for object_id in range(1, 60):
        harness.finish(harness.request(object_id).attempts[0])
    upstream = (harness.caches if role is UpstreamRole.CACHE else harness.parents)[1]
    upstream.state = state
    harness.policy.update_endpoints([upstream], False)
    for object_id in range(1, 60):
        attempt = harness.request(object_id).attempts[0]
        assert upstream not in (attempt.upstream, attempt.fill_source)
        harness.finish(attempt)


def test_a_complete_list_removes_the_caches_that_it_leaves_out(create_harness):
    harness = create_harness()
    harness.policy.update_endpoints([*harness.caches[1:], *harness.parents, harness.origin], True)
    assert all(
        harness.request(object_id).attempts[0].upstream is not harness.caches[0] for object_id in range(1, 60)
    )


def test_a_zone_whose_caches_are_all_ejected_is_still_used(create_harness):
    harness = create_harness()
    for cache in harness.caches:
        cache.health.circuit_open_until = harness.clock + 1000 * NS_PER_MS
    assert harness.request(5).attempts


@pytest.mark.parametrize("fleet_size, accepted", [(1, True), (16, False)])
def test_congestion_caused_by_other_fronts_is_detected_from_the_slowdown_of_a_link(
    create_harness, fleet_size, accepted
):
    """Found in two incidents: with 16 fronts, one front's transfers do not show congestion of the caches."""
    harness = create_harness(fleet_size=fleet_size, reports_cache_status=True)
    for attempt in [harness.request(object_id, 300.0).attempts[0] for object_id in (1, 2, 3)]:
        harness.finish(attempt, after_ms=500, source=ResponseSource.HIT)
    assert bool(harness.request(99, 300.0).attempts) is accepted


@pytest.mark.parametrize(
    "congestion, role", [(0.5, UpstreamRole.PARENT), (3.0, UpstreamRole.CACHE), (None, UpstreamRole.CACHE)]
)
def test_while_fills_are_congested_the_reported_link_decides_whether_a_parent_fills(
    create_harness, congestion, role
):
    """A slow origin leaves capacity on the zone's link, which parents can use for objects that they hold."""
    harness = create_harness(load_probes_allowed=congestion is not None)
    harness.policy.on_timer()
    assert [action for action, _ in harness.actions] == ["probe"] * (congestion is not None)
    if congestion is not None:
        harness.actions[0][1].congestion, harness.actions[0][1].reported_at = congestion, harness.clock
    harness.policy.links.fills.capacity, harness.policy.links.fills.in_flight = 1.0, 50
    assert harness.request(5).attempts[0].fill_source.role is role and harness.only_if_cached


@pytest.mark.parametrize(
    "direct, congestion, fills_slow, role",
    [
        (True, 0.5, False, UpstreamRole.ORIGIN),
        (True, 0.5, True, UpstreamRole.PARENT),
        (True, 2.0, False, None),
        (False, 0.5, False, None),
    ],
)
def test_a_parent_serves_if_caches_are_congested_and_the_zone_link_has_capacity(
    create_harness, direct, congestion, fills_slow, role
):
    """Found in a mass restart: the remaining caches were overloaded while the zone's link was idle."""
    harness = create_harness(parents_serve_directly=direct, fleet_size=16)
    harness.caches[0].congestion, harness.caches[0].reported_at = congestion, harness.clock
    for cache in harness.caches:
        cache.health.link.observe(1, 100 * NS_PER_MS, 900 * NS_PER_MS, harness.clock)
    if fills_slow:
        harness.policy.links.fills.observe(1, 100 * NS_PER_MS, 900 * NS_PER_MS, harness.clock)
    attempts = harness.request(5).attempts
    assert bool(attempts) is (role is not None)
    assert not attempts or (
        attempts[0].upstream.role is UpstreamRole.PARENT and attempts[0].fill_source.role is role
    )
