"""The coordinator's protocol, without I/O: numbered events, one JSON object a line."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import orjson

LONGEST_LINE = 1 << 20      # a whole list stands on one line


class BadLine(Exception):
    """A line that can't be read; what came before it still counts."""


@dataclass(slots=True)
class Member:
    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: str
    started_ms: int


@dataclass(slots=True)
class ListChange:
    index: int
    whole: bool
    members: list[Member]


@dataclass(slots=True)
class Purge:
    """Of one object, or of a group where `thing` is 0."""

    index: int
    thing: int
    group: int
    unix_ms: int


@dataclass(slots=True)
class Beat:
    """The number of the last event that there is."""

    index: int


Event = ListChange | Purge | Beat


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def event(value: dict) -> ListChange | Purge | None:
    """One event as a typed value; None for a kind that is not known here."""
    index = int(value["index"])
    if "endpoints" in value:
        told = value["endpoints"]
        members = [Member(str(one["id"]), address(one["addr"]), one["zone"], one["kind"],
                          int(one.get("cell") or 0), one["state"], int(one.get("started_ms") or 0))
                   for one in told["servers"]]
        return ListChange(index, bool(told.get("full")), members)
    if "evict" in value:
        told = value["evict"]
        thing, group = int(told.get("ref") or "0", 16), int(told.get("shard") or 0)
        return Purge(index, thing, group, int(told["unix_ms"]))
    return None


def encode_follow(last: int) -> bytes:
    return b"follow %d\n" % last


class Events:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Event]:
        """Gives each event as it is read, so that what stands before a bad line still counts."""
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        if len(rest) > LONGEST_LINE:
            raise BadLine("a line without end")
        self.buffer = rest
        for line in lines:
            if not line.strip():
                continue
            try:
                value = orjson.loads(line)
                read = Beat(value) if isinstance(value, int) else event(value)
            except (ValueError, KeyError, TypeError, AttributeError) as trouble:
                raise BadLine("not an event") from trouble
            if read:
                yield read
