"""The line protocol between control nodes, fronts and operators: message types and their codec, without I/O.

A control node implements the watch protocol of the discovery service (`protocols/discovery_protocol.py`): a
watcher writes `follow N` and receives the events after number N, one JSON object per line, and once a second
a heartbeat with the number of the last event. A front that supports the control plane first writes
`front NAME START STREAM`. The node then sends it a greeting before the events, and the front acknowledges
the events that it has applied on the same connection. Event numbers are valid within one stream; a node
starts a new stream each time it starts.
"""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypedDict

import orjson

from ..model import watch_event
from ..protocols import discovery_protocol

MAX_REQUEST_LINE_BYTES = 512  # maximum length of a line from a front or an operator
MAX_REASON_CHARACTERS = 200  # longer reasons for rejecting a configuration are cut off
MAX_CONFIGURATION_BYTES = 1 << 16  # maximum size of a configuration document
NO_STREAM = "-"  # sent by a front that has not received any stream yet
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")


class InvalidLineError(Exception):
    """Raised for a line that violates the protocol; the receiver closes the connection."""


@dataclass(frozen=True, slots=True)
class FrontHello:
    """A front's first request: its name, start time (Unix milliseconds) and last stream or `NO_STREAM`."""

    name: str
    start_ms: int
    stream: str


@dataclass(frozen=True, slots=True)
class Follow:
    """A request for all events with a number higher than `last`."""

    last: int


@dataclass(frozen=True, slots=True)
class EventsApplied:
    """A front has applied every event of the stream up to number `index`."""

    index: int


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A front has put this configuration version into force."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationRejected:
    """A front rejects this configuration version and keeps its previous valid version."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class FrontLeaving:
    """A front is shutting down gracefully."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A front's recent load on its links, encoded as a datagram of `protocols/fleet_datagrams.py`."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PartialViewsQuery:
    """Another control node's request for all future partial load views of this node."""


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """An operator's request for the node's status; the answer is one JSON line."""


Request = (
    FrontHello
    | Follow
    | EventsApplied
    | ConfigurationApplied
    | ConfigurationRejected
    | FrontLeaving
    | LoadReport
    | PartialViewsQuery
    | StatusQuery
)


@dataclass(frozen=True, slots=True)
class Greeting:
    """The first line of a control node to a front or to another control node.

    Attributes:
        deployment: The deployment that the node serves.
        node: The node's name.
        stream: The identifier of the node's event stream.
        snapshot_to: The number of the last event that the following snapshot covers; 0 if no snapshot
            follows and the event numbers continue without a gap. Line numbers within a snapshot increase but
            may skip values, and the first may be lower than the front's last event number. The last line has
            the number `snapshot_to`, and only then are all events up to it applied. Events that occur
            during the snapshot may be sent early as additional snapshot lines. They are sent again, under
            their own numbers, after the snapshot.
    """

    deployment: str
    node: str
    stream: str
    snapshot_to: int


@dataclass(frozen=True, slots=True)
class ConfigurationEvent:
    """An accepted configuration version; `text` is the complete document in protobuf text format."""

    index: int
    version: int
    text: str


@dataclass(frozen=True, slots=True)
class LoadView:
    """The aggregated load view for one front, encoded as a fleet datagram; not numbered, never resent."""

    data: bytes


NumberedEvent = (
    ConfigurationEvent | watch_event.EndpointListChange | watch_event.Purge | watch_event.UnknownEvent
)
StreamLine = Greeting | LoadView | watch_event.Heartbeat | NumberedEvent


class GreetingContent(TypedDict):
    """The JSON object of a `Greeting`."""

    deployment: str
    node: str
    stream: str
    snapshot_to: int


class ConfigurationContent(TypedDict):
    """The JSON object of a `ConfigurationEvent`; the event number is a separate key of the line."""

    version: int
    text: str


def encode_request(request: Request) -> bytes:
    """Encode one line from a front or an operator."""
    match request:
        case FrontHello(name, start_ms, stream):
            text = f"front {name} {start_ms} {stream}"
        case Follow(last):
            text = f"follow {last}"
        case EventsApplied(index):
            text = f"applied {index}"
        case ConfigurationApplied(version):
            text = f"configured {version}"
        case ConfigurationRejected(version, reason):
            text = f"refused {version} {_single_line(reason)}"
        case FrontLeaving():
            text = "leave"
        case LoadReport(data):
            text = f"report {b64encode(data).decode()}"
        case PartialViewsQuery():
            text = "partial-views"
        case StatusQuery():
            text = "status"
    return text.encode() + b"\n"


def decode_request(line: bytes) -> Request:
    """Decode one line from a front or an operator. Raises `InvalidLineError`."""
    try:
        command, _, arguments = line.decode("utf-8").strip().partition(" ")
        match command:
            case "front":
                name, start_ms, stream = arguments.split()
                return FrontHello(_parse_name(name), _parse_number(start_ms), _parse_name(stream))
            case "follow":
                return Follow(_parse_number(arguments))
            case "applied":
                return EventsApplied(_parse_number(arguments))
            case "configured":
                return ConfigurationApplied(_parse_number(arguments))
            case "refused":
                version, _, reason = arguments.partition(" ")
                return ConfigurationRejected(_parse_number(version), _single_line(reason))
            case "leave" if not arguments:
                return FrontLeaving()
            case "report":
                return LoadReport(b64decode(arguments, validate=True))
            case "partial-views" if not arguments:
                return PartialViewsQuery()
            case "status" if not arguments:
                return StatusQuery()
    except ValueError as error:
        raise InvalidLineError(f"not a valid request: {line[:80]!r}") from error
    raise InvalidLineError(f"not a valid request: {line[:80]!r}")


def encode_greeting(greeting: Greeting) -> bytes:
    """Encode the first line of a node to a front or to another node."""
    content: GreetingContent = {
        "deployment": greeting.deployment,
        "node": greeting.node,
        "stream": greeting.stream,
        "snapshot_to": greeting.snapshot_to,
    }
    return _json_line({"control": content})


def encode_configuration(event: ConfigurationEvent) -> bytes:
    """Encode a configuration version as an event of the stream."""
    content: ConfigurationContent = {"version": event.version, "text": event.text}
    return _json_line({"index": event.index, "configuration": content})


def encode_load_view(view: LoadView) -> bytes:
    """Encode a load view as a line without an event number."""
    return _json_line({"view": b64encode(view.data).decode()})


def _json_line(content: Mapping[str, object]) -> bytes:
    line: bytes = orjson.dumps(content, option=orjson.OPT_APPEND_NEWLINE)
    return line


def decode_stream_line(line: bytes | bytearray) -> StreamLine:
    """Decode one line from a control node. Raises `InvalidLineError`."""
    try:
        value = orjson.loads(line)
        if type(value) is int and value >= 0:
            return watch_event.Heartbeat(value)
        if "control" in value:
            return _parse_greeting(value["control"])
        if "view" in value:
            return LoadView(b64decode(value["view"], validate=True))
        if "configuration" in value:
            return _parse_configuration(value["index"], value["configuration"])
        return discovery_protocol.parse_event(value)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidLineError(f"not a valid line of a control node: {bytes(line[:80])!r}") from error


def _parse_greeting(content: GreetingContent) -> Greeting:
    snapshot_to = content["snapshot_to"]
    if type(snapshot_to) is not int or snapshot_to < 0:
        raise ValueError("snapshot_to is not an integer of at least 0")
    return Greeting(
        _parse_name(content["deployment"]),
        _parse_name(content["node"]),
        _parse_name(content["stream"]),
        snapshot_to,
    )


def _parse_configuration(index: int, content: ConfigurationContent) -> ConfigurationEvent:
    version, text = content["version"], content["text"]
    if type(index) is not int or index < 1 or type(version) is not int or version < 1:
        raise ValueError("index or version is not an integer of at least 1")
    if not isinstance(text, str) or len(text.encode()) > MAX_CONFIGURATION_BYTES:
        raise ValueError("text is not a string, or is longer than MAX_CONFIGURATION_BYTES")
    return ConfigurationEvent(index, version, text)


def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} is not a name of 1 to 64 letters, digits, dots, underscores and hyphens")
    return text


def _parse_number(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise ValueError(f"{text!r} is not a decimal number of at most 18 digits")
    return int(text)


def _single_line(text: str) -> str:
    return " ".join(text.split())[:MAX_REASON_CHARACTERS]
