"""Codec of the discovery service's protocol, without I/O: numbered watch events, one JSON value per line."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NotRequired, TypedDict

import orjson

from ..model.watch_event import (
    NEVER,
    Endpoint,
    EndpointListChange,
    Heartbeat,
    Purge,
    UnknownEvent,
    WatchEvent,
)
from ..runtime.addresses import parse_address
from ..settings.vocabulary import STATE_BY_SETTING

MAX_LINE_BYTES = 1 << 20  # must fit a complete endpoint list, which is sent as one line


class EndpointContent(TypedDict):
    """The JSON object of one endpoint in an endpoint list."""

    id: str
    addr: str
    zone: str
    kind: str
    state: str
    cell: NotRequired[int]
    started_ms: NotRequired[int]


class EndpointListContent(TypedDict):
    """The JSON object of an endpoint list; unless `full` is set, it has only the changed endpoints."""

    servers: list[EndpointContent]
    full: NotRequired[bool]


class PurgeContent(TypedDict, total=False):
    """The JSON object of a purge: `ref` is the object's id in hex, `shard` the purge group."""

    ref: str
    shard: int
    unix_ms: int


class EventContent(TypedDict):
    """The expected JSON object of an event; the parser checks the values that it uses."""

    index: int
    endpoints: NotRequired[EndpointListContent]
    evict: NotRequired[PurgeContent]


class InvalidLineError(Exception):
    """The line can't be used; the events before it are valid."""


class GarbledLineError(InvalidLineError):
    """The line can't be decoded; the next call of `feed` continues after it."""


def parse_event(value: EventContent) -> EndpointListChange | Purge | UnknownEvent:
    """Return the event that a JSON object describes.

    Raises:
        KeyError: The object has no index.
        ValueError: The index is not a whole number of at least 0.
    """
    index = value["index"]
    if type(index) is not int or index < 0:
        raise ValueError("index is not a whole number of at least 0")
    try:
        return _parse_content(index, value)
    except (ValueError, KeyError, TypeError, AttributeError):
        return UnknownEvent(index)


def _parse_content(index: int, value: EventContent) -> EndpointListChange | Purge | UnknownEvent:
    if "endpoints" in value:
        return _parse_list(index, value["endpoints"])
    if "evict" in value:
        return _parse_purge(index, value["evict"])
    return UnknownEvent(index)


def _parse_list(index: int, content: EndpointListContent) -> EndpointListChange:
    change = EndpointListChange(index, bool(content.get("full")), [])
    for entry in content["servers"]:
        try:
            change.endpoints.append(_parse_endpoint(entry))
        except (ValueError, KeyError, TypeError, AttributeError):
            # An unreadable entry must not hide that other upstreams are draining.
            if isinstance(entry, dict) and isinstance(entry.get("id"), str):
                change.unreadable.append(entry["id"])
    if content["servers"] and not change.endpoints and not change.unreadable:
        raise ValueError("no entry of the endpoint list can be read")
    return change


def _parse_purge(index: int, content: PurgeContent) -> Purge:
    object_id, group = int(content.get("ref") or "0", 16), int(content.get("shard") or 0)
    if not object_id and "shard" not in content:
        raise ValueError("the purge has neither ref nor shard")
    unix_ms = content.get("unix_ms")
    return Purge(index, object_id, group, unix_ms if type(unix_ms) is int and 0 <= unix_ms < NEVER else NEVER)


def _parse_endpoint(entry: EndpointContent) -> Endpoint:
    endpoint = Endpoint(
        str(entry["id"]),
        parse_address(entry["addr"]),
        entry["zone"],
        entry["kind"],
        int(entry.get("cell") or 0),
        STATE_BY_SETTING[entry["state"]],
        int(entry.get("started_ms") or 0),
    )
    if not 0 <= endpoint.started_ms < NEVER:
        raise ValueError("started_ms is out of range")
    return endpoint


def encode_subscription(last: int) -> bytes:
    """Return the line that subscribes to all events with an index greater than `last`."""
    return b"follow %d\n" % last


class EventDecoder:
    """Decodes a stream of bytes into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._lines: deque[bytearray] = deque()  # complete lines that are not decoded yet
        self._skipping_line = False  # whether the rest of an overlong line is being discarded

    def feed(self, data: bytes | memoryview) -> Iterator[WatchEvent]:
        """Yield each event as it is decoded; after an error the next call continues with the following line.

        Raises:
            GarbledLineError: A line can't be decoded, or is too long.
        """
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        if lines and self._skipping_line:
            self._skipping_line = False
            del lines[0]
        self._lines.extend(lines)
        while self._lines:
            if not (line := self._lines.popleft()).strip():
                continue
            try:
                value = orjson.loads(line)
                event = Heartbeat(value) if type(value) is int else parse_event(value)
            except (ValueError, KeyError, TypeError) as error:
                raise GarbledLineError("the line is not a watch event") from error
            yield event
        if len(self._buffer) > MAX_LINE_BYTES:
            already_skipping, self._skipping_line = self._skipping_line, True
            self._buffer = bytearray()
            if not already_skipping:
                raise GarbledLineError("the line is longer than MAX_LINE_BYTES")
