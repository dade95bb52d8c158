"""Inquiry of a front after its start, before it serves: it queries which machines are out of service.

A front starts without the table, and the leader of the maintenance lease sends the table only with its next
append, which may be lost. So the front queries a few voters in each of several rounds, until it has enough
replies. After a time-out it serves without the machines that may be out of service, and continues to query.

Members without a vote are not queried, since they learn of a grant later. A query shows that its sender has
no table; a receiver that has none either queries back. If all voters query, the table is lost, and there is
nothing to wait for.

Free of I/O, clocks and randomness; times are nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..fleet.gossip_messages import Outgoing
from ..runtime.units import SECOND_NS
from .lease_quorum import select_voters
from .quorum_messages import TableEntry

QUERIES_PER_ROUND = 5
QUERY_INTERVAL_SHARE = 1 / 24  # of a lease; interval between two rounds of queries
MAX_QUERY_INTERVAL_NS = SECOND_NS // 4
MAX_WAIT_NS = 4 * SECOND_NS  # a restarted front has to be ready within 10 s, sometimes within 6 s
LATE_QUERY_INTERVAL_NS = SECOND_NS  # interval between two rounds after `MAX_WAIT_NS`


@dataclass(slots=True, frozen=True)
class TableQuery:
    """Query for the machines that are out of service; its sender has no table."""


@dataclass(slots=True, frozen=True)
class TableReply:
    """Grants of a majority that the sender has: the machines that are out of service."""

    entries: tuple[TableEntry, ...]


class InquiryOutcome(Enum):
    """State of an inquiry, or why the front waits no longer; the value is written to the log."""

    WAITING = "waiting"
    LEADER = "leader"  # the leader sent its table
    REPLIES = "replies"  # enough members replied
    EXHAUSTED = "exhausted"  # no other member can be expected to have a later table
    TIMEOUT = "timeout"  # the front serves without being informed

    @property
    def is_informed(self) -> bool:
        """True if the inquiry obtained the latest table, or showed that no member has one."""
        return self not in (InquiryOutcome.WAITING, InquiryOutcome.TIMEOUT)


@dataclass(slots=True)
class TableInquiry:
    """State of one front's inquiry after its start.

    Attributes:
        own_number: The number of this front.
        lease: Duration of the maintenance lease, ns.
        started_at: When the front started, ns.
        answered: Members that replied, which only informed members do.
        querying: Members that queried this front, and so have no table either.
        queried_at: When this front last queried each member, ns.
        informed_by_leader: The leader sent its table, or this front leads.
        next_position: Index in the sorted list of the other voters at which the next round begins.
        next_round_at: When the next round is due, ns.
        rounds: Number of rounds of queries sent so far.
    """

    own_number: int
    lease: int
    started_at: int
    answered: set[int] = field(default_factory=set)
    querying: set[int] = field(default_factory=set)
    queried_at: dict[int, int] = field(default_factory=dict)
    informed_by_leader: bool = False
    next_position: int = 0
    next_round_at: int = field(init=False)
    rounds: int = 0

    def __post_init__(self) -> None:
        self.next_round_at = self.started_at

    def outcome(self, now: int, count: int) -> InquiryOutcome:
        """Return the outcome of the inquiry of this front, which is one of `count` members."""
        if self.informed_by_leader:
            return InquiryOutcome.LEADER
        if self._has_enough_replies(select_voters(count)):
            return InquiryOutcome.REPLIES
        is_late = now - self.started_at >= MAX_WAIT_NS
        if self._is_exhausted(select_voters(count), is_late):
            return InquiryOutcome.EXHAUSTED
        return InquiryOutcome.TIMEOUT if is_late else InquiryOutcome.WAITING

    def is_finished(self, now: int, count: int) -> bool:
        """Return whether this front, which is one of `count` members, no longer waits."""
        return self.outcome(now, count) is not InquiryOutcome.WAITING

    def _has_enough_replies(self, voters: frozenset[int]) -> bool:
        """Return whether each possible majority of the voters contains one that replied.

        Each grant is held by a majority, but this front itself has lost its table at the restart.
        """
        others = len(voters - {self.own_number})
        return len(self.answered & voters) >= min((len(voters) + 1) // 2, others)

    def _is_exhausted(self, voters: frozenset[int], is_late: bool) -> bool:
        """Return whether no other member can be expected to have a later table than those that replied.

        Before the time-out this needs a reply or a query of each voter. After it, those of a majority are
        enough: the next leader takes over the latest table of a majority, so theirs is as good.
        """
        reached = (self.answered | self.querying | {self.own_number}) & voters
        return len(reached) * 2 > len(voters) if is_late else reached == voters

    def tick(self, now: int, count: int) -> list[Outgoing[TableQuery]]:
        """Return the queries that are due; each round goes to the next few voters."""
        outcome = self.outcome(now, count)
        if now < self.next_round_at or outcome.is_informed:
            return []
        self.rounds += 1
        interval = self._query_interval(outcome)
        # Based on the planned time: with `now`, a tick just before the due time would delay the round.
        self.next_round_at = max(self.next_round_at + interval, now + interval // 2)
        others = sorted(select_voters(count) - {self.own_number})
        steps = range(min(QUERIES_PER_ROUND, len(others)))
        numbers = [others[(self.next_position + step) % len(others)] for step in steps]
        self.next_position += len(numbers)
        return [self._make_query(number, now) for number in numbers]

    def receive_query(self, sender: int, now: int, count: int) -> list[Outgoing[TableQuery]]:
        """Record that a member has no table; if this front has none either, query it, once in an interval."""
        self.querying.add(sender)
        outcome = self.outcome(now, count)
        queried_at = self.queried_at.get(sender)
        if outcome.is_informed or (
            queried_at is not None and now - queried_at < self._query_interval(outcome)
        ):
            return []
        return [self._make_query(sender, now)]

    def _make_query(self, number: int, now: int) -> Outgoing[TableQuery]:
        self.queried_at[number] = now
        return Outgoing(number, TableQuery())

    def _query_interval(self, outcome: InquiryOutcome) -> int:
        if outcome is InquiryOutcome.TIMEOUT:
            return LATE_QUERY_INTERVAL_NS
        return min(int(self.lease * QUERY_INTERVAL_SHARE), MAX_QUERY_INTERVAL_NS)
