"""The status of one control node and its codec as one JSON line, without I/O.

Sets of fronts are bit masks with one bit for each entry of `fronts`, in the same order. In JSON they are
hexadecimal strings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypedDict

import orjson

from ...model.watch_event import NEVER

MAX_STATUS_BYTES = 1 << 24  # maximum length of a status line

# Row types of the JSON line: arrays with the fields in the order of the encoders below. A received row may
# have any content; the decoders convert each field and raise an exception if that is not possible.
FrontRow = tuple[str, int, int, int, int, int, int, str]
AcknowledgementsRow = tuple[str, int, int]
PurgeRow = tuple[int, str, int, int, int, int, str, str, int, int]
ConfigurationRow = tuple[int, int, str, int, int]


class StatusContent(TypedDict):
    """The JSON object of a status line, with the content of a `NodeStatus`."""

    deployment: str
    node: str
    stream: str
    started_ms: int
    last: int
    current: bool
    discovery_age_ms: int | None
    fronts: list[FrontRow]
    purges: list[PurgeRow]
    configuration: ConfigurationRow
    latency: tuple[int, ...]
    counters: dict[str, int]


class InvalidStatusError(Exception):
    """Raised for a line that is not a valid status of a control node."""


@dataclass(frozen=True, slots=True)
class FrontStatus:
    """The state of a front's latest incarnation at a node; `start_ms` 0: the front never connected there."""

    name: str
    start_ms: int
    connected: bool
    has_left: bool
    applied_index: int
    configuration_version: int
    rejected_version: int
    rejection_reason: str


@dataclass(frozen=True, slots=True)
class PurgeIdentity:
    """The identity of a purge across nodes; `node` is set only for a purge without a readable time."""

    object_id: int
    group: int
    unix_ms: int
    node: str = ""


@dataclass(frozen=True, slots=True)
class FirstAcknowledgementsStatus:
    """The first acknowledgement of one event by each front, with latencies since the node received it.

    Attributes:
        connected_fronts: Fronts that acknowledged the event and were connected since its receipt.
        connected_latency_ms: The longest latency among these fronts.
        all_latency_ms: The longest latency among all fronts.
    """

    connected_fronts: int = 0
    connected_latency_ms: int = 0
    all_latency_ms: int = 0


@dataclass(frozen=True, slots=True)
class PurgeStatus:
    """The state of one purge at a node; `missing_fronts` includes fronts that shut down gracefully."""

    index: int
    object_id: int
    group: int
    unix_ms: int
    received_unix_ms: int
    live: bool
    missing_fronts: int
    acknowledgements: FirstAcknowledgementsStatus

    def identity(self, node: str) -> PurgeIdentity:
        """Return the identity across nodes; a purge without a readable time differs at each node."""
        return PurgeIdentity(
            self.object_id,
            0 if self.object_id else self.group,
            self.unix_ms,
            node if self.unix_ms == NEVER else "",
        )


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The newest configuration version of a node, with fields as in `PurgeStatus`; version 0: none."""

    version: int
    received_unix_ms: int
    acknowledgements: FirstAcknowledgementsStatus


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The status of one control node.

    Attributes:
        last_index: The number of the last event in the node's stream.
        current: The discovery service's last heartbeat is recent, and all events up to it were received.
        discovery_age_ms: The age of that heartbeat; None: none was received yet.
        fronts: The listed fronts, in the order of the bits.
        purges: The latest purges, oldest first.
        latency: Bucket counts of a `LatencyHistogram`, from the receipt of a purge to its acknowledgement.
        counters: The node's counters.
    """

    deployment: str
    node: str
    stream: str
    started_unix_ms: int
    last_index: int
    current: bool
    discovery_age_ms: int | None
    fronts: tuple[FrontStatus, ...]
    purges: tuple[PurgeStatus, ...]
    configuration: ConfigurationStatus
    latency: tuple[int, ...] = ()
    counters: dict[str, int] = field(default_factory=dict)


def encode_status(status: NodeStatus) -> bytes:
    """Encode the status as one JSON line."""
    content: StatusContent = {
        "deployment": status.deployment,
        "node": status.node,
        "stream": status.stream,
        "started_ms": status.started_unix_ms,
        "last": status.last_index,
        "current": status.current,
        "discovery_age_ms": status.discovery_age_ms,
        "fronts": [_encode_front(front) for front in status.fronts],
        "purges": [_encode_purge(purge) for purge in status.purges],
        "configuration": (
            status.configuration.version,
            status.configuration.received_unix_ms,
            *_encode_acknowledgements(status.configuration.acknowledgements),
        ),
        "latency": status.latency,
        "counters": status.counters,
    }
    line: bytes = orjson.dumps(content, option=orjson.OPT_APPEND_NEWLINE)
    return line


def _encode_front(front: FrontStatus) -> FrontRow:
    return (
        front.name,
        front.start_ms,
        int(front.connected),
        int(front.has_left),
        front.applied_index,
        front.configuration_version,
        front.rejected_version,
        front.rejection_reason,
    )


def _encode_purge(purge: PurgeStatus) -> PurgeRow:
    return (
        purge.index,
        f"{purge.object_id:016x}",
        purge.group,
        purge.unix_ms,
        purge.received_unix_ms,
        int(purge.live),
        f"{purge.missing_fronts:x}",
        *_encode_acknowledgements(purge.acknowledgements),
    )


def _encode_acknowledgements(acknowledgements: FirstAcknowledgementsStatus) -> AcknowledgementsRow:
    return (
        f"{acknowledgements.connected_fronts:x}",
        acknowledgements.connected_latency_ms,
        acknowledgements.all_latency_ms,
    )


def decode_status(line: bytes) -> NodeStatus:
    """Decode the status line of a node. Raises `InvalidStatusError`."""
    try:
        content: StatusContent = orjson.loads(line)
        return NodeStatus(
            deployment=str(content["deployment"]),
            node=str(content["node"]),
            stream=str(content["stream"]),
            started_unix_ms=int(content["started_ms"]),
            last_index=int(content["last"]),
            current=bool(content["current"]),
            discovery_age_ms=None
            if content["discovery_age_ms"] is None
            else int(content["discovery_age_ms"]),
            fronts=tuple(_decode_front(row) for row in content["fronts"]),
            purges=tuple(_decode_purge(row) for row in content["purges"]),
            configuration=_decode_configuration(content["configuration"]),
            latency=tuple(map(int, content["latency"])),
            counters={str(name): int(count) for name, count in content["counters"].items()},
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidStatusError(f"not a valid status of a control node: {bytes(line[:80])!r}") from error


def _decode_front(row: FrontRow) -> FrontStatus:
    name, start_ms, connected, has_left, applied_index, version, rejected_version, reason = row
    return FrontStatus(
        name=str(name),
        start_ms=int(start_ms),
        connected=bool(connected),
        has_left=bool(has_left),
        applied_index=int(applied_index),
        configuration_version=int(version),
        rejected_version=int(rejected_version),
        rejection_reason=str(reason),
    )


def _decode_purge(row: PurgeRow) -> PurgeStatus:
    (
        index,
        object_id,
        group,
        unix_ms,
        received_unix_ms,
        live,
        missing_fronts,
        connected_fronts,
        connected_latency_ms,
        all_latency_ms,
    ) = row
    return PurgeStatus(
        index=int(index),
        object_id=int(object_id, 16),
        group=int(group),
        unix_ms=int(unix_ms),
        received_unix_ms=int(received_unix_ms),
        live=bool(live),
        missing_fronts=int(missing_fronts, 16),
        acknowledgements=_decode_acknowledgements(connected_fronts, connected_latency_ms, all_latency_ms),
    )


def _decode_configuration(row: ConfigurationRow) -> ConfigurationStatus:
    version, received_unix_ms, connected_fronts, connected_latency_ms, all_latency_ms = row
    return ConfigurationStatus(
        int(version),
        int(received_unix_ms),
        _decode_acknowledgements(connected_fronts, connected_latency_ms, all_latency_ms),
    )


def _decode_acknowledgements(
    connected_fronts: str, connected_latency_ms: int, all_latency_ms: int
) -> FirstAcknowledgementsStatus:
    return FirstAcknowledgementsStatus(
        int(connected_fronts, 16), int(connected_latency_ms), int(all_latency_ms)
    )
