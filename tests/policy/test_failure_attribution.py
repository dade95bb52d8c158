"""Attribution of failures, ejection and half-open probes."""

import pytest

from marbleglade.model.attempt import AttemptResult, ResponseSource
from marbleglade.model.policy_action import PolicyAction, PolicyActionKind
from marbleglade.model.request import Idempotency
from marbleglade.model.upstream import Upstream, UpstreamRole, UpstreamState
from marbleglade.policy.rendezvous import rank_by_rendezvous
from tests.harness.units import NS_PER_MS, START_NS


def ejected_upstreams(harness):
    """Return the upstreams for which the policy recorded an ejection."""
    assert {action.kind for action in harness.recorded_actions} <= {PolicyActionKind.EJECTED}
    return {action.upstream for action in harness.recorded_actions}


def test_a_silent_cache_is_ejected_and_its_attempts_fail_over(create_harness):
    """One cache accepts requests and answers none, while the other caches keep answering."""
    harness = create_harness()
    silent = harness.caches[2]
    for object_id in range(1, 400):
        attempt = harness.request(object_id).attempts[0]
        if attempt.upstream is not silent:
            harness.finish(attempt, after_ms=15)
        harness.policy.on_timer()
    failed_over = [attempt for action, attempt in harness.actions if action == "cancel"]
    assert failed_over and all(each.upstream is silent for each in failed_over)
    assert ejected_upstreams(harness) == {silent}
    assert harness.finish(failed_over[-1], AttemptResult.CANCELLED, 1).upstream is not silent
    assert silent.health.circuit_open_until > START_NS


def test_an_ejection_is_logged_with_the_upstream_and_its_role():
    ejection = PolicyAction(PolicyActionKind.EJECTED, Upstream(b"10.0.0.1:7000", UpstreamRole.PARENT))
    assert ejection.log_fields() == {"action": "ejected", "upstream": "10.0.0.1:7000", "role": "parent"}


def test_no_upstream_is_ejected_if_all_fail_at_the_same_rate(create_harness):
    """A slow origin or congested link affects all upstreams; an ejection would only move the load."""
    harness = create_harness()
    for object_id in range(1, 200):
        attempt = harness.request(object_id).attempts[0]
        harness.finish(attempt, AttemptResult.ERROR if len(harness.attempts) % 3 == 0 else AttemptResult.OK)
    assert not harness.recorded_actions


@pytest.mark.parametrize("faulty_role", ["upstream", "fill_source"])
def test_fast_errors_are_attributed_to_the_upstream_that_causes_them(create_harness, faulty_role):
    harness = create_harness(siblings_fill=False)
    faulty = harness.caches[1] if faulty_role == "upstream" else harness.parents[1]
    for object_id in range(1, 400):
        attempt = harness.request(object_id).attempts[0]
        harness.finish(
            attempt,
            AttemptResult.ERROR if getattr(attempt, faulty_role) is faulty else AttemptResult.OK,
            10,
            ResponseSource.NOTHING,
        )
    assert ejected_upstreams(harness) == {faulty}


def test_parents_that_all_fail_are_ejected_and_the_origin_fills(create_harness):
    """The parents were once each other's only peers, so none was ejected although every fill failed."""
    harness = create_harness(reports_cache_status=True, siblings_fill=False)
    for object_id in range(1, 600):
        attempt = harness.request(object_id).attempts[0]
        harness.finish(
            attempt,
            *(
                (AttemptResult.OK, 10, ResponseSource.HIT)
                if object_id % 2 or attempt.fill_source is harness.origin
                else (AttemptResult.ERROR, 10, ResponseSource.NOTHING)
            ),
        )
    assert {each.health.circuit_open_until > 0 for each in harness.parents} == {True}
    assert sum(each.fill_source is harness.origin for each in harness.attempts[-100:]) > 25


def test_one_long_response_does_not_count_as_silence(create_harness):
    """With few requests per second a front once cancelled one in five attempts as if caches were silent."""
    harness = create_harness()
    attempt = harness.request(1).attempts[0]
    for _ in range(40):
        harness.clock += 50 * NS_PER_MS
        harness.policy.on_timer()
    assert not harness.actions and not harness.recorded_actions and attempt.upstream.health.error_rate == 0


@pytest.mark.parametrize("size_known", [False, True])
def test_errors_are_attributed_only_if_the_object_is_known_to_exist(create_harness, size_known):
    harness = create_harness()
    for object_id in range(1, 60):
        if size_known:
            harness.finish(harness.request(object_id, size_kb=0).attempts[0], after_ms=5)
        request = harness.request(object_id, size_kb=0)
        while not request.finished:
            harness.finish(request.attempts[-1], AttemptResult.ERROR, 5)
        assert size_known or len(request.attempts) <= 3
    error_rates = [cache.health.error_rate for cache in (*harness.caches, *harness.parents)]
    assert (max(error_rates) > 0) == size_known and (size_known or harness.recorded_actions == [])


@pytest.mark.parametrize("parents", [3, 1])
def test_an_error_on_a_new_object_is_attributed_to_its_source_once_another_answers(create_harness, parents):
    """The only remaining parent once failed nine in ten fills of new objects and was never ejected."""
    harness = create_harness(siblings_fill=False)
    for parent in harness.parents[parents:]:
        parent.state = UpstreamState.REMOVED
    harness.policy.update_endpoints(harness.parents[parents:], False)
    faulty = harness.parents[0]
    for object_id in range(1, 200):
        request = harness.request(object_id, size_kb=0)
        while not request.finished:
            source = request.attempts[-1].fill_source
            harness.finish(
                request.attempts[-1], AttemptResult.ERROR if source is faulty else AttemptResult.OK, 10
            )
    assert ejected_upstreams(harness) == {faulty}


def request_until_served(harness, faulty, object_id):
    """Request a new object of unknown size until it is served; the cache `faulty` fails every attempt."""
    request = harness.request(object_id, size_kb=0)
    while not request.finished:
        attempt = request.attempts[-1]
        harness.finish(attempt, AttemptResult.ERROR if attempt.upstream is faulty else AttemptResult.OK, 10)
    return request


def test_a_cache_that_fails_new_objects_is_avoided_and_ejected(create_harness):
    """Found in a multi-process run: all three attempts went to the same faulty cache, which stayed in use."""
    harness = create_harness(siblings_fill=False)
    faulty = harness.caches[1]
    for object_id in range(1, 60):
        assert len(request_until_served(harness, faulty, object_id).attempts) <= 3
    assert harness.actions == []  # no request was rejected or failed
    assert ejected_upstreams(harness) == {faulty}


def test_an_inconclusive_half_open_probe_is_followed_by_a_wait(create_harness):
    """Found in a multi-process run: a half-open cache got six to nine attempts at once, not one probe."""
    harness = create_harness(siblings_fill=False)
    faulty = harness.caches[1]
    objects_preferring_faulty = [
        n for n in range(1, 400) if rank_by_rendezvous(harness.caches, n, 0)[0] is faulty
    ]
    health = faulty.health
    health.error_rate, health.circuit_open_until = 1.0, harness.clock
    probe = harness.request(objects_preferring_faulty[0], size_kb=0).attempts[0]
    assert probe.upstream is faulty and health.half_open_probe is probe
    harness.policy.retry_budget.tokens = 0  # without a retry the failure cannot be attributed
    harness.finish(probe, AttemptResult.ERROR, 5)
    ended_at = harness.clock
    while harness.clock < ended_at + health.min_backoff:
        assert harness.request(objects_preferring_faulty[1], size_kb=0).attempts[0].upstream is not faulty
        harness.clock += 50 * NS_PER_MS
    assert harness.request(objects_preferring_faulty[1], size_kb=0).attempts[0].upstream is faulty


@pytest.mark.parametrize("uncacheable", [False, True])
def test_an_error_on_a_write_is_attributed_to_its_upstreams(create_harness, uncacheable):
    """A write is never retried, so no later result shows the cause, and its object need not exist before."""
    harness = create_harness(idempotency=Idempotency.NON_IDEMPOTENT, siblings_fill=False)
    harness.parameters.request_classes[0].uncacheable = uncacheable
    for object_id in range(1, 100):
        attempt = harness.request(object_id, size_kb=0).attempts[0]
        harness.finish(
            attempt,
            AttemptResult.ERROR if attempt.fill_source is harness.parents[0] else AttemptResult.OK,
            10,
        )
    assert ejected_upstreams(harness) == ({harness.parents[0]} if uncacheable else set())
