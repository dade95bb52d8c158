"""Inquiry of a started front: which machines are out of service."""

import pytest

from benchmarks.maintenance.simulation import MaintenanceSimulation
from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.maintenance.coordinator import machine_key
from marbleglade.maintenance.lease_quorum import select_voters
from marbleglade.maintenance.plan import ConcurrencyLimit, Kind
from marbleglade.maintenance.quorum_messages import TableEntry
from marbleglade.maintenance.table_query import InquiryOutcome, TableInquiry, TableQuery, TableReply
from tests.harness.units import NS_PER_MS, START_NS

LEASE = 6000 * NS_PER_MS
QUERY_INTERVAL = LEASE // 24
SECOND = 1000 * NS_PER_MS
SETTLE_SECONDS = 8  # longer than a lease, in which started fronts give no vote
MAX_WAIT = 4 * SECOND  # so that a restarted front is ready within 6 s


def receivers(inquiry: TableInquiry, now: int, count: int) -> list[int]:
    return [query.to for query in inquiry.tick(now, count)]


def test_a_started_front_queries_voters_until_any_majority_contains_one_that_replied():
    voters = select_voters(20)
    others = set(range(20)) - voters
    inquiry = TableInquiry(min(others), LEASE, START_NS)
    first = receivers(inquiry, START_NS, 20)
    assert receivers(inquiry, START_NS, 20) == []
    second = receivers(inquiry, START_NS + QUERY_INTERVAL, 20)
    assert len(first) == 5 and len({*first, *second}) == len(voters) == 9 and {*first, *second} == voters
    inquiry.answered |= others | set(sorted(voters)[:4])  # a majority of five voters has not replied
    assert not inquiry.is_finished(START_NS, 20)
    inquiry.answered.add(max(voters))
    assert inquiry.outcome(START_NS, 20) is InquiryOutcome.REPLIES
    assert receivers(inquiry, START_NS + LEASE, 20) == []


@pytest.mark.parametrize(
    "count, replies, is_finished", [(1, 0, True), (2, 0, False), (2, 1, True), (3, 1, False)]
)
def test_a_small_fleet_needs_fewer_replies(count, replies, is_finished):
    inquiry = TableInquiry(0, LEASE, START_NS)
    inquiry.answered = set(range(1, replies + 1))
    assert inquiry.is_finished(START_NS, count) is is_finished


@pytest.mark.parametrize("count", [2, 3, 5, 20])
def test_a_front_without_replies_waits_for_four_seconds_and_then_serves_uninformed(count):
    inquiry = TableInquiry(0, LEASE, START_NS)
    assert not inquiry.is_finished(START_NS + MAX_WAIT - 1, count)
    assert inquiry.outcome(START_NS + MAX_WAIT, count) is InquiryOutcome.TIMEOUT
    assert inquiry.is_finished(START_NS + MAX_WAIT, count)
    assert not inquiry.outcome(START_NS + MAX_WAIT, count).is_informed


def test_after_its_time_out_a_front_queries_once_a_second_until_it_is_informed():
    inquiry = TableInquiry(0, LEASE, START_NS)
    rounds_at = [
        at
        for at in range(START_NS, START_NS + MAX_WAIT + 10 * SECOND, SECOND // 10)
        if receivers(inquiry, at, 5)
    ]
    late_rounds = [at for at in rounds_at if at >= START_NS + MAX_WAIT]
    assert len(late_rounds) == 10
    inquiry.answered |= {1, 2, 3}
    assert receivers(inquiry, rounds_at[-1] + 2 * SECOND, 5) == []


@pytest.mark.parametrize("querying_members", [{1, 2, 3, 4}, {1, 2}, {1}])
def test_an_inquiry_is_exhausted_once_all_voters_query_or_later_a_majority(querying_members):
    inquiry = TableInquiry(0, LEASE, START_NS)
    inquiry.querying |= querying_members
    early_outcome = InquiryOutcome.EXHAUSTED if len(querying_members) == 4 else InquiryOutcome.WAITING
    assert inquiry.outcome(START_NS, 5) is early_outcome
    # After the time-out a majority of the voters is enough: no leader can be elected without any of them.
    late_outcome = InquiryOutcome.EXHAUSTED if len(querying_members) > 1 else InquiryOutcome.TIMEOUT
    assert inquiry.outcome(START_NS + MAX_WAIT, 5) is late_outcome


def test_a_table_reply_marks_upstreams_out_of_service_and_changes_no_quorum_state():
    simulation = MaintenanceSimulation(5, 1, 3)
    coordinator, now = simulation.fronts[2].coordinator, simulation.now
    assert not coordinator.is_informed(now)
    quorum = coordinator.quorum
    before = quorum.member.term, quorum.table.version, dict(quorum.table.grants)
    reply = TableReply((TableEntry(machine_key("box0"), started_ms=500, granted_version=1),))
    for sender in (1, 3, 4):
        assert coordinator.receive(sender, reply, now) == []
    assert coordinator.is_informed(now)
    assert coordinator.granted_starts_ms == {machine_key("box0"): 500}
    assert (quorum.member.term, quorum.table.version, quorum.table.grants) == before


def test_a_front_does_not_pass_on_grants_that_it_has_from_replies_only():
    simulation = MaintenanceSimulation(5, 1, 3)
    coordinator, now = simulation.fronts[2].coordinator, simulation.now
    reply = TableReply((TableEntry(machine_key("box0"), started_ms=500, granted_version=1),))
    for sender in (1, 3, 4):
        coordinator.receive(sender, reply, now)
    assert coordinator.receive(1, TableQuery(), now) == [Outgoing(1, TableReply(()))]


@pytest.mark.parametrize("waited", [0, MAX_WAIT, 10 * MAX_WAIT])
def test_an_uninformed_front_answers_a_query_with_a_query_only(waited):
    simulation = MaintenanceSimulation(5, 1, 3)
    answers = simulation.fronts[0].coordinator.receive(1, TableQuery(), simulation.now + waited)
    assert answers == [Outgoing(1, TableQuery())]


@pytest.mark.parametrize("seed", range(5))
def test_fronts_that_restart_together_are_informed_within_three_seconds(seed):
    simulation = MaintenanceSimulation(5, 1, seed)
    simulation.network.set_faults(loss_rate=0.3, duplication_rate=0.0, delay_ns=(NS_PER_MS, 5 * NS_PER_MS))
    simulation.run(3)
    coordinators = [front.coordinator for front in simulation.fronts.values()]
    assert all(coordinator.is_informed(simulation.now) for coordinator in coordinators)


def test_a_restarted_front_learns_of_a_grant_that_members_without_a_vote_lack():
    """A majority of the voters has each grant; other members learn of it later, not while they are cut off.

    The numbers after that of the restarted front belong to members without a vote, and the leader can't reach
    it.
    """
    simulation = MaintenanceSimulation(40, 2, 4)
    simulation.run(SETTLE_SECONDS)
    voters = select_voters(40)
    restarted = next(number for number in range(30) if not voters & set(range(number, number + 6)))
    simulation.network.is_cut = lambda sender, receiver: sender in voters and receiver not in voters
    simulation.submit_plan(["box0"], [ConcurrencyLimit(1, Kind.CACHE)], front=min(voters))
    simulation.run(SETTLE_SECONDS)
    key = machine_key("box0")
    known_by = {
        number for number, front in simulation.fronts.items() if key in front.coordinator.granted_starts_ms
    }
    assert known_by == voters
    leaders = {number for number in voters if simulation.fronts[number].coordinator.status()["is_leader"]}
    simulation.network.is_cut = lambda sender, receiver: (
        sender in (leaders if receiver == restarted else voters) and receiver not in voters
    )
    simulation.kill(restarted, simulation.now + NS_PER_MS)
    simulation.run(0.1)
    while not simulation.fronts[restarted].coordinator.is_informed(simulation.now):
        simulation.run(0.05)
    assert key in simulation.fronts[restarted].coordinator.granted_starts_ms


@pytest.mark.parametrize("count", [3, 20, 60])
def test_a_restarted_fleet_of_any_size_is_informed_within_three_seconds(count):
    simulation = MaintenanceSimulation(count, 1, 5)
    simulation.network.set_faults(loss_rate=0.3, duplication_rate=0.0, delay_ns=(NS_PER_MS, 5 * NS_PER_MS))
    simulation.run(3)
    waiting = [
        number
        for number, front in simulation.fronts.items()
        if not front.coordinator.is_informed(simulation.now)
    ]
    assert waiting == []


def test_fronts_that_query_each_other_send_one_query_in_an_interval():
    """Guards against uninformed fronts that answer each query with a query, without end."""
    simulation = MaintenanceSimulation(3, 1, 5)
    first, second, _ = (front.coordinator for front in simulation.fronts.values())
    now = simulation.now
    assert first.receive(1, TableQuery(), now) == [Outgoing(1, TableQuery())]
    assert first.receive(1, TableQuery(), now + QUERY_INTERVAL - 1) == []
    assert second.receive(0, TableQuery(), now) == [Outgoing(0, TableQuery())]
