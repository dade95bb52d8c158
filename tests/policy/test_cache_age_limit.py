"""The age limit of all cached responses while purge events may be missing."""

import pytest
from hypothesis import given, settings, strategies

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.max_age import DEFAULT_MAX_AGE, stricter_max_age
from marbleglade.model.request import CachedResponse
from marbleglade.policy_driver import PolicyDriver
from marbleglade.runtime.counters import Counters
from tests.harness.units import NS_PER_MS
from tests.policy.policy_harness import PolicyHarness


@pytest.mark.parametrize(
    "one, other, stricter",
    [(700, 300, 300), (300, 700, 300), (700, 0, 700), (0, 700, 700), (0, 0, DEFAULT_MAX_AGE)],
)
def test_the_stricter_max_age_ignores_unset_limits(one, other, stricter):
    assert stricter_max_age(one, other) == stricter


@pytest.mark.parametrize(
    "freshness_ms, purged_ms, limit_ms, age_ms",
    [
        (0, None, 700, 700),  # only the general limit applies
        (0, 300, 700, 300),  # the limit after a purge is stricter
        (0, 8000, 700, 700),  # the purge is too old to limit the age
        (0, None, 20_000, 20_000),  # the limit exceeds the retention of purges
        (5000, None, 700, 700),  # the limit is stricter than the freshness lifetime
        (500, None, 700, 0),  # the freshness lifetime is stricter, and the cache applies it itself
    ],
)
def test_an_attempt_carries_the_strictest_age_limit(freshness_ms, purged_ms, limit_ms, age_ms):
    harness = PolicyHarness(freshness_lifetime=freshness_ms * NS_PER_MS)
    if purged_ms is not None:
        harness.policy.handle_purge(5, 5, harness.clock - purged_ms * NS_PER_MS)
    harness.policy.limit_cache_age(limit_ms * NS_PER_MS)
    harness.request(5)
    assert abs(harness.max_ages[0] - age_ms * NS_PER_MS) <= 1000


@pytest.mark.parametrize("grace_ms, age_ms", [(400, 900), (4000, 2000)])
def test_a_stale_response_while_fills_are_slow_is_within_the_limit(grace_ms, age_ms):
    harness = PolicyHarness(freshness_lifetime=500 * NS_PER_MS)
    harness.parameters.request_classes[0].stale_grace = grace_ms * NS_PER_MS
    harness.policy.limit_cache_age(2000 * NS_PER_MS)
    harness.policy.links.fills.capacity, harness.policy.links.fills.in_flight = 1.0, 50
    harness.request(5)
    assert harness.only_if_cached and harness.max_ages == [age_ms * NS_PER_MS]


@pytest.mark.parametrize("age_ms, served_locally", [(699, True), (700, False), (1500, False)])
def test_a_locally_cached_response_is_served_within_the_limit(age_ms, served_locally):
    harness = PolicyHarness(freshness_lifetime=2000 * NS_PER_MS, local_link_capacity=4.0)
    harness.policy.limit_cache_age(700 * NS_PER_MS)
    request = harness.request(5, cached=CachedResponse(50 * NS_PER_MS, harness.clock - age_ms * NS_PER_MS))
    assert (harness.actions == [("serve_cached", request)]) is served_locally and (
        not harness.attempts
    ) is served_locally


@pytest.mark.parametrize("limit, sibling_fills", [(700 * NS_PER_MS, False), (0, True)])
def test_no_sibling_fills_while_the_age_limit_is_set(limit, sibling_fills):
    harness = PolicyHarness()
    first = harness.request(5).attempts[0]
    harness.finish(first)
    harness.policy.limit_cache_age(700 * NS_PER_MS)
    harness.policy.limit_cache_age(limit)
    link = first.upstream.health.link
    link.capacity, link.in_flight = 0.01, 4  # too congested for a response from this cache
    assert (harness.request(5).attempts[0].fill_source is first.upstream) is sibling_fills


def test_a_retry_applies_an_age_limit_set_after_the_first_attempt():
    harness = PolicyHarness()
    first = harness.request(5).attempts[0]
    harness.policy.limit_cache_age(700 * NS_PER_MS)
    harness.finish(first, AttemptResult.REJECTED, 40)
    assert harness.max_ages == [0, 700 * NS_PER_MS]


def test_the_limit_can_be_removed_and_a_very_short_limit_is_not_sent_as_0():
    harness = PolicyHarness()
    for limit in (1, 700 * NS_PER_MS, 0):
        harness.policy.limit_cache_age(limit)
        harness.request(5)
    assert harness.max_ages == [1000, 700 * NS_PER_MS, 0]


TIMES_MS = strategies.integers(0, 12_000)


@settings(deadline=None, derandomize=True)
@given(TIMES_MS, TIMES_MS, TIMES_MS, strategies.integers(1, 12_000), strategies.booleans())
def test_the_limit_never_raises_the_allowed_age(freshness_ms, grace_ms, purged_ms, limit_ms, grace_allowed):
    """The allowed age is that of the attempt or, if it is 0, the freshness lifetime of the request class."""
    allowed = []
    for limit in (0, limit_ms * NS_PER_MS):
        harness = PolicyHarness(freshness_lifetime=freshness_ms * NS_PER_MS)
        if purged_ms:
            harness.policy.handle_purge(5, 0, harness.clock - purged_ms * NS_PER_MS)
        harness.policy.limit_cache_age(limit)
        request = harness.request(5)
        age = harness.policy.cache_age.age_limit(
            request, harness.clock, grace_ms * NS_PER_MS if grace_allowed else 0
        )
        allowed.append(age or freshness_ms * NS_PER_MS or float("inf"))
    assert allowed[1] == min(allowed[0], max(limit_ms * NS_PER_MS, 1000))


def test_the_driver_passes_the_age_limit_to_the_policy():
    harness, limits = PolicyHarness(), []
    driver = PolicyDriver(
        harness.parameters,
        lambda *_: harness.policy,
        lambda: harness.clock,
        0,
        Counters(),
        lambda action: None,
    )
    harness.policy.limit_cache_age = limits.append
    driver.limit_cache_age(700 * NS_PER_MS)
    assert limits == [700 * NS_PER_MS]
