"""Bounded exhaustive search of the lease quorum's states: all orders of messages, losses, restarts, waits."""

from collections.abc import Callable

import pytest

from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.maintenance import lease_quorum, lease_table
from marbleglade.maintenance.lease_election import Voter
from marbleglade.maintenance.lease_follower import Follower
from marbleglade.maintenance.lease_leader import LeaseLeader
from marbleglade.maintenance.lease_quorum import LeaseQuorum, select_voters
from marbleglade.maintenance.quorum_messages import NO_LEADER, TableVersion, Vote, VoteRequest
from marbleglade.testing.state_space import explore
from tests.maintenance.lease_quorum_model import (
    LEASE,
    Exchange,
    LeaseQuorumModel,
    Revoke,
    TakeOut,
    Wait,
)

MOVES = 12  # most moves of a search after its initial state

# Initial states of searches, as the moves that lead to them.
FRONT_0_LEADS = [Exchange(0, 1), Exchange(0, 1)]
FRONT_1_IS_OUT = [*FRONT_0_LEADS, TakeOut(0, 1), Exchange(0, 1), Exchange(0, 1)]
FRONT_1_IS_REVOKED = [*FRONT_1_IS_OUT, Revoke(0, 1), Wait(), Exchange(0, 2), Wait(), Exchange(0, 2)]
SECOND_LEADER_IS_OUT = [
    *FRONT_0_LEADS,
    Wait(),
    Exchange(2, 1),
    Exchange(2, 1),
    TakeOut(2, 2),
    Exchange(2, 1),
    Exchange(2, 1),
]
NON_VOTER_IS_OUT = [*FRONT_0_LEADS, TakeOut(0, 3), Exchange(0, 1), Exchange(0, 3), Exchange(0, 3)]


def model_after(moves: list[object], count: int = 3) -> LeaseQuorumModel:
    return LeaseQuorumModel(MOVES + len(moves), count=count).after(moves)


@pytest.mark.parametrize(
    "initial_moves, states",
    [([], 3000), (FRONT_1_IS_OUT, 6000), (FRONT_1_IS_REVOKED, 4000), (SECOND_LEADER_IS_OUT, 4000)],
)
def test_never_more_out_of_service_than_allowed_in_any_order_of_messages_losses_and_restarts(
    initial_moves, states
):
    exploration = explore(model_after(initial_moves), states)
    assert not exploration.violation, exploration.path
    assert exploration.states > states
    assert exploration.max_depth > 2


@pytest.fixture
def three_voters_of_four(monkeypatch):
    """Makes the first three of four fronts the voters."""
    monkeypatch.setattr(lease_quorum, "MAX_VOTERS", 3)
    monkeypatch.setattr(lease_quorum, "rendezvous_draw", lambda _task, number: number / 4)
    assert select_voters(4) == {0, 1, 2}


@pytest.mark.usefixtures("three_voters_of_four")
@pytest.mark.parametrize(
    "initial_moves",
    [[], FRONT_1_IS_OUT, NON_VOTER_IS_OUT, [*NON_VOTER_IS_OUT, Revoke(0, 3), Wait()]],
)
def test_with_a_non_voting_member_never_more_are_out_of_service_than_allowed(initial_moves):
    exploration = explore(model_after(initial_moves, count=4), 1000)
    assert not exploration.violation, exploration.path
    assert exploration.states > 1000
    assert exploration.max_depth > 2


@pytest.mark.usefixtures("three_voters_of_four")
def test_a_non_voting_member_goes_out_of_service_and_gives_no_vote():
    model = model_after(NON_VOTER_IS_OUT, count=4)
    assert model.fronts[3].table.may_stay_out(3, 1, model.now)
    assert model.fronts[3].receive(1, VoteRequest(99), model.now) == []


@pytest.mark.usefixtures("three_voters_of_four")
def test_a_leader_without_its_lease_sends_requests_to_voters_only():
    model = model_after(NON_VOTER_IS_OUT, count=4)
    assert model.fronts[0].tick(True, model.now + LEASE)[0].to in {1, 2}


@pytest.mark.usefixtures("three_voters_of_four")
def test_the_search_finds_a_leader_that_counts_non_voting_members(monkeypatch):
    """The voters that have not confirmed the table may elect another leader meanwhile."""
    count_confirmations = LeaseLeader.count_confirmations

    def count_non_voter_too(self, now):
        member = self.member
        voters, member.voters = member.voters, frozenset({member.own_number, 1, 3})
        count_confirmations(self, now)
        member.voters = voters

    monkeypatch.setattr(LeaseLeader, "count_confirmations", count_non_voter_too)
    initial_moves = [*FRONT_0_LEADS, TakeOut(0, 3), Exchange(0, 3), Exchange(0, 3)]
    assert explore(model_after(initial_moves, count=4), 30_000).violation


@pytest.mark.parametrize(
    "initial_moves, further_moves",
    [
        (
            FRONT_1_IS_OUT,
            [Revoke(0, 1), Exchange(0, 1), TakeOut(0, 0), Exchange(0, 2), Wait(), Exchange(1, 0)],
        ),
        (
            SECOND_LEADER_IS_OUT,
            [Revoke(2, 2), TakeOut(2, 1), Wait(), Exchange(1, 2), Exchange(1, 2)],
        ),
    ],
)
def test_a_revoked_grant_is_not_restored_by_a_later_leader(initial_moves, further_moves):
    """Guards against a leader that begins with the union of its voters' tables, one of which is outdated.

    The search found both cases.
    """
    model = model_after(initial_moves)
    for move in further_moves:
        model.do(move)
    assert not model.violation()


def vote_at_once_after_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    initialize = LeaseQuorum.__init__

    def initialize_without_silence(self, own_number, member_count, lease, now):
        initialize(self, own_number, member_count, lease, now)
        self.member.silent_until = 0

    monkeypatch.setattr(LeaseQuorum, "__init__", initialize_without_silence)


def accept_earlier_leaders(monkeypatch: pytest.MonkeyPatch) -> None:
    receive_append = Follower.receive_append

    def receive_append_of_any_term(self, sender, message, now):
        self.member.term, self.member.leader = 0, NO_LEADER
        return receive_append(self, sender, message, now)

    monkeypatch.setattr(Follower, "receive_append", receive_append_of_any_term)


def grants_expire_late(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lease_table, "STAY_OUT_SHARE", 100.0)


def vote_without_the_table(monkeypatch: pytest.MonkeyPatch) -> None:
    receive_vote_request = Voter.receive_vote_request

    def vote_with_empty_table(self, sender, request, now):
        answers = receive_vote_request(self, sender, request, now)
        return [Outgoing(answer.to, Vote(answer.message.term, TableVersion(), ())) for answer in answers]

    monkeypatch.setattr(Voter, "receive_vote_request", vote_with_empty_table)


@pytest.mark.parametrize(
    "seed_fault, initial_moves",
    [
        (vote_at_once_after_restart, FRONT_1_IS_OUT),
        (accept_earlier_leaders, SECOND_LEADER_IS_OUT),
        (grants_expire_late, FRONT_1_IS_REVOKED),
        (vote_without_the_table, FRONT_1_IS_OUT),
    ],
)
def test_the_search_finds_a_seeded_fault(
    monkeypatch, seed_fault: Callable[[pytest.MonkeyPatch], None], initial_moves
):
    seed_fault(monkeypatch)
    assert explore(model_after(initial_moves), 30_000).violation
