"""Selection of the fill source for a cache miss."""

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.upstream import UpstreamRole, UpstreamState
from tests.harness.units import NS_PER_MS


def test_a_sibling_in_the_directory_fills_and_the_parent_is_the_fallback(create_harness):
    harness = create_harness()
    first = harness.request(5).attempts[0]
    harness.finish(first)
    first.upstream.state = UpstreamState.DRAINING  # its directory entry stays, but it gets no attempt
    harness.policy.update_endpoints([first.upstream], False)
    assert harness.request(5).attempts[0].fill_source.role is UpstreamRole.PARENT
    first.upstream.state = UpstreamState.ACTIVE
    harness.policy.update_endpoints([first.upstream], False)
    harness.finish(harness.request(5).attempts[0])
    first.upstream.health.circuit_open_until = harness.clock + 100 * NS_PER_MS
    first.upstream.health.half_open_probe = None
    second = harness.request(5).attempts[0]
    assert second.upstream is not first.upstream
    first.upstream.health.circuit_open_until = 0
    harness.finish(second)
    second.upstream.health.contents_lost_at = harness.clock  # only the first is still a holder
    first.upstream.health.link.capacity, first.upstream.health.link.in_flight = 0.01, 4
    third = harness.request(5)
    assert third.attempts[0].fill_source is first.upstream
    retry = harness.finish(third.attempts[0], AttemptResult.MISS, 3)
    assert retry.request is third and retry.fill_source.role is UpstreamRole.PARENT


def test_directory_entries_expire(create_harness):
    harness = create_harness()
    attempt = harness.request(5).attempts[0]
    harness.finish(attempt)
    holders = harness.policy.fill_source.holders
    assert holders(attempt.request, harness.clock) == [attempt.upstream]
    assert holders(attempt.request, harness.clock + harness.policy.durations.observation_lifetime) == []
