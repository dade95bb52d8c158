"""Leadership of a task, the choice of the preferred holder, and the extra probers of an open circuit."""

import pytest

from marbleglade.fleet.leadership import (
    LEASE_PERIODS,
    VIEWS_PER_ROTATION,
    Leadership,
    is_extra_prober,
    preferred_holder,
    rendezvous_draw,
)
from tests.harness.units import NS_PER_MS, START_NS

PERIOD_NS = 1000 * NS_PER_MS
MEMBERS = range(50)
TASKS = [b"try %d" % number for number in range(400)]


def test_only_tasks_of_a_member_that_left_change_their_preferred_holder():
    remaining = [number for number in MEMBERS if number != 17]
    before = {task: preferred_holder(task, MEMBERS) for task in TASKS}
    after = {task: preferred_holder(task, remaining) for task in TASKS}
    assert all(after[task] == holder for task, holder in before.items() if holder != 17)


def test_tasks_are_spread_evenly_and_by_weight():
    holders = [preferred_holder(task, MEMBERS) for task in TASKS]
    weighted = [preferred_holder(task, MEMBERS, lambda number: 4.0 if number == 3 else 1.0) for task in TASKS]
    assert max(map(holders.count, MEMBERS)) < 24
    assert weighted.count(3) > 2 * holders.count(3)


def test_a_draw_is_a_fraction_and_without_members_nobody_is_preferred():
    assert 0 < rendezvous_draw(b"x", 1) < 1
    assert preferred_holder(b"x", []) is None


def test_the_later_term_wins_and_the_earlier_leader_waits_until_its_lease_expires():
    leadership = Leadership(b"views", 1, PERIOD_NS, START_NS)
    assert not leadership.tick(True, START_NS)  # a new front first waits for a lease
    now = START_NS + (LEASE_PERIODS + 1) * PERIOD_NS
    assert leadership.tick(True, now)
    assert leadership.term == 1
    assert leadership.accept_leader(5, 2, now)
    assert not leadership.tick(True, now + PERIOD_NS)
    assert leadership.tick(True, now + (LEASE_PERIODS + 1) * PERIOD_NS)
    assert leadership.term == 6
    assert not leadership.tick(False, now + (LEASE_PERIODS + 2) * PERIOD_NS)


@pytest.mark.parametrize("term", [4, 1 << 40], ids=["earlier", "too far ahead"])
def test_a_term_that_is_outdated_or_impossible_is_ignored(term):
    leadership = Leadership(b"views", 1, PERIOD_NS, START_NS)
    assert leadership.accept_leader(5, 2, START_NS)
    assert not leadership.accept_leader(term, 3, START_NS)
    assert (leadership.term, leadership.leader) == (5, 2)


@pytest.mark.parametrize("reporters", [20, 50, 1000])
def test_extra_probers_of_an_open_circuit_are_few_and_rotate(reporters):
    rotations = [
        {number for number in range(reporters) if is_extra_prober(77, reporters, number, view_number)}
        for view_number in range(0, 160, VIEWS_PER_ROTATION)
    ]
    sizes = [len(probers) for probers in rotations]
    assert 5 < sum(sizes) / len(sizes) < 11
    assert min(sizes) > 0
    assert max(sizes) < 20
    assert len(set().union(*rotations)) > min(reporters, 60) * 0.8
