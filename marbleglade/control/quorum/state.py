"""The values of the replicated register, and the durable state of one replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The ballot number of a candidate or leader. The higher one wins; (0, -1) is below all real ballots.

    Attributes:
        term: The number of the election, higher for each new one.
        node_index: The index of the candidate in the settings' list of nodes.
    """

    term: int = 0
    node_index: int = -1


@dataclass(frozen=True, slots=True)
class Value:
    """The register's content: one configuration version.

    Attributes:
        version: The version number, from 1; 0 is the empty register.
        proposal_id: Random id from the proposer, by which a retried proposal is recognised.
        text: The complete configuration document.
    """

    version: int = 0
    proposal_id: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class Vote:
    """The last value that an acceptor accepted, and the ballot of the leader that proposed it."""

    ballot: Ballot = Ballot()
    value: Value = Value()

    @property
    def rank(self) -> tuple[Ballot, int]:
        """The sort key of votes. A leader proposes rising versions, so its later votes rank higher."""
        return self.ballot, self.value.version


@dataclass(frozen=True, slots=True)
class FoundingMember:
    """A node, and the id of its store when the group was founded."""

    node: str
    store_id: str


@dataclass(frozen=True, slots=True)
class DurableState:
    """The state of one replica that must survive a restart.

    Attributes:
        store_id: Random id, created with the store.
        voter: Whether the replica may vote; otherwise it is a learner.
        founders: The members and stores that founded the group; empty on a learner.
        promised: The highest ballot that the replica promised.
        accepted: The last vote of the replica.
        chosen: The newest value that the replica learned as chosen.
    """

    store_id: str
    voter: bool = False
    founders: tuple[FoundingMember, ...] = ()
    promised: Ballot = Ballot()
    accepted: Vote = Vote()
    chosen: Value = Value()
