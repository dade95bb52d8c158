"""Duplicate purges are detected, and possibly missed purges limit the age of cached objects."""

from marbleglade.control.front_client.deduplication import RecentPurges
from marbleglade.control.front_client.purge_coverage import PurgeCoverage
from marbleglade.model.watch_event import NEVER, Purge
from tests.harness.units import SECOND_NS


def test_duplicates_are_detected_by_object_or_group_and_time_among_a_bounded_number_of_purges():
    recent = RecentPurges(4)
    recent.record(Purge(1, 7, 3, 100))
    assert recent.is_duplicate(Purge(9, 7, 4, 100)) and not recent.is_duplicate(Purge(9, 7, 3, 101))
    recent.record(Purge(1, 0, 3, 100))
    assert recent.is_duplicate(Purge(9, 0, 3, 100)) and not recent.is_duplicate(Purge(9, 0, 4, 100))
    recent.record(Purge(1, 8, 0, NEVER))
    assert not recent.is_duplicate(Purge(1, 8, 0, NEVER))
    for unix_ms in range(8):
        recent.record(Purge(1, 9, 0, unix_ms))
    assert not recent.is_duplicate(Purge(9, 7, 0, 100)) and recent.is_duplicate(Purge(9, 9, 0, 7))


def test_the_age_of_cached_objects_is_limited_while_purges_may_have_been_missed():
    coverage = PurgeCoverage(2600, 10 * SECOND_NS)
    coverage.deadline = 2 * SECOND_NS
    assert coverage.age_limit(coverage.expires_at - 1) == 0
    assert coverage.age_limit(coverage.expires_at) == coverage.max_safe_age == 3 * SECOND_NS // 2
    assert coverage.expires_at - 10 * SECOND_NS < coverage.deadline
    coverage.record_caught_up(20 * SECOND_NS)
    coverage.record_caught_up(15 * SECOND_NS)
    assert (
        coverage.age_limit(21 * SECOND_NS) == 0
        and coverage.age_limit(22 * SECOND_NS) == coverage.max_safe_age
    )
