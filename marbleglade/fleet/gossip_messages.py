"""Messages of the SWIM membership protocol: probes and acknowledgements, with piggybacked member updates."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, NamedTuple, TypeVar

MessageT = TypeVar("MessageT", covariant=True)


class MemberStatus(IntEnum):
    """Status of a member; its value is its code in datagrams and its precedence within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3

    @property
    def is_alive(self) -> bool:
        """Whether the member counts as alive; a suspected member does until its suspicion expires."""
        return self <= MemberStatus.SUSPECT


class Precedence(NamedTuple):
    """Order of claims about one member; the greater one, compared field by field, overrides the other."""

    started_ms: int
    incarnation: int
    status: MemberStatus


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """Claim of one member about the status of another.

    Attributes:
        number: The number of the described member, which is its position in the list of peers.
        status: The claimed status.
        started_ms: Start time of the described member's process, in Unix milliseconds; 0 if unknown.
        incarnation: Number of suspicions that this process has refuted.
        source: The number of the member that made the claim.
    """

    number: int
    status: MemberStatus
    started_ms: int
    incarnation: int
    source: int = 0

    @property
    def precedence(self) -> Precedence:
        """The precedence of this update over others about the same member."""
        return Precedence(self.started_ms, self.incarnation, self.status)


@dataclass(slots=True)
class Ping:
    """Direct probe of the member `target`."""

    sequence: int
    target: int
    updates: list[MemberUpdate] = field(default_factory=list)


@dataclass(slots=True)
class Ack:
    """Acknowledgement of the ping or ping request that has the same sequence number."""

    sequence: int
    updates: list[MemberUpdate] = field(default_factory=list)


@dataclass(slots=True)
class PingRequest:
    """Request to probe the member `target` on behalf of the sender (SWIM's ping-req)."""

    sequence: int
    target: int
    updates: list[MemberUpdate] = field(default_factory=list)


Gossip = Ping | Ack | PingRequest


@dataclass(slots=True, frozen=True)
class Outgoing(Generic[MessageT]):
    """A message to send.

    Attributes:
        to: The receiving member's number, or one of the special receiver numbers in `agent`.
        message: The message, for one of the datagram codecs.
    """

    to: int
    message: MessageT
