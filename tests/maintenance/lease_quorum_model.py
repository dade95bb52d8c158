"""Model of the lease quorum for the state search of `marbleglade.testing.state_space`."""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from marbleglade.maintenance.lease_election import Candidate, Voter
from marbleglade.maintenance.lease_follower import Follower
from marbleglade.maintenance.lease_quorum import LeaseQuorum
from marbleglade.maintenance.quorum_messages import QuorumMessage

LEASE = 600  # nanoseconds
WAIT_DURATION = int(LEASE * 0.4)  # of a `Wait`; after one, some timeouts have passed and others have not


@dataclass(frozen=True)
class Wait:
    """Time passes."""


@dataclass(frozen=True)
class Exchange:
    """A front sends another its due messages; an answer arrives at once, or late, or is lost."""

    sender: int
    receiver: int
    is_answered: bool = True


@dataclass(frozen=True)
class TakeOut:
    """A leader takes a machine out of service."""

    leader: int
    machine: int


@dataclass(frozen=True)
class Revoke:
    """A leader revokes the grant of a machine."""

    leader: int
    machine: int


@dataclass(frozen=True)
class Restart:
    """A front restarts and loses all its state."""

    front: int


@dataclass(frozen=True)
class DeliverLate:
    """A late answer arrives."""

    position: int


@dataclass(frozen=True)
class LateAnswer:
    """An answer that has not arrived yet."""

    sender: int
    receiver: int
    message: QuorumMessage


class LeaseQuorumModel:
    """Fronts that take one another out of service, one at a time; a front's number is its machine key.

    Args:
        moves_left: Number of moves that may follow.
        restarts_left: Number of restarts among them.
        max_late: Number of late answers that are kept; beyond it the oldest is lost.
        count: Number of fronts.
    """

    def __init__(self, moves_left: int, restarts_left: int = 1, max_late: int = 1, count: int = 3) -> None:
        self.moves_left = moves_left
        self.restarts_left = restarts_left
        self.max_late = max_late
        self.count = count
        self.now = LEASE * 2
        self.fronts = [self._create_front(number, 0) for number in range(count)]
        for front in self.fronts:
            front.member.silent_until = 0
        self.starts = [1] * count
        self.late_answers: list[LateAnswer] = []

    def __deepcopy__(self, memo: object) -> LeaseQuorumModel:
        other = copy.copy(self)
        other.starts = list(self.starts)
        other.late_answers = list(self.late_answers)
        other.fronts = [_copy_front(front) for front in self.fronts]
        return other

    def after(self, moves: Iterable[object]) -> LeaseQuorumModel:
        """Execute moves, check that none violates an invariant, and return this model."""
        for move in moves:
            self.do(move)
            assert not self.violation()
        return self

    def moves(self) -> list[object]:
        """Return the moves that are possible now."""
        if self.moves_left <= 0:
            return []
        moves: list[object] = [Wait()]
        for number, front in enumerate(self.fronts):
            moves += [
                Exchange(number, other, is_answered)
                for other in range(self.count)
                if other != number
                for is_answered in (True, False)
            ]
            if front.member.holds_lease(self.now):
                moves += [TakeOut(number, machine) for machine in range(self.count) if not front.table.grants]
                moves += [
                    Revoke(number, machine)
                    for machine, grant in front.table.grants.items()
                    if not grant.revoked_version
                ]
            if self.restarts_left:
                moves.append(Restart(number))
        return moves + [DeliverLate(position) for position in range(len(self.late_answers))]

    def do(self, move: object) -> None:
        """Execute a move."""
        self.moves_left -= 1
        match move:
            case Wait():
                self.now += WAIT_DURATION
            case Restart(front):
                self.restarts_left -= 1
                self.starts[front] += 1
                self.fronts[front] = self._create_front(front, self.now)
            case TakeOut(leader, machine):
                self.fronts[leader].leader_role.grant(machine, self.starts[machine], self.now)
            case Revoke(leader, machine):
                self.fronts[leader].leader_role.revoke(machine, self.now)
            case DeliverLate(position):
                late = self.late_answers.pop(position)
                self.fronts[late.receiver].receive(late.sender, late.message, self.now)
            case Exchange():
                self._exchange(move)
        self._remove_returned()

    def key(self) -> Hashable:
        """Return a key that identifies this state."""
        fronts = tuple(self._front_key(front) for front in self.fronts)
        return self.moves_left, fronts, tuple(self.starts), self.restarts_left, len(self.late_answers)

    def violation(self) -> str:
        """Describe the violated invariant; empty if there is none."""
        out = [
            number
            for number, front in enumerate(self.fronts)
            if front.table.may_stay_out(number, self.starts[number], self.now)
        ]
        return f"{out} are out of service at once" if len(out) > 1 else ""

    def _create_front(self, number: int, now: int) -> LeaseQuorum:
        front = LeaseQuorum(number, self.count, LEASE, now)
        front.table.member_numbers = {machine: machine for machine in range(self.count)}
        return front

    def _exchange(self, move: Exchange) -> None:
        sender = self.fronts[move.sender]
        sender.member.next_send_at = self.now
        for outgoing in sender.tick(True, self.now):
            if outgoing.to != move.receiver:
                continue
            for answer in self.fronts[move.receiver].receive(move.sender, outgoing.message, self.now):
                if move.is_answered:
                    sender.receive(move.receiver, answer.message, self.now)
                else:
                    late = LateAnswer(move.receiver, move.sender, answer.message)
                    self.late_answers = [*self.late_answers, late][-self.max_late :]

    def _remove_returned(self) -> None:
        """Have each leader remove the fronts that confirmed their revocation or have restarted."""
        for leader in self.fronts:
            if not leader.member.is_leader:
                continue
            for machine, grant in list(leader.table.grants.items()):
                is_back = leader.leader_role.revocation_is_acknowledged(machine, machine, self.now)
                if is_back or grant.started_ms < self.starts[machine]:
                    leader.leader_role.remove(machine, self.now)

    def _front_key(self, front: LeaseQuorum) -> Hashable:
        table = tuple(
            (machine, grant.started_ms, grant.granted_version, bool(grant.revoked_version))
            for machine, grant in sorted(front.table.grants.items())
        )
        confirmations = tuple(
            (machine, self._age(confirmed_at))
            for machine, confirmed_at in sorted(front.table.confirmed_at.items())
        )
        acknowledgements = tuple(
            (number, ack.version, self._age(ack.sent_at), ack.unanswered > 0)
            for number, ack in sorted(front.leader_role.acks.items())
        )
        return (
            front.member.term,
            front.member.leader,
            front.member.is_leader,
            front.table.version,
            front.table.committed,
            self._age(front.member.last_contact_at),
            self._age(front.member.majority_confirmed_at),
            front.member.silent_until > self.now and front.member.silent_until - self.now,
            table,
            confirmations,
            acknowledgements,
        )

    def _age(self, moment: int | None) -> int:
        """Return the age of a time, in fifths of a lease and up to two leases; -1 if it is no time."""
        if moment is None or moment < 0:
            return -1
        return min(self.now - moment, LEASE * 2) * 5 // LEASE


def _copy_front(front: LeaseQuorum) -> LeaseQuorum:
    """Return a copy that shares no mutable state."""
    other = copy.copy(front)
    other.table = copy.copy(front.table)
    other.table.grants = {machine: copy.copy(grant) for machine, grant in front.table.grants.items()}
    other.table.confirmed_at = dict(front.table.confirmed_at)
    other.member = copy.copy(front.member)
    other.member.table = other.table
    other.member.stamps = copy.copy(front.member.stamps)
    other.member.stamps.sent_at = dict(front.member.stamps.sent_at)
    other.leader_role = copy.copy(front.leader_role)
    other.leader_role.member = other.member
    other.leader_role.acks = {number: copy.copy(ack) for number, ack in front.leader_role.acks.items()}
    other.candidate = Candidate(other.member, other.leader_role, dict(front.candidate.votes))
    other.voter = Voter(other.member)
    other.follower = Follower(other.member)
    return other
