"""Follower role of the lease quorum: stores the leader's table and confirms it."""

from __future__ import annotations

from dataclasses import dataclass

from ..fleet.gossip_messages import Outgoing
from ..fleet.leadership import MAX_TERM_JUMP
from .quorum_member import QuorumMember
from .quorum_messages import Append, AppendReply, QuorumMessage, TableVersion


@dataclass(slots=True)
class Follower:
    """Accepts the table of the latest leader, and ignores appends of earlier ones."""

    member: QuorumMember

    def receive_append(self, sender: int, append: Append, now: int) -> list[Outgoing[QuorumMessage]]:
        """Follow the leader, store its table, and return the confirmation."""
        member = self.member
        table = member.table
        is_older = (append.term, sender) < (member.term, member.leader)
        if is_older or append.term >= member.term + MAX_TERM_JUMP or sender not in member.voters:
            return []
        member.enter_term(append.term, sender)
        member.last_contact_at = now
        has_table = self._adopt_table(sender, append, now)
        if has_table:
            table.committed = max(table.committed, min(append.committed, table.version))
            self._confirm_grants(append)
        if now < member.silent_until:
            return []
        version = append.version if has_table else 0
        reply = AppendReply(append.term, version, append.stamp, member.next_stamp(now))
        return [Outgoing(sender, reply)]

    def _adopt_table(self, leader: int, append: Append, now: int) -> bool:
        """Store the leader's table unless the stored one is newer; return whether it is now stored."""
        table = self.member.table
        table_version = TableVersion(append.term, leader, append.version)
        if append.entries is None or append.version < table.version:
            return table.table_version == table_version
        table.version = append.version
        table.table_version = table_version
        table.replace(append.entries, now)
        table.forget_void_confirmations()
        return True

    def _confirm_grants(self, append: Append) -> None:
        """Confirm committed grants, as of when this front sent the message whose stamp the append echoes.

        The leader sent the append after it received that message, so it held its lease at a later time.
        """
        sent_at = self.member.stamps.sent_at.get(append.echo)
        if append.committed and sent_at is not None:
            self.member.table.confirm_committed(append.committed, sent_at)
