"""Messages of the lease quorum, by which members agree on the machines that are out of service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NO_LEADER = -1


class TableVersion(NamedTuple):
    """Version of the table that a member holds; the greatest one among a majority is the latest."""

    term: int = 0
    leader: int = NO_LEADER
    version: int = 0


@dataclass(slots=True, frozen=True)
class TableEntry:
    """A grant in the table, as it is sent.

    Attributes:
        machine: Key of the machine.
        started_ms: Start of its process when it was granted, in Unix milliseconds.
        granted_version: Version of the table that first contained the grant.
        age_ms: Age of the grant, in milliseconds.
        revoked: The grant is revoked.
    """

    machine: int
    started_ms: int
    granted_version: int
    age_ms: int = 0
    revoked: bool = False


@dataclass(slots=True, frozen=True)
class VoteRequest:
    """A candidate's request for votes in a term."""

    term: int


@dataclass(slots=True, frozen=True)
class Vote:
    """A vote, or the report of a later term.

    Attributes:
        term: The requested term; a later one is not a vote, but reports the term that the voter is in.
        table_version: Version of the voter's table.
        entries: The voter's table; empty if this is not a vote.
    """

    term: int
    table_version: TableVersion
    entries: tuple[TableEntry, ...]


@dataclass(slots=True, frozen=True)
class Append:
    """A leader's table, sent to renew its lease and to replicate changes.

    Attributes:
        term: The leader's term.
        version: Version of the table.
        committed: Latest version that a majority holds; 0: no majority confirmed the table recently.
        stamp: The leader's stamp of this message.
        echo: The last stamp that the leader received from the receiver.
        entries: The table; None: the receiver already has this version.
    """

    term: int
    version: int
    committed: int
    stamp: int
    echo: int
    entries: tuple[TableEntry, ...] | None


@dataclass(slots=True, frozen=True)
class AppendReply:
    """A member's answer to an append.

    Attributes:
        term: Term of the append.
        version: Version of the leader's table that the member holds; 0: it holds another table.
        answered_stamp: Stamp of the append.
        own_stamp: The member's stamp of this message.
    """

    term: int
    version: int
    answered_stamp: int
    own_stamp: int


QuorumMessage = VoteRequest | Vote | Append | AppendReply
