"""One replica of a register of configuration versions; a version is chosen once a majority accepted it.

The algorithm is CASPaxos (D. Rystsov, 2018: a register that is rewritten by compare-and-set on Paxos), with
the stable leader of Multi-Paxos: one phase 1 serves all later writes of a leader. There is no log: an
acceptor stores the last value only. Each value carries a version. A proposal names the version that it
replaces, and the leader rejects it if another proposal replaced that version first. A leader starts the round
of a version only once the previous version is chosen, so votes are ordered by ballot, then version.

Each `Persist` effect precedes the effects that depend on it. So a candidate's ballot is durable before
`Prepare` is sent, a promise before `Promise`, the leader's own vote before `Accept`, and a vote before
`Accepted`. A chosen value is durable before `Chosen` is sent, before it is published to fronts and before the
proposer gets the outcome.

A replica with a new store is a learner (`learner.py`): it receives and serves chosen values, but does not
vote until its state is no older than the state that it may have lost.

The module does no I/O and uses no clock and no randomness. Each call returns the effects to execute, in
order. All times are nanoseconds.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from .acceptor import Acceptor
from .effects import Effect
from .group import Group
from .leader import NO_LEADER, AcceptRound, Leader, PendingProposal
from .learner import Learner
from .messages import (
    Accept,
    Accepted,
    Chosen,
    Heartbeat,
    HeartbeatReply,
    Message,
    Prepare,
    Promise,
    ProposalRejected,
    Reject,
    StateReply,
    StateRequest,
)
from .state import Ballot, DurableState, Value, Vote

ELECTION_TIMEOUT_HEARTBEATS = 4  # heartbeat intervals without a leader before the first node's election
ELECTION_STAGGER_HEARTBEATS = 2  # added for each further node, so that two candidates rarely compete
NOT_LEADER = "another node leads"


class Role(Enum):
    """The current role of a replica."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """One replica of the register.

    Args:
        name: The name of this node.
        members: The names of all nodes in the order of the settings, which is the same on every node.
        state: The durable state, as loaded from the store.
        heartbeat_interval: Time between two heartbeats of the leader, in nanoseconds.
        now: The current time, in nanoseconds.

    Attributes:
        leader_name: The name of the current leader, "" if unknown.
        leadership: The volatile state of a leader; unused in other roles.
        ballot: The ballot of this node's last candidacy.
        highest_ballot: The highest ballot that this replica has recorded, its own included.
        promises: The last vote of each member that promised `ballot`.
        next_heartbeat_at: The time of the next heartbeat or state request.
        election_at: The time at which this node starts an election unless it receives a leader's message.
    """

    def __init__(
        self, name: str, members: tuple[str, ...], state: DurableState, heartbeat_interval: int, now: int
    ) -> None:
        self.group = Group(name, members)
        self.heartbeat_interval = heartbeat_interval
        self.acceptor = Acceptor(state)
        self.learner = Learner(self.group, self.acceptor)
        self.leadership = Leader(self.group, self.acceptor)
        self.role = Role.FOLLOWER if state.voter else Role.LEARNER
        self.leader_name = ""
        self.ballot = Ballot()
        self.highest_ballot = state.promised
        self.promises: dict[str, Vote] = {}
        self.next_heartbeat_at = now
        self.election_at = now + self._election_timeout()

    @property
    def name(self) -> str:
        """The name of this node."""
        return self.group.name

    @property
    def state(self) -> DurableState:
        """The current durable state."""
        return self.acceptor.state

    def tick(self, now: int) -> list[Effect]:
        """Send due heartbeats and requests, and start due elections. Call it several times per heartbeat."""
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + self.heartbeat_interval
            if self.role is Role.LEARNER:
                self._query_states(now)
            elif self.role is Role.LEADER:
                self._send_heartbeats(now)
        if self.role in (Role.FOLLOWER, Role.CANDIDATE) and now >= self.election_at:
            self._start_election(now)
        return self.acceptor.drain_effects()

    def propose(self, key: int, base_version: int, proposal_id: str, text: str) -> list[Effect]:
        """Propose a document as version `base_version` + 1; a `Resolve` effect with `key` has the outcome.

        A retry with the same `proposal_id`, for instance after a broken connection, gets the same outcome.
        """
        if self.role is Role.LEADER:
            value = Value(base_version + 1, proposal_id, text)
            self.leadership.propose(PendingProposal(key, value))
        else:
            reason = NOT_LEADER if self.leader_name else NO_LEADER
            self.acceptor.resolve(key, ProposalRejected(self.leader_name, reason))
        return self.acceptor.drain_effects()

    def receive(self, sender: str, message: Message, now: int) -> list[Effect]:
        """Handle a message of another replica. Messages from nodes outside the group are dropped."""
        if sender not in self.group.other_members:
            return []
        match message:
            case StateRequest(store_id):
                self.acceptor.send(sender, StateReply(store_id, self.state))
            case StateReply():
                self.learner.handle_state_reply(sender, message)
                self._promote_learner(now)
            case Chosen(value):
                self.acceptor.learn(value)
            case Heartbeat(ballot):
                self._handle_heartbeat(sender, ballot, now)
            case _ if self.role is not Role.LEARNER:
                self._receive_as_voter(sender, message, now)
        return self.acceptor.drain_effects()

    def has_majority(self, now: int) -> bool:
        """Return whether a majority replied to this leader recently; in other roles, if a leader is known."""
        if self.role is not Role.LEADER:
            return bool(self.leader_name)
        return self.leadership.has_majority(now - ELECTION_TIMEOUT_HEARTBEATS * self.heartbeat_interval)

    def _receive_as_voter(self, sender: str, message: Message, now: int) -> None:
        match message:
            case Prepare(ballot):
                self._handle_prepare(sender, ballot, now)
            case Promise():
                self._handle_promise(sender, message, now)
            case Accept(ballot, value):
                self._handle_accept(sender, ballot, value, now)
            case Accepted(ballot, version):
                if self._is_leader_of(ballot):
                    self.leadership.handle_accepted(sender, version, now)
            case HeartbeatReply(ballot, chosen_version):
                if self._is_leader_of(ballot):
                    self.leadership.handle_heartbeat_reply(sender, chosen_version, now)
            case Reject(ballot, promised):
                self._handle_reject(ballot, promised, now)

    # Learner

    def _query_states(self, now: int) -> None:
        request = StateRequest(self.state.store_id)
        self.acceptor.broadcast(self.learner.members_to_query(), request)
        self._promote_learner(now)

    def _promote_learner(self, now: int) -> None:
        if self.role is Role.LEARNER and self.learner.promote():
            self.role = Role.FOLLOWER
            self.election_at = now + self._election_timeout()

    # Elections

    def _election_timeout(self) -> int:
        """Return the time without a message of a leader after which this node starts an election.

        It is longer for later members, so that two candidates rarely compete and the earlier member wins.
        """
        heartbeats = ELECTION_TIMEOUT_HEARTBEATS + ELECTION_STAGGER_HEARTBEATS * self.group.own_index
        return heartbeats * self.heartbeat_interval

    def _start_election(self, now: int) -> None:
        """Become a candidate; a candidate without a majority repeats its `Prepare` request instead.

        A repeated request has the same ballot, so that a partitioned node raises the term only once.
        """
        self.election_at = now + self._election_timeout()
        if self.role is Role.CANDIDATE:
            self._broadcast(Prepare(self.ballot))
            return
        self.highest_ballot = max(self.highest_ballot, self.state.promised)
        self.ballot = Ballot(self.highest_ballot.term + 1, self.group.own_index)
        self.role = Role.CANDIDATE
        self.leader_name = ""
        self.acceptor.persist(replace(self.state, promised=self.ballot))
        self.promises = {self.name: self.state.accepted}
        self._broadcast(Prepare(self.ballot))
        self._become_leader_on_majority(now)

    def _handle_prepare(self, sender: str, ballot: Ballot, now: int) -> None:
        if self.acceptor.reject_outdated(sender, ballot):
            return
        if ballot > self.state.promised:
            self._become_follower("", ballot, now)
        self.acceptor.promise(sender, ballot)

    def _handle_promise(self, sender: str, promise: Promise, now: int) -> None:
        if self.role is Role.CANDIDATE and promise.ballot == self.ballot:
            self.promises[sender] = promise.accepted
            self._become_leader_on_majority(now)

    def _become_leader_on_majority(self, now: int) -> None:
        if len(self.promises) < self.group.majority:
            return
        self.role = Role.LEADER
        self.leader_name = self.name
        followers = (member for member in self.promises if member != self.name)
        self.leadership.begin(self.ballot, followers, now)
        self.next_heartbeat_at = now + self.heartbeat_interval
        self._broadcast(Heartbeat(self.ballot))
        latest = max(self.promises.values(), key=lambda vote: vote.rank).value
        if latest.version > self.state.chosen.version:
            # A majority may already have accepted this value, so its round must end before any other starts.
            self.leadership.start_round(AcceptRound(latest))

    def _handle_reject(self, ballot: Ballot, promised: Ballot, now: int) -> None:
        if ballot == self.ballot and self.role in (Role.CANDIDATE, Role.LEADER):
            self._become_follower("", promised, now)

    def _become_follower(self, leader: str, ballot: Ballot, now: int) -> None:
        """Become a follower and end any candidacy or leadership. `leader` is "" if unknown."""
        self.highest_ballot = max(self.highest_ballot, ballot)
        self.role = Role.FOLLOWER
        self.leader_name = leader
        self.election_at = now + self._election_timeout()
        self.leadership.step_down(leader)

    # Leader

    def _is_leader_of(self, ballot: Ballot) -> bool:
        return self.role is Role.LEADER and ballot == self.ballot

    def _send_heartbeats(self, now: int) -> None:
        if not self.has_majority(now):
            self._become_follower("", self.ballot, now)
            return
        self._broadcast(Heartbeat(self.ballot))
        self.leadership.resend_accept()

    # Follower

    def _handle_accept(self, sender: str, ballot: Ballot, value: Value, now: int) -> None:
        if self.acceptor.reject_outdated(sender, ballot):
            return
        self._follow_leader(sender, ballot, now)
        self.acceptor.accept(sender, ballot, value)

    def _handle_heartbeat(self, sender: str, ballot: Ballot, now: int) -> None:
        if self.role is Role.LEARNER:
            self.leader_name = sender
        elif self.acceptor.reject_outdated(sender, ballot):
            return
        else:
            self._follow_leader(sender, ballot, now)
        self.acceptor.send(sender, HeartbeatReply(ballot, self.state.chosen.version))

    def _follow_leader(self, leader: str, ballot: Ballot, now: int) -> None:
        """Follow the leader that sent a message, and restart the election timeout."""
        if self.role is Role.FOLLOWER:
            self.leader_name = leader
            self.highest_ballot = max(self.highest_ballot, ballot)
            self.election_at = now + self._election_timeout()
        else:
            self._become_follower(leader, ballot, now)

    def _broadcast(self, message: Message) -> None:
        self.acceptor.broadcast(self.group.other_members, message)
