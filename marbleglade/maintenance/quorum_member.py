"""State of a lease quorum's member that its roles share: term, voters, timers and table."""

from __future__ import annotations

from dataclasses import dataclass, field

from .lease_table import LeaseTable
from .message_stamps import MessageStamps
from .quorum_messages import NO_LEADER

# All shares are of a lease.
RENEWAL_SHARE = 1 / 6  # interval between two appends of a leader; a changed table is sent at once
FOLLOW_TIMEOUT_SHARE = 1 / 3  # time after a leader's last message in which no other candidate gets a vote
MAJORITY_FRESH_SHARE = 1 / 3  # greatest age of a majority's confirmation at which a leader holds its lease
NEVER_CONFIRMED = -1  # time of a confirmation that has not happened yet


@dataclass(slots=True)
class QuorumMember:
    """State of this front as a member of the quorum.

    Attributes:
        own_number: The number of this front.
        member_count: Number of listed members, alive or not.
        voters: Numbers of the members that vote.
        lease: Duration of the lease, ns; all timeouts are shares of it.
        silent_until: Time until which this front neither votes nor confirms nor requests votes, ns.
        last_contact_at: When a message of the leader of the latest term last arrived, ns.
        next_send_at: When the next append or vote request is due, ns.
        table: This front's copy of the table of machines out of service.
        stamps: Stamps of this front's messages.
        term: The latest term that this front has voted in or learned of.
        leader: Number of the leader of that term, or of the candidate voted for; else `NO_LEADER`.
        is_leader: This front is the leader.
        majority_confirmed_at: At the leader, time as of which a majority last confirmed the table, ns; or
            `NEVER_CONFIRMED`.
    """

    own_number: int
    member_count: int
    voters: frozenset[int]
    lease: int
    silent_until: int
    last_contact_at: int
    next_send_at: int
    table: LeaseTable
    stamps: MessageStamps = field(default_factory=MessageStamps)
    term: int = 0
    leader: int = NO_LEADER
    is_leader: bool = False
    majority_confirmed_at: int = NEVER_CONFIRMED

    def holds_lease(self, now: int) -> bool:
        """Return whether this front is a leader with a recent confirmation of a majority, so it may grant."""
        is_fresh = now - self.majority_confirmed_at < self.lease * MAJORITY_FRESH_SHARE
        return self.is_leader and self.majority_confirmed_at >= 0 and is_fresh

    def has_leader(self, now: int) -> bool:
        """Return whether there is a leader in contact: this front with its lease, or another member."""
        if self.is_leader:
            return self.holds_lease(now)
        return self.leader >= 0 and now - self.last_contact_at < self.lease * FOLLOW_TIMEOUT_SHARE

    def enter_term(self, term: int, leader: int) -> None:
        """Enter a term. Confirmed grants stay so until they expire, since a later leader has them too."""
        if (term, leader) != (self.term, self.leader):
            self.table.committed = 0
            self.table.version = 0
            self.majority_confirmed_at = NEVER_CONFIRMED
        self.term = term
        self.leader = leader
        self.is_leader = False

    def next_stamp(self, now: int) -> int:
        """Return the stamp of a message that is sent now."""
        return self.stamps.issue(self.member_count, now)
