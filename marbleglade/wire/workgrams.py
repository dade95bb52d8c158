"""What fronts say to one another of work, as datagrams, without I/O: who may be out, and which order holds.

The head is that of `datagrams`. Every list is bounded by its count; what does not fit to the last byte is
none.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from ..fleet.grants import Claim, Entry, Grantgram, Held, Hold, Vote
from ..fleet.order import MOST_OUT
from .datagrams import HEAD, LONGEST, VERSION

CLAIM, VOTE, HOLD, HELD, HAVE, WANT, PART = range(16, 23)
MOST_PARTS = 64
PART_BYTES = 200
TABLE = struct.Struct("!IHI")       # term, keeper, version
HOLDS = struct.Struct("!IIII")      # term, version, committed, echo
HELDS = struct.Struct("!III")
ENTRY = struct.Struct("!IQIIB")     # machine, start, number, age, called back
HAS = struct.Struct("!QII")         # asked_ms, digest, size
WANTS = struct.Struct("!IB")        # digest, part
NOBODY = 0xFFFF


@dataclass(slots=True, frozen=True)
class Have:
    """This order is in force here."""

    asked_ms: int
    digest: int
    size: int


@dataclass(slots=True, frozen=True)
class Want:
    """Tell me that part of it."""

    digest: int
    part: int


@dataclass(slots=True, frozen=True)
class Part:
    digest: int
    part: int
    data: bytes


Workgram = Grantgram | Have | Want | Part


def encode(message: Workgram) -> bytes:
    match message:
        case Claim(term):
            data = HEAD.pack(VERSION, CLAIM, term)
        case Vote(term, (of, by, version), entries):
            data = HEAD.pack(VERSION, VOTE, term) + TABLE.pack(of, by if by >= 0 else NOBODY, version)
            data += _entries(entries)
        case Hold():
            data = HEAD.pack(VERSION, HOLD, message.stamp) + HOLDS.pack(
                message.term, message.version, message.committed, message.echo)
            data += b"" if message.entries is None else _entries(message.entries)
        case Held():
            data = HEAD.pack(VERSION, HELD, message.stamp) + HELDS.pack(
                message.term, message.version, message.word)
        case Have():
            data = HEAD.pack(VERSION, HAVE, 0) + HAS.pack(message.asked_ms, message.digest, message.size)
        case Want():
            data = HEAD.pack(VERSION, WANT, 0) + WANTS.pack(message.digest, message.part)
        case Part():
            data = HEAD.pack(VERSION, PART, 0) + WANTS.pack(message.digest, message.part) + message.data
    assert len(data) <= LONGEST, len(data)
    return data


def _entries(entries: tuple[Entry, ...]) -> bytes:
    return bytes([len(entries)]) + b"".join(
        ENTRY.pack(one.machine, one.start_ms, one.number, min(one.age_ms, 0xFFFF_FFFF), one.back)
        for one in entries)


def decode(data: bytes) -> Workgram | None:
    """None for anything that is not one of these, whole."""
    if not HEAD.size <= len(data) <= LONGEST:
        return None
    version, kind, number = HEAD.unpack_from(data)
    rest = data[HEAD.size:]
    if version != VERSION or (kind in (CLAIM, VOTE, HOLD, HELD) and number >= 2**32):
        return None
    if kind == CLAIM and not rest:
        return Claim(number)
    if kind == VOTE and len(rest) > TABLE.size:
        of, by, at = TABLE.unpack_from(rest)
        entries = _read(rest[TABLE.size:])
        held = (of, -1 if by == NOBODY else by, at)
        return Vote(number, held, entries) if entries is not None else None
    if kind == HOLD and len(rest) == HOLDS.size:
        term, at, committed, echo = HOLDS.unpack(rest)
        return Hold(term, at, committed, number, echo, None)
    if kind == HOLD and len(rest) > HOLDS.size:
        term, at, committed, echo = HOLDS.unpack_from(rest)
        entries = _read(rest[HOLDS.size:])
        return Hold(term, at, committed, number, echo, entries) if entries is not None else None
    if kind == HELD and len(rest) == HELDS.size:
        term, at, word = HELDS.unpack(rest)
        return Held(term, at, number, word)
    if kind == HAVE and len(rest) == HAS.size:
        return Have(*HAS.unpack(rest))
    if kind == WANT and len(rest) == WANTS.size:
        return Want(*WANTS.unpack(rest))
    if kind == PART and WANTS.size < len(rest) <= WANTS.size + PART_BYTES:
        return Part(*WANTS.unpack_from(rest), rest[WANTS.size:])
    return None


def _read(data: bytes) -> tuple[Entry, ...] | None:
    if not data or data[0] > MOST_OUT or len(data) != 1 + data[0] * ENTRY.size:
        return None
    rows = [ENTRY.unpack_from(data, 1 + place * ENTRY.size) for place in range(data[0])]
    if any(back > 1 for *_, back in rows) or len({row[0] for row in rows}) < len(rows):
        return None
    return tuple(Entry(machine, start, at, age, bool(back)) for machine, start, at, age, back in rows)
