"""Phase 2 of Paxos on the leader: requests votes for one proposal at a time. Does no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .acceptor import Acceptor
from .group import Group
from .messages import (
    Accept,
    Chosen,
    ProposalAccepted,
    ProposalConflict,
    ProposalOutcomeUnknown,
    ProposalRejected,
)
from .state import Ballot, Value, Vote

MAX_PENDING_PROPOSALS = 16  # most queued proposals; the proposal in the active round is not counted
QUEUE_FULL = "too many proposals wait"
NO_LEADER = "no majority of the control nodes answers"


@dataclass(slots=True)
class PendingProposal:
    """A proposal without an outcome: queued for a later round, or in the active round.

    Attributes:
        key: Identifies the proposal in the `Resolve` effect.
        value: The proposed value.
    """

    key: int
    value: Value


@dataclass(slots=True)
class AcceptRound:
    """One round of phase 2: the leader asks the members to accept a value.

    Attributes:
        proposal: The proposal of the value; None if the leader completes a value of an earlier leader.
        acceptors: The names of the members that accepted the value.
    """

    value: Value
    proposal: PendingProposal | None = None
    acceptors: set[str] = field(default_factory=set)


class Leader:
    """The volatile state of a leader; unused while the replica has another role.

    Attributes:
        last_reply_at: The time of each follower's last reply, in nanoseconds.
        active_round: The round in progress; None between rounds.
        pending_proposals: The proposals queued for later rounds, in order of arrival.
    """

    def __init__(self, group: Group, acceptor: Acceptor) -> None:
        self.group = group
        self.acceptor = acceptor
        self.ballot = Ballot()
        self.last_reply_at: dict[str, int] = {}
        self.active_round: AcceptRound | None = None
        self.pending_proposals: deque[PendingProposal] = deque()

    def begin(self, ballot: Ballot, followers: Iterable[str], now: int) -> None:
        """Begin leadership with a ballot that `followers` promised."""
        self.ballot = ballot
        self.last_reply_at = dict.fromkeys(followers, now)

    def step_down(self, successor: str) -> None:
        """Resolve all proposals: unknown outcome for the active one, rejection for the queued ones.

        `successor` is the name of the new leader, "" if unknown.
        """
        if self.active_round and self.active_round.proposal:
            self.acceptor.resolve(self.active_round.proposal.key, ProposalOutcomeUnknown())
        for proposal in self.pending_proposals:
            self.acceptor.resolve(proposal.key, ProposalRejected(successor, NO_LEADER))
        self.active_round = None
        self.pending_proposals.clear()

    def has_majority(self, since: int) -> bool:
        """Return whether this node and the followers that replied later than `since` (ns) are a majority."""
        recent = sum(replied_at > since for replied_at in self.last_reply_at.values())
        return recent + 1 >= self.group.majority

    def propose(self, proposal: PendingProposal) -> None:
        """Queue a proposal until the earlier ones are resolved; reject it if the queue is full."""
        if len(self.pending_proposals) >= MAX_PENDING_PROPOSALS:
            self.acceptor.resolve(proposal.key, ProposalRejected("", QUEUE_FULL))
            return
        self.pending_proposals.append(proposal)
        self.start_next_round()

    def start_next_round(self) -> None:
        """Start a round for the first queued proposal that is based on the chosen version.

        The proposals queued before it get no round: a retry of the chosen proposal, which has the same id, is
        resolved as accepted, any other as a conflict.
        """
        while self.pending_proposals and not self.active_round:
            proposal = self.pending_proposals.popleft()
            chosen = self.acceptor.state.chosen
            if proposal.value.version == chosen.version + 1:
                self.start_round(AcceptRound(proposal.value, proposal))
            elif chosen.version and proposal.value.proposal_id == chosen.proposal_id:
                self.acceptor.resolve(proposal.key, ProposalAccepted(chosen.version))
            else:
                self.acceptor.resolve(proposal.key, ProposalConflict(chosen.version))

    def start_round(self, accept_round: AcceptRound) -> None:
        """Accept a value on this node and request the others to accept it; a single node finishes at once."""
        self.active_round = accept_round
        vote = Vote(self.ballot, accept_round.value)
        self.acceptor.persist(replace(self.acceptor.state, accepted=vote))
        accept_round.acceptors.add(self.group.name)
        self.acceptor.broadcast(self.group.other_members, Accept(self.ballot, accept_round.value))
        self._finish_round_on_majority(accept_round)

    def resend_accept(self) -> None:
        """Repeat the `Accept` request to the members that did not accept the value yet."""
        if not self.active_round:
            return
        acceptors = self.active_round.acceptors
        missing = (member for member in self.group.other_members if member not in acceptors)
        self.acceptor.broadcast(missing, Accept(self.ballot, self.active_round.value))

    def handle_accepted(self, sender: str, version: int, now: int) -> None:
        """Record a follower's `Accepted` reply for this leader's ballot; finish the round on a majority."""
        self.last_reply_at[sender] = now
        if self.active_round and version == self.active_round.value.version:
            self.active_round.acceptors.add(sender)
            self._finish_round_on_majority(self.active_round)

    def handle_heartbeat_reply(self, sender: str, chosen_version: int, now: int) -> None:
        """Record the time of a follower's reply, and send it the chosen value if its version is older."""
        self.last_reply_at[sender] = now
        chosen = self.acceptor.state.chosen
        if chosen_version < chosen.version:
            self.acceptor.send(sender, Chosen(chosen))

    def _finish_round_on_majority(self, accept_round: AcceptRound) -> None:
        if len(accept_round.acceptors) < self.group.majority:
            return
        self.active_round = None
        self.acceptor.learn(accept_round.value)
        self.acceptor.broadcast(self.group.other_members, Chosen(accept_round.value))
        if accept_round.proposal:
            outcome = ProposalAccepted(accept_round.value.version)
            self.acceptor.resolve(accept_round.proposal.key, outcome)
        self.start_next_round()
