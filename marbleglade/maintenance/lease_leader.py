"""Leader role of the lease quorum: changes the table, replicates it, and counts confirmations."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..fleet.gossip_messages import Outgoing
from .lease_table import Grant
from .plan import MAX_OUT_OF_SERVICE
from .quorum_member import NEVER_CONFIRMED, RENEWAL_SHARE, QuorumMember
from .quorum_messages import Append, AppendReply, QuorumMessage, TableEntry, TableVersion


@dataclass(slots=True)
class Acknowledgement:
    """State that a leader keeps of one member.

    Attributes:
        unanswered: Appends sent to this member since its last reply.
        version: Version of the leader's table that the member holds; 0: it holds none.
        sent_at: Latest time at which an append was sent that this member answered, ns.
        last_stamp: Stamp of this member's latest reply, echoed in the next append.
        answered_stamp: Stamp of the latest append that this member answered.
    """

    unanswered: int = 0
    version: int = 0
    sent_at: int = NEVER_CONFIRMED
    last_stamp: int = 0
    answered_stamp: int = 0


@dataclass(slots=True)
class LeaseLeader:
    """Grants and revokes machines, and replicates the table. Does nothing while this front does not lead.

    Attributes:
        member: The state of this front as a member.
        acks: State of each other member, by its number.
        broadcast_version: Version of the last grant of an upstream, which every member has to learn; 0: none.
    """

    member: QuorumMember
    acks: dict[int, Acknowledgement] = field(default_factory=dict)
    broadcast_version: int = 0

    def take_leadership(self, entries: Iterable[TableEntry], now: int) -> None:
        """Become the leader, with the latest table among those of a majority of the voters."""
        member, table = self.member, self.member.table
        table.replace(entries, now)
        for grant in table.grants.values():
            grant.granted_version = 1
            grant.revoked_at = now
        table.version = 1
        table.committed = 0
        member.majority_confirmed_at = NEVER_CONFIRMED
        member.is_leader = True
        member.last_contact_at = now
        self.acks = {}
        self.broadcast_version = int(any(machine not in table.member_numbers for machine in table.grants))
        self._publish_table(now)

    def grant(self, machine: int, started_ms: int, now: int) -> bool:
        """As the leader, grant a machine to go out of service; false if that is not possible now."""
        table = self.member.table
        is_full = len(table.grants) >= MAX_OUT_OF_SERVICE
        if not self.member.holds_lease(now) or machine in table.grants or is_full:
            return False
        table.version += 1
        table.grants[machine] = Grant(started_ms, table.version, now)
        if machine not in table.member_numbers:
            self.broadcast_version = table.version
        self._publish_table(now)
        return True

    def revoke(self, machine: int, now: int) -> None:
        """As the leader, revoke a grant; the machine counts as out until it confirms or the grant expires."""
        table = self.member.table
        grant = table.grants.get(machine)
        if self.member.is_leader and grant and not grant.revoked_version:
            table.version += 1
            grant.revoked_version = table.version
            grant.revoked_at = now
            self._publish_table(now)

    def remove(self, machine: int, now: int) -> None:
        """As the leader, remove a machine that returned from the table."""
        table = self.member.table
        if self.member.is_leader and machine in table.grants:
            del table.grants[machine]
            table.version += 1
            self._publish_table(now)

    def revocation_is_acknowledged(self, machine: int, number: int, now: int) -> bool:
        """Return whether the revoked front with this number acknowledged, or its grant must have expired."""
        grant = self.member.table.grants.get(machine)
        if grant is None or not grant.revoked_version:
            return False
        if number == self.member.own_number:
            return True
        ack = self.acks.get(number)
        if ack is not None and ack.version >= grant.revoked_version:
            return True
        return now - grant.revoked_at > self.member.lease

    def required_members(self) -> set[int]:
        """Return the members that are sent each table: voters, and members that are out of service."""
        member, table = self.member, self.member.table
        return set(member.voters) | {
            table.member_numbers.get(machine, member.own_number) for machine in table.grants
        }

    def step_down(self) -> None:
        """End the leadership of this front, so that another member may lead."""
        self.member.is_leader = False

    def send_table(self, now: int) -> list[Outgoing[QuorumMessage]]:
        """Return an append for each member that needs the table."""
        self.member.next_send_at = now + int(self.member.lease * RENEWAL_SHARE)
        return [Outgoing(number, self._make_append(number, now)) for number in sorted(self._receivers())]

    def receive_append_reply(self, sender: int, reply: AppendReply, now: int) -> None:
        """Record that a member confirmed an append."""
        member, table = self.member, self.member.table
        sent_at = member.stamps.sent_at.get(reply.answered_stamp)
        if not member.is_leader or reply.term != member.term or sent_at is None:
            return
        ack = self.acks.setdefault(sender, Acknowledgement())
        committed_before = table.committed
        ack.sent_at = max(ack.sent_at, sent_at)
        ack.unanswered = 0
        if reply.answered_stamp >= ack.answered_stamp:
            # The version may be lower than the recorded one: a member that restarted has lost the table.
            ack.answered_stamp = reply.answered_stamp
            ack.version = reply.version
            ack.last_stamp = reply.own_stamp
        self.count_confirmations(now)
        if table.committed > committed_before:
            member.next_send_at = now  # machines act on a grant once they receive its version as committed

    def count_confirmations(self, now: int) -> None:
        """Update which version a majority has confirmed, and as of when."""
        member, table = self.member, self.member.table
        needed = len(member.voters) // 2  # confirmations besides this front's own
        acks = [ack for number, ack in self.acks.items() if number in member.voters]
        if needed == 0:
            table.committed = table.version
            member.majority_confirmed_at = now
        elif len(acks) >= needed:
            sent_at = sorted((ack.sent_at for ack in acks), reverse=True)[needed - 1]
            version = sorted((ack.version for ack in acks), reverse=True)[needed - 1]
            member.majority_confirmed_at = max(member.majority_confirmed_at, sent_at)
            table.committed = max(table.committed, min(version, table.version))
        if member.holds_lease(now):
            for machine in table.committed_grants():
                table.confirmed_at[machine] = member.majority_confirmed_at

    def _receivers(self) -> set[int]:
        """Return the receivers of the table: required members, and those that lack an upstream's grant."""
        receivers = self.required_members()
        if 0 < self.broadcast_version <= self.member.table.committed:
            receivers |= {
                number
                for number in range(self.member.member_count)
                if number not in self.acks or self.acks[number].version < self.broadcast_version
            }
        return receivers - {self.member.own_number}

    def _publish_table(self, now: int) -> None:
        """Number the changed table, and have it sent at once."""
        member, table = self.member, self.member.table
        table.table_version = TableVersion(member.term, member.own_number, table.version)
        member.next_send_at = now
        self.count_confirmations(now)

    def _make_append(self, receiver: int, now: int) -> Append:
        member, table = self.member, self.member.table
        ack = self.acks.setdefault(receiver, Acknowledgement())
        # A member that does not answer may have restarted: it has lost the table and is silent for a lease.
        has_table = ack.version == table.version and not ack.unanswered
        ack.unanswered += 1
        return Append(
            member.term,
            table.version,
            table.committed if member.holds_lease(now) else 0,
            member.next_stamp(now),
            ack.last_stamp,
            None if has_table else table.entries(now),
        )
