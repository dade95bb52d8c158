"""Checks a deployment and reports all errors, each with the path of its field."""

from __future__ import annotations

import re
from collections.abc import Iterator

from ..textproto import parse_address
from .deployment_pb2 import Deployment, Gateway, Profile, Region, Route
from .names import NAME_PATTERN

OBJECT_PREFIX_PATTERN = re.compile(r"[0-9a-f]{0,16}")
MIN_REGIONS = 2
MAX_REGIONS = 16
MAX_GATEWAYS = 16  # per region
MAX_PROFILES = 64
MAX_GROUP = 255
MIN_HEARTBEATS_TO_SILENCE = 3
# The inclusive lower and upper bounds of the numeric fields, by section.
BOUNDS: dict[str, dict[str, tuple[float, float]]] = {
    "limits": {
        "memory": (8 << 20, 1 << 40),
        "descriptors": (64, 1 << 20),
        "most_launches": (1, 16),
        "most_open": (0, 1 << 20),
        "longest_pause_ms": (0, 60_000),
        "pace": (0, 1e12),
        "width": (0, 1e6),
        "connect_ms": (1, 60_000),
        "idle_ms": (10, 3_600_000),
    },
    "rules": {
        "cold_share": (0.001, 1),
        "cold_ms": (0, 3_600_000),
        "cold_factor": (1, 100),
        "fall_ms": (1, 600_000),
        "clear_ms": (1, 3_600_000),
        "heard_ratio": (0, 10_000),
    },
    "link": {
        "beat_ms": (10, 10_000),
        "silent_ms": (30, 60_000),
        "drift_ppm": (0, 100_000),
        "book_carries": (1, 1 << 22),
        "book_bytes": (0, 1 << 40),
        "book": (0, 1),
    },
}
PROFILE_BOUNDS: dict[str, tuple[float, float]] = {
    "agreed_ms": (1, 3_600_000),
    "stretch": (0, 100),
    "client_timeout_ms": (1, 3_600_000),
    "window_ms": (0, 3_600_000),
    "fresh_ms": (0, 1e10),
    "grace_ms": (0, 1e10),
}


def find_errors(deployment: Deployment) -> list[str]:
    """Return all errors of a deployment whose defaults are filled in.

    Each error is one line that starts with the path of the field.
    """
    return [
        *_number_errors(deployment),
        *_regions_errors(deployment),
        *_routes_errors(deployment),
        *_profiles_errors(deployment),
    ]


def _bounds_errors(path: str, value: float, bounds: tuple[float, float]) -> Iterator[str]:
    least, most = bounds
    if not least <= value <= most:  # also true of NaN
        yield f"{path}: {value:g} is not between {least:g} and {most:g}"


def _number_errors(deployment: Deployment) -> Iterator[str]:
    for section_name, bounds_by_field in BOUNDS.items():
        section = getattr(deployment, section_name)
        for field, bounds in bounds_by_field.items():
            yield from _bounds_errors(f"{section_name}.{field}", getattr(section, field), bounds)
    if deployment.link.silent_ms < MIN_HEARTBEATS_TO_SILENCE * deployment.link.beat_ms:
        yield "link.silent_ms: must be at least three times link.beat_ms"
    # A gateway needs both limits to cache objects of other regions; without them it caches none.
    if bool(deployment.limits.pace) != bool(deployment.limits.width):
        yield "limits.pace, limits.width: must both be positive, or both 0"


class _UniqueValues:
    """Checks that names and addresses are valid and used only once among the fields passed to it.

    One instance covers the names of all regions and gateways and the addresses of all gateways, another one
    the names of all profiles.

    Attributes:
        path_by_name: The path of the field that used each name first.
        path_by_address: The path of the field that used each address first.
    """

    def __init__(self) -> None:
        self.path_by_name: dict[str, str] = {}
        self.path_by_address: dict[tuple[str, int], str] = {}

    def name_errors(self, path: str, name: str) -> Iterator[str]:
        if not NAME_PATTERN.fullmatch(name):
            yield f"{path}: {name!r} is not a name: expected 1 to 32 of a-z, 0-9, '-', the first not '-'"
        elif name in self.path_by_name:
            yield f"{path}: {name!r} is already used by {self.path_by_name[name]}"
        self.path_by_name.setdefault(name, path)

    def address_errors(self, path: str, text: str) -> Iterator[str]:
        try:
            parsed_address = parse_address(text)
        except ValueError as error:
            yield f"{path}: {error}"
            return
        if parsed_address in self.path_by_address:
            yield f"{path}: {text} is already used by {self.path_by_address[parsed_address]}"
        self.path_by_address.setdefault(parsed_address, path)


def _address_errors(path: str, text: str) -> Iterator[str]:
    """Check only the syntax of an address, which may be used more than once."""
    return _UniqueValues().address_errors(path, text)


def _regions_errors(deployment: Deployment) -> Iterator[str]:
    regions = deployment.regions
    if not MIN_REGIONS <= len(regions) <= MAX_REGIONS:
        yield f"regions: there are {len(regions)}, expected {MIN_REGIONS} to {MAX_REGIONS}"
    unique = _UniqueValues()
    for index, region in enumerate(regions):
        yield from _region_errors(f"regions[{index}]", region, unique)
    gateway_names = {gateway.name for region in regions for gateway in region.gateways}
    if deployment.self and deployment.self not in gateway_names:
        yield f"self: no gateway is named {deployment.self!r}"


def _region_errors(path: str, region: Region, unique: _UniqueValues) -> Iterator[str]:
    yield from unique.name_errors(f"{path}.name", region.name)
    yield from _address_errors(f"{path}.coordinator", region.coordinator)
    for field in ("zone", "hub_kind", "store_kind"):
        if not getattr(region, field):
            yield f"{path}.{field}: is missing"
    if region.hub_kind and region.hub_kind == region.store_kind:
        yield f"{path}.store_kind: must differ from hub_kind"
    if not 1 <= len(region.gateways) <= MAX_GATEWAYS:
        yield f"{path}.gateways: there are {len(region.gateways)}, expected 1 to {MAX_GATEWAYS}"
    for index, gateway in enumerate(region.gateways):
        yield from _gateway_errors(f"{path}.gateways[{index}]", gateway, unique)


def _gateway_errors(path: str, gateway: Gateway, unique: _UniqueValues) -> Iterator[str]:
    yield from unique.name_errors(f"{path}.name", gateway.name)
    yield from unique.address_errors(f"{path}.links", gateway.links)
    for field in ("clients", "places"):
        if text := getattr(gateway, field):
            yield from unique.address_errors(f"{path}.{field}", text)
    if gateway.reached_at:
        yield from _address_errors(f"{path}.reached_at", gateway.reached_at)


def _routes_errors(deployment: Deployment) -> Iterator[str]:
    region_names = {region.name for region in deployment.regions}
    for index, route in enumerate(deployment.routes):
        yield from _route_errors(f"routes[{index}]", route, region_names)


def _route_errors(path: str, route: Route, region_names: set[str]) -> Iterator[str]:
    if route.region not in region_names:
        yield f"{path}.region: no region is named {route.region!r}"
    if route.HasField("first_group") != route.HasField("last_group"):
        yield f"{path}: first_group and last_group must be given together"
    elif route.first_group > route.last_group or route.last_group > MAX_GROUP:
        yield f"{path}: groups {route.first_group} to {route.last_group} are not a range in 0 to {MAX_GROUP}"
    if not OBJECT_PREFIX_PATTERN.fullmatch(route.prefix):
        yield f"{path}.prefix: {route.prefix!r} is not a string of at most 16 lower-case hex digits"


def _profiles_errors(deployment: Deployment) -> Iterator[str]:
    if not 1 <= len(deployment.profiles) <= MAX_PROFILES:
        yield f"profiles: there are {len(deployment.profiles)}, expected 1 to {MAX_PROFILES}"
    unique = _UniqueValues()
    for index, profile in enumerate(deployment.profiles):
        yield from _profile_errors(f"profiles[{index}]", profile, unique)


def _profile_errors(path: str, profile: Profile, unique: _UniqueValues) -> Iterator[str]:
    yield from unique.name_errors(f"{path}.name", profile.name)
    for field, bounds in PROFILE_BOUNDS.items():
        yield from _bounds_errors(f"{path}.{field}", getattr(profile, field), bounds)
    if profile.agreed_ms > profile.client_timeout_ms:
        yield f"{path}.agreed_ms: {profile.agreed_ms:g} is greater than client_timeout_ms"
    if profile.repeat == profile.RECEIPTED and not profile.window_ms:
        yield f"{path}.window_ms: is missing, but required for repeat RECEIPTED"
