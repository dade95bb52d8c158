"""Reads and validates the settings of a control plane, a file in protobuf text format."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from ..runtime.units import MILLISECOND_NS
from ..textproto import parse_address, parse_file
from .control_pb2 import ControlPlane

MAX_FILE_BYTES = 1 << 20
MAX_NODES = 16
MAX_FRONTS = 1 << 14
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
FRONT_RANGE_PATTERN = re.compile(r"([^\[\]]*)\[([0-9]{1,6})-([0-9]{1,6})\]([^\[\]]*)")

DEFAULTS = {"purge_deadline_ms": 2600, "configuration_deadline_ms": 5000, "catch_up_bytes_per_s": 6144}
BOUNDS = {
    "purge_deadline_ms": (200, 600_000),
    "configuration_deadline_ms": (200, 600_000),
    "catch_up_bytes_per_s": (1024, 1 << 24),
}
VIEW_PERIOD_BOUNDS_MS = (50, 5_000)


class InvalidSettingsError(Exception):
    """Raised for invalid settings; `errors` has one line for each error."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(frozen=True, slots=True)
class RegionSettings:
    """One region: its discovery service and the names of its fronts."""

    name: str
    discovery: tuple[str, int]
    fronts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """One control node.

    Attributes:
        address: The address that fronts and operators connect to.
        quorum_address: The address that the other control nodes connect to.
    """

    name: str
    region: str
    zone: str
    address: tuple[str, int]
    quorum_address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """The settings of a control plane, with defaults for the fields that the file omits.

    Attributes:
        purge_deadline_ns: Time in which every front must have applied a purge, in nanoseconds.
        configuration_deadline_ns: Time in which a configuration must be in force at every front, in ns.
        catch_up_bytes_per_s: Rate limit of a snapshot to one front, in bytes per second.
        view_period_ns: Interval of aggregated load views, in nanoseconds; 0: control nodes compute none.
    """

    deployment: str
    regions: tuple[RegionSettings, ...]
    nodes: tuple[NodeSettings, ...]
    purge_deadline_ns: int
    configuration_deadline_ns: int
    catch_up_bytes_per_s: int
    view_period_ns: int = 0

    def node(self, name: str) -> NodeSettings | None:
        """Return the node with this name, or None."""
        return next((node for node in self.nodes if node.name == name), None)

    def region_of(self, front: str) -> RegionSettings | None:
        """Return the region that lists a front, or None."""
        return next((region for region in self.regions if front in region.fronts), None)

    def front_numbers(self) -> dict[str, int]:
        """Return each front's position in the file by name; it is the same for all readers of the file."""
        names = [front for region in self.regions for front in region.fronts]
        return {name: number for number, name in enumerate(names)}


def read(path: str) -> ControlSettings:
    """Read the settings file at `path`. Raises `InvalidSettingsError` with every error found."""
    try:
        message = parse_file(path, ControlPlane(), MAX_FILE_BYTES)
    except ValueError as error:
        raise InvalidSettingsError([" ".join(str(error).split())]) from error
    errors = [*_bound_errors(message), *_region_errors(message), *_node_errors(message)]
    if errors:
        raise InvalidSettingsError([f"{path}: {error}" for error in errors])
    return ControlSettings(
        deployment=message.deployment,
        regions=tuple(
            RegionSettings(region.name, parse_address(region.discovery), tuple(_expand_ranges(region.front)))
            for region in message.region
        ),
        nodes=tuple(
            NodeSettings(
                name=node.name,
                region=node.region,
                zone=node.zone,
                address=parse_address(node.address),
                quorum_address=parse_address(node.quorum_address),
            )
            for node in message.node
        ),
        purge_deadline_ns=_value_or_default(message, "purge_deadline_ms") * MILLISECOND_NS,
        configuration_deadline_ns=_value_or_default(message, "configuration_deadline_ms") * MILLISECOND_NS,
        catch_up_bytes_per_s=_value_or_default(message, "catch_up_bytes_per_s"),
        view_period_ns=message.view_period_ms * MILLISECOND_NS,
    )


def _value_or_default(message: ControlPlane, name: str) -> int:
    if not message.HasField(name):
        return DEFAULTS[name]
    value: int = getattr(message, name)
    return value


def _bound_errors(message: ControlPlane) -> Iterator[str]:
    if not NAME_PATTERN.fullmatch(message.deployment):
        yield f"deployment: {message.deployment!r} is not a valid name"
    for name, (minimum, maximum) in BOUNDS.items():
        if not minimum <= _value_or_default(message, name) <= maximum:
            yield f"{name}: {_value_or_default(message, name)} is not between {minimum} and {maximum}"
    minimum, maximum = VIEW_PERIOD_BOUNDS_MS
    if message.HasField("view_period_ms") and not minimum <= message.view_period_ms <= maximum:
        yield f"view_period_ms: {message.view_period_ms} is not between {minimum} and {maximum}"


def _region_errors(message: ControlPlane) -> Iterator[str]:
    if not message.region:
        yield "region: no region is listed, expected at least 1"
    yield from _name_errors("region", [region.name for region in message.region])
    fronts: list[str] = []
    for region in message.region:
        yield from address_errors(f"region {region.name}: discovery", region.discovery)
        try:
            fronts += _expand_ranges(region.front)
        except ValueError as error:
            yield f"region {region.name}: front: {error}"
    if len(fronts) > MAX_FRONTS:
        yield f"front: {len(fronts)} fronts are listed, expected at most {MAX_FRONTS}"
    else:
        yield from _name_errors("front", fronts)


def _node_errors(message: ControlPlane) -> Iterator[str]:
    if not 1 <= len(message.node) <= MAX_NODES:
        yield f"node: {len(message.node)} nodes are listed, expected 1 to {MAX_NODES}"
    yield from _name_errors("node", [node.name for node in message.node])
    regions = {region.name for region in message.region}
    addresses: list[str] = []
    for node in message.node:
        if node.region not in regions:
            yield f"node {node.name}: region {node.region!r} is not listed"
        if not NAME_PATTERN.fullmatch(node.zone):
            yield f"node {node.name}: zone {node.zone!r} is not a valid name"
        for field in ("address", "quorum_address"):
            text = getattr(node, field)
            yield from address_errors(f"node {node.name}: {field}", text)
            if text in addresses:
                yield f"node {node.name}: {field} {text} is listed twice"
            addresses.append(text)


def _name_errors(kind: str, names: list[str]) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            yield f"{kind}: {name!r} is not a valid name"
        elif name in seen:
            yield f"{kind}: {name} is listed twice"
        seen.add(name)


def address_errors(path: str, text: str) -> Iterator[str]:
    """Yield an error with the field's `path` if the text is not a usable address."""
    try:
        parse_address(text)
    except ValueError:
        yield f"{path}: {text!r} is not host:port with an IPv4 address"


def _expand_ranges(patterns: list[str]) -> list[str]:
    names: list[str] = []
    for pattern in patterns:
        match = FRONT_RANGE_PATTERN.fullmatch(pattern)
        if not match:
            names.append(pattern)
            continue
        prefix, first, last, suffix = match.groups()
        if not int(first) <= int(last) < int(first) + MAX_FRONTS:
            raise ValueError(f"{pattern!r} is not a range of 1 to {MAX_FRONTS} fronts in rising order")
        names += [f"{prefix}{number}{suffix}" for number in range(int(first), int(last) + 1)]
    return names
