"""The coordinator's protocol, without I/O: numbered events, one JSON object a line."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from ipaddress import IPv4Address

import orjson

from ..ground import STATES

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


@dataclass(slots=True)
class Other:
    """An event of a kind that is not known here, or that can't be used; its number counts all the same."""

    index: int


Event = ListChange | Purge | Other | Beat


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 1 << 16:
        raise ValueError(f"no port: {text}")
    return str(IPv4Address(host)), int(port)


def event(value: dict) -> ListChange | Purge | Other:
    """One event as a typed value."""
    index = value["index"]
    if type(index) is not int or index < 0:
        raise ValueError("no number")
    try:
        return _content(index, value)
    except (ValueError, KeyError, TypeError, AttributeError):
        return Other(index)


def _content(index: int, value: dict) -> ListChange | Purge | Other:
    if "endpoints" in value:
        told = value["endpoints"]
        members = [Member(str(one["id"]), address(one["addr"]), one["zone"], one["kind"],
                          int(one.get("cell") or 0), one["state"], int(one.get("started_ms") or 0))
                   for one in told["servers"]]
        if not all(one.state in STATES for one in members):
            raise ValueError("no state")
        return ListChange(index, bool(told.get("full")), members)
    if "evict" in value:
        told = value["evict"]
        thing, group = int(told.get("ref") or "0", 16), int(told.get("shard") or 0)
        return Purge(index, thing, group, int(told["unix_ms"]))
    return Other(index)


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
                yield Beat(value) if type(value) is int else event(value)
            except (ValueError, KeyError, TypeError) as trouble:
                raise BadLine("not an event") from trouble
