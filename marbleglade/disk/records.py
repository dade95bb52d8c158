"""The records of a segment, without I/O: each says what it is, and proves that it is whole.

A record is a head of 64 bytes, the body, and zeros up to the next multiple of 8. The head holds a checksum of
itself and one of the body. What does not prove whole ends the reading of its segment.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

HEAD = struct.Struct("<4sBBHQIIQQQQQ")
MAGIC, FORM, PART = b"mgdt", 1, 1
ALIGN = 8
LONGEST = (1 << 24) - 1  # bytes of a body


@dataclass(frozen=True, slots=True)
class Head:
    """A part of an object as it stands on disk; `issued_ms` is the Unix millisecond of its copy."""

    thing: int
    part: int
    group: int
    tag: int
    issued_ms: int
    size: int
    check: int
    serial: int  # rising with each record of a tier: of two for one part the later one counts


def length(size: int) -> int:
    """Bytes of a whole record with a body of that size."""
    return HEAD.size + (size + ALIGN - 1) // ALIGN * ALIGN


def check_of(body: bytes | memoryview) -> int:
    return xxhash.xxh3_64_intdigest(body)


def encode(head: Head, body: bytes) -> bytes:
    data = HEAD.pack(
        MAGIC,
        FORM,
        PART,
        head.group,
        head.thing,
        head.part,
        head.size,
        head.tag,
        head.issued_ms,
        head.check,
        head.serial,
        0,
    )
    data = data[:-8] + check_of(data[:-8]).to_bytes(8, "little")
    return data + body + bytes(length(head.size) - HEAD.size - head.size)


def decode(data: bytes | memoryview) -> Head | None:
    """The head that stands here; None where none proves whole."""
    if len(data) < HEAD.size:
        return None
    magic, form, kind, group, thing, part, size, tag, issued, check, serial, sealed = HEAD.unpack_from(data)
    if (
        (magic, form, kind) != (MAGIC, FORM, PART)
        or size > LONGEST
        or check_of(bytes(data[: HEAD.size - 8])) != sealed
    ):
        return None
    return Head(thing, part, group, tag, issued, size, check, serial)


def body_of(head: Head, data: bytes) -> bytes | None:
    """The body behind a head; None where it does not prove whole."""
    body = data[HEAD.size : HEAD.size + head.size]
    return body if len(body) == head.size and check_of(body) == head.check else None


def scan(data: bytes, start: int = 0) -> Iterator[tuple[int, Head]]:
    """The whole records from `start` on, with their places, up to the first that is not."""
    at = start
    while head := decode(data[at : at + HEAD.size]):
        whole = data[at : at + length(head.size)]
        if len(whole) < length(head.size) or body_of(head, whole) is None:
            return
        yield at, head
        at += len(whole)
