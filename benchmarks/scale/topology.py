"""The deployment that the scale run simulates: regions, zones, control nodes and front names; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

REGION_ZONES = {"east": 4, "west": 4, "north": 3}  # number of zones by region
REGIONS = tuple(REGION_ZONES)
REAL_REGION = "east"  # region of the real fronts
DEPLOYMENT = "scale"
PURGE_DEADLINE_MS = 2600
CONFIGURATION_DEADLINE_MS = 5000
CATCH_UP_BYTES_PER_S = 6144


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Location and listening addresses of a control node."""

    name: str
    region: str
    zone: str
    address: tuple[str, int]
    quorum_address: tuple[str, int]


def node_addresses(count: int, ports: list[int]) -> list[NodeAddresses]:
    """Return `count` control nodes spread over the regions and their zones; each takes two ports."""
    nodes = []
    for number in range(count):
        region = REGIONS[number % len(REGIONS)]
        zone = f"{region}-{number // len(REGIONS) % REGION_ZONES[region]}"
        address, quorum = (("127.0.0.1", port) for port in ports[2 * number : 2 * number + 2])
        nodes.append(NodeAddresses(f"c{number + 1}", region, zone, address, quorum))
    return nodes


def lightweight_names(count: int) -> dict[str, list[str]]:
    """Return the names of `count` lightweight fronts by region, spread evenly."""
    names: dict[str, list[str]] = {region: [] for region in REGIONS}
    for number in range(count):
        region = REGIONS[number % len(REGIONS)]
        names[region].append(f"{region}-{len(names[region])}")
    return names


def peer_address(name: str) -> str:
    """Return the peer address of a lightweight front; no peer sends messages to it."""
    region, _, number = name.rpartition("-")
    return f"127.{REGIONS.index(region) + 1}.{int(number) // 250}.{int(number) % 250 + 1}:4000"


def peers_up_to(name: str) -> list[str]:
    """Return the peer addresses of a region up to and including the front's own, in the shared order."""
    region, _, number = name.rpartition("-")
    return [peer_address(f"{region}-{other}") for other in range(int(number) + 1)]


def placeholder_address(name: str) -> str:
    """Return an address that replaces the front's in a peer list and belongs to no front."""
    return peer_address(name).replace(":4000", ":4001")


def sort_by_number(names: list[str]) -> list[str]:
    """Return the lightweight fronts of one region, sorted by number."""
    return sorted(names, key=lambda name: int(name.rpartition("-")[2]))


def document_text(base_version: int, region: str, names: list[str], excluded: list[str]) -> str:
    """Return a configuration that lists a region's peers by number, with placeholders for `excluded`."""
    ordered = sort_by_number(names)
    peers = (placeholder_address(name) if name in excluded else peer_address(name) for name in ordered)
    lines = " ".join(f'peer: "{peer}"' for peer in peers)
    return f'deployment: "{DEPLOYMENT}" base_version: {base_version} region {{ name: "{region}" {lines} }}\n'


def settings_text(
    discovery: Mapping[str, str], nodes: list[NodeAddresses], lightweight: int, real_names: list[str]
) -> str:
    """Return the control plane's settings in protobuf text format."""
    lines = [
        f'deployment: "{DEPLOYMENT}"',
        f"purge_deadline_ms: {PURGE_DEADLINE_MS}",
        f"configuration_deadline_ms: {CONFIGURATION_DEADLINE_MS}",
        f"catch_up_bytes_per_s: {CATCH_UP_BYTES_PER_S}",
    ]
    for region, names in lightweight_names(lightweight).items():
        fronts = [f'front: "{region}-[0-{len(names) - 1}]"'] if names else []
        fronts += [f'front: "{name}"' for name in real_names if region == REAL_REGION]
        lines.append(f'region {{ name: "{region}" discovery: "{discovery[region]}" {" ".join(fronts)} }}')
    lines += [
        f'node {{ name: "{node.name}" region: "{node.region}" zone: "{node.zone}" '
        f'address: "{_host_port(node.address)}" quorum_address: "{_host_port(node.quorum_address)}" }}'
        for node in nodes
    ]
    return "\n".join(lines) + "\n"


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
