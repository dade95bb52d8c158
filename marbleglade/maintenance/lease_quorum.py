"""Lease quorum: a table of the machines out of service, replicated by a leader to a majority of the voters.

The voters are a few of the members; all members with the same list of members select the same voters. The
leader is a voter with the votes of a majority. Each vote contains the voter's table, so a new leader has
every grant that an earlier leader committed. A grant is in effect once a majority of the voters has it, and a
voter that voted for a later leader ignores earlier leaders: two leaders can't both commit grants. A leader
without confirmations of a majority for a lease steps down. Members without a vote are sent the table while
they are out of service themselves, and once for each granted upstream, which they have to avoid.

A front stays out of service while its leader shows, by an echo of the front's own messages, that a majority
confirmed the table recently; otherwise it returns. A revoked front counts as out until it confirms the
revocation. A restarted front has lost its record of votes, so it is silent for a lease, in which everything
that relied on those votes expires or is renewed with other votes. `docs/notes/work.md` explains why this
holds, and `tests/maintenance/test_lease_quorum_states.py` checks it by a bounded search.

Each role of a member has a class: `Voter` and `Candidate` (elections), `LeaseLeader` (changes and replicates
the table) and `Follower` (stores and confirms it). They share the `QuorumMember`, with the `LeaseTable`.

Free of I/O, clocks and randomness; times are nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from functools import lru_cache

from ..fleet.gossip_messages import Outgoing
from ..fleet.leadership import rendezvous_draw
from .lease_election import Candidate, Voter
from .lease_follower import Follower
from .lease_leader import LeaseLeader
from .lease_table import LeaseTable
from .quorum_member import FOLLOW_TIMEOUT_SHARE, QuorumMember
from .quorum_messages import Append, AppendReply, QuorumMessage, Vote, VoteRequest

MAX_VOTERS = 9  # a majority remains while four are unreachable


@lru_cache(maxsize=4)
def select_voters(count: int) -> frozenset[int]:
    """Return the voters of a fleet: up to `MAX_VOTERS` members, by a hash that depends on the count alone."""
    by_hash = sorted(range(count), key=lambda number: rendezvous_draw(b"maintenance voter", number))
    return frozenset(by_hash[:MAX_VOTERS])


class LeaseQuorum:
    """One member of the quorum; passes messages and timers to its roles.

    Args:
        own_number: The number of this front.
        member_count: Number of listed members, alive or not.
        lease: Duration of the lease, ns.
        now: The current time.

    Attributes:
        member: The state that the roles share.
        table: This front's copy of the table of machines out of service.
        voter: Answers vote requests.
        candidate: Requests votes for this front.
        leader_role: Grants and revokes machines, and replicates the table.
        follower: Stores the table of another member that leads.
    """

    __slots__ = ("candidate", "follower", "leader_role", "member", "table", "voter")

    def __init__(self, own_number: int, member_count: int, lease: int, now: int) -> None:
        self.table = LeaseTable(lease)
        self.member = QuorumMember(
            own_number,
            member_count,
            select_voters(member_count),
            lease,
            silent_until=now + lease,
            last_contact_at=now,
            next_send_at=now,
            table=self.table,
        )
        self.leader_role = LeaseLeader(self.member)
        self.candidate = Candidate(self.member, self.leader_role)
        self.voter = Voter(self.member)
        self.follower = Follower(self.member)

    def tick(self, wants_leadership: bool, now: int) -> list[Outgoing[QuorumMessage]]:
        """Return the messages that are due.

        Args:
            wants_leadership: Maintenance is pending, and this front is the preferred leader.
            now: The current time.
        """
        member = self.member
        if member.is_leader:
            self.leader_role.count_confirmations(now)
            if now - max(member.majority_confirmed_at, member.last_contact_at) > member.lease:
                self.leader_role.step_down()
        if now < member.next_send_at or now < member.silent_until:
            return []
        if member.is_leader:
            return self.leader_role.send_table(now)
        follows_other = (
            member.leader != member.own_number
            and now - member.last_contact_at < member.lease * FOLLOW_TIMEOUT_SHARE
        )
        if member.own_number not in member.voters or not wants_leadership or follows_other:
            return []
        return self.candidate.start_election(now)

    def receive(self, sender: int, message: QuorumMessage, now: int) -> list[Outgoing[QuorumMessage]]:
        """Process a member's message and return the answers."""
        match message:
            case VoteRequest():
                return self.voter.receive_vote_request(sender, message, now)
            case Vote():
                self.candidate.receive_vote(sender, message, now)
                return []
            case Append():
                return self.follower.receive_append(sender, message, now)
            case AppendReply():
                self.leader_role.receive_append_reply(sender, message, now)
                return []

    def resize(self, count: int, now: int) -> None:
        """Adapt to another number of members. The majority changes with it, so earlier votes are void."""
        self.member.member_count = count
        self.member.voters = select_voters(count)
        self.member.silent_until = now + self.member.lease
        self.member.is_leader = False
        self.candidate.votes = {}
        self.leader_role.acks = {}
