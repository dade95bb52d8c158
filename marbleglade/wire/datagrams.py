"""What fronts tell one another, without I/O: which event of the coordinator took something away.

A datagram holds a version, the number of the event and either a place that leaves or a purge. It only ever
takes away: a place is used because the coordinator listed it, never because a peer did.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from .coordlines import Purge

LONGEST = 256       # bytes, by the protocol
VERSION = 1
HEAD = struct.Struct("!BBQ")
PURGED = struct.Struct("!QBQ")
PLACE, PURGE = 1, 2


@dataclass(slots=True)
class PlaceLeaves:
    index: int
    id: str
    started_ms: int


Hint = PlaceLeaves | Purge
STARTED = struct.Struct("!Q")


def encode(hint: Hint) -> bytes | None:
    """The datagram, or None where it would not fit."""
    if isinstance(hint, Purge):
        return HEAD.pack(VERSION, PURGE, hint.index) + PURGED.pack(hint.thing, hint.group, hint.unix_ms)
    data = HEAD.pack(VERSION, PLACE, hint.index) + STARTED.pack(hint.started_ms) + hint.id.encode()
    return data if len(data) <= LONGEST else None


def decode(data: bytes) -> Hint | None:
    """None for anything that is not a datagram of this version."""
    if len(data) < HEAD.size or len(data) > LONGEST:
        return None
    version, kind, index = HEAD.unpack_from(data)
    rest = data[HEAD.size:]
    if version != VERSION:
        return None
    if kind == PURGE and len(rest) == PURGED.size:
        return Purge(index, *PURGED.unpack(rest))
    if kind == PLACE and len(rest) > STARTED.size:
        try:
            return PlaceLeaves(index, rest[STARTED.size:].decode("ascii"), *STARTED.unpack_from(rest))
        except UnicodeDecodeError:
            return None
    return None
