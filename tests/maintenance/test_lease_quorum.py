"""Single members of the lease quorum: elections, resizes, acknowledgements and bounds."""

from marbleglade.maintenance import message_stamps
from marbleglade.maintenance.lease_quorum import LeaseQuorum
from marbleglade.maintenance.quorum_messages import (
    Append,
    AppendReply,
    TableEntry,
    TableVersion,
    Vote,
    VoteRequest,
)
from tests.harness.units import NS_PER_MS, START_NS

LEASE = 6000 * NS_PER_MS
RENEWAL = LEASE // 6  # interval between two appends of a leader


def member(own_number: int, count: int, started_at: int = START_NS - LEASE) -> LeaseQuorum:
    """Return a member, by default one that started a lease ago and so votes."""
    return LeaseQuorum(own_number, count, LEASE, started_at)


def empty_vote(term: int) -> Vote:
    return Vote(term, TableVersion(), ())


def appends_by_receiver(leader: LeaseQuorum, now: int) -> dict[int, Append]:
    return {outgoing.to: outgoing.message for outgoing in leader.tick(True, now)}


def test_a_resized_fleet_has_another_majority_after_a_silent_lease():
    quorum = member(0, 3)
    quorum.tick(True, START_NS)
    quorum.receive(1, empty_vote(1), START_NS)
    assert quorum.member.is_leader
    quorum.resize(5, START_NS)
    assert not quorum.member.is_leader
    assert quorum.tick(True, START_NS + LEASE - 1) == []
    now = START_NS + LEASE
    quorum.tick(True, now)
    quorum.receive(1, empty_vote(2), now)
    assert not quorum.member.is_leader  # two of five are no majority
    quorum.receive(2, empty_vote(2), now)
    assert quorum.member.is_leader


def test_a_restarted_front_gives_no_vote_for_a_lease():
    quorum = member(1, 3, started_at=START_NS)
    assert quorum.receive(0, VoteRequest(1), START_NS + LEASE - 1) == []
    (answer,) = quorum.receive(0, VoteRequest(1), START_NS + LEASE)
    assert answer.message == empty_vote(1)


def test_a_term_that_no_quorum_can_have_reached_gets_no_vote():
    assert member(1, 3).receive(0, VoteRequest(1 << 30), START_NS) == []


def test_a_member_that_answers_nothing_is_sent_the_complete_table_again():
    """A restarted front is silent for a lease and lacks the table that its earlier process had."""
    leader = member(0, 3)
    leader.tick(True, START_NS)
    leader.receive(1, empty_vote(1), START_NS)
    appends = appends_by_receiver(leader, START_NS)
    for number in (1, 2):
        leader.receive(number, AppendReply(1, 1, appends[number].stamp, 0), START_NS)
    now = START_NS + RENEWAL
    appends = appends_by_receiver(leader, now)
    assert appends[1].entries is None  # both members have this version
    assert appends[2].entries is None
    leader.receive(1, AppendReply(1, 1, appends[1].stamp, 0), now)
    appends = appends_by_receiver(leader, now + RENEWAL)
    assert appends[1].entries is None
    assert appends[2].entries is not None


def test_a_table_without_an_echo_of_its_own_message_lets_no_front_stay_out():
    quorum = member(1, 3)
    entries = tuple(TableEntry(machine, 1, 1) for machine in range(10))
    quorum.receive(0, Append(term=1, version=5, committed=5, stamp=7, echo=0, entries=entries), START_NS)
    assert len(quorum.table.grants) == 10
    assert not quorum.table.may_stay_out(1, 1, START_NS)


def test_stamps_that_wait_for_an_echo_are_bounded():
    quorum = member(1, 3)
    for stamp in range(5000):
        append = Append(term=1, version=5, committed=5, stamp=stamp, echo=0, entries=())
        quorum.receive(0, append, START_NS + stamp)
    bound = message_stamps.MIN_STAMPS + 3 * message_stamps.STAMPS_PER_MEMBER
    assert len(quorum.member.stamps.sent_at) <= bound
