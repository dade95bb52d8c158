"""Election of the lease quorum's leader: the roles of the voter and of the candidate.

Each vote contains the voter's table. So a candidate with the votes of a majority has every grant that an
earlier leader committed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..fleet.gossip_messages import Outgoing
from ..fleet.leadership import MAX_TERM_JUMP
from .lease_leader import LeaseLeader
from .quorum_member import RENEWAL_SHARE, QuorumMember
from .quorum_messages import NO_LEADER, QuorumMessage, Vote, VoteRequest


@dataclass(slots=True)
class Voter:
    """Votes for at most one candidate in each term, and for none while a leader is in contact."""

    member: QuorumMember

    def receive_vote_request(
        self, sender: int, request: VoteRequest, now: int
    ) -> list[Outgoing[QuorumMessage]]:
        """Return a vote, or a message with this voter's later term, or nothing.

        A leader that holds its lease does not vote: it enters the later term itself, to be elected again.
        """
        member = self.member
        table = member.table
        if now < member.silent_until or not {member.own_number, sender} <= member.voters:
            return []
        is_newer = (member.term, member.leader) < (request.term, sender)
        if not is_newer or request.term >= member.term + MAX_TERM_JUMP:
            # Not a vote: it tells the candidate the later term.
            is_older = request.term < member.term
            return [Outgoing(sender, Vote(member.term, table.table_version, ()))] if is_older else []
        if member.has_leader(now) and member.leader != sender:
            if member.is_leader:
                # Voters in a later term ignore this leader, so it has to be elected again.
                member.enter_term(request.term, member.own_number)
                member.next_send_at = now
            return []
        member.enter_term(request.term, sender)
        return [Outgoing(sender, Vote(request.term, table.table_version, table.entries(now)))]


@dataclass(slots=True)
class Candidate:
    """Requests votes, and makes this front the leader once it has those of a majority.

    Attributes:
        member: The state of this front as a member.
        leader_role: The role that takes over once this front is elected.
        votes: The votes for this front in the current term, by voter.
    """

    member: QuorumMember
    leader_role: LeaseLeader
    votes: dict[int, Vote] = field(default_factory=dict)

    def start_election(self, now: int) -> list[Outgoing[QuorumMessage]]:
        """Enter the next term, vote for this front, and return the requests to the other voters."""
        member = self.member
        member.next_send_at = now + int(member.lease * RENEWAL_SHARE)
        member.enter_term(member.term + 1, member.own_number)
        own_vote = Vote(member.term, member.table.table_version, member.table.entries(now))
        self.votes = {member.own_number: own_vote}
        self._count_votes(now)
        voters = sorted(member.voters - {member.own_number})
        return [Outgoing(number, VoteRequest(member.term)) for number in voters]

    def receive_vote(self, sender: int, vote: Vote, now: int) -> None:
        """Count a vote, or enter the later term that the voter reports."""
        member = self.member
        if member.is_leader or now < member.silent_until or sender not in member.voters:
            return
        if vote.term == member.term and member.leader == member.own_number:
            self.votes[sender] = vote
            self._count_votes(now)
        elif member.term < vote.term < member.term + MAX_TERM_JUMP:
            member.enter_term(vote.term, NO_LEADER)  # this front's next election then exceeds it

    def _count_votes(self, now: int) -> None:
        """Become the leader once a majority voted for this front, with the latest of their tables.

        That table contains every grant that was ever committed.
        """
        if self.member.is_leader or len(self.votes) * 2 <= len(self.member.voters):
            return
        latest = max(self.votes.values(), key=lambda vote: vote.table_version)
        self.votes = {}
        self.leader_role.take_leadership(latest.entries, now)
