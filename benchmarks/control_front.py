"""Cost of the control plane for one front: `python -m benchmarks.control_front [--seconds N] [--purges N]`.

Runs two fronts at the same time, each in its own process and without requests. One follows a stand-in of the
discovery service that sends no events; the other follows two scripted control nodes that send the same
purges. The cost is the difference of their processor time and memory; bytes are counted at the nodes. All
connections are on loopback. The only output is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import gevent

from marbleglade.testing.control_node import StandInControlNode
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.front_settings import front_configuration, front_settings
from marbleglade.testing.sockets import free_port

WARM_UP_S = 3.0  # time to start, connect and receive the first endpoint list
SECOND_NODE_LAG_S = 0.02  # delay after which the second node sends the same purge
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
CACHES = 78  # entries of the endpoint list


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time of a process since its start, and its resident memory in MiB."""

    cpu_seconds: float
    memory_mb: float


class ByteCountingNode(StandInControlNode):
    """A scripted control node that counts the bytes on the connections of the front."""

    written = 0

    def broadcast(self, data: bytes) -> None:
        """Write data to all connections, and count its bytes."""
        self.written += len(data) * len(self.sockets)
        super().broadcast(data)

    @property
    def received(self) -> int:
        """Number of bytes that the front has sent."""
        return sum(len(line) + 1 for line in self.received_lines)


def usage(process: subprocess.Popen[bytes]) -> Usage:
    """Return the processor time and memory of a process."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process.pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage((int(fields[11]) + int(fields[12])) / CLOCK_TICKS, int(resident.split()[1]) / 1024)


def endpoint_list() -> list[dict[str, object]]:
    """Return the endpoint list that the discovery service and the nodes send."""
    return [
        {
            "id": f"k{number}",
            "addr": "127.0.0.1:9",
            "zone": "z",
            "kind": "box",
            "cell": 0,
            "state": "active",
            "started_ms": 1,
        }
        for number in range(CACHES)
    ]


def start_front(
    path: Path, name: str, discovery_service: DiscoveryService, control: str
) -> subprocess.Popen[bytes]:
    """Start a front; `control` is the path of its control plane settings, or empty for no control plane."""
    first = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": endpoint_list()}}
    text = front_configuration(
        name,
        ("127.0.0.1", free_port()),
        discovery_service.address,
        front_settings(1),
        "8c1f30d27a5be964",
        [json.dumps(first).encode()],
        descriptors=300,
    )
    file = path / f"{name}.json"
    file.write_text(json.dumps(text))
    environ = {key: value for key, value in os.environ.items() if key != "MARBLEGLADE_CONTROL"}
    environ |= {"GW_CONFIG": str(file)} | ({"MARBLEGLADE_CONTROL": control} if control else {})
    with (path / f"{name}.log").open("wb") as log:
        command = [sys.executable, "-O", "-m", "marbleglade"]
        return subprocess.Popen(command, stderr=log, env=environ)


def write_settings(path: Path, nodes: list[ByteCountingNode], discovery_service: DiscoveryService) -> str:
    """Write control plane settings that contain the front "on"; return their path."""
    discovery = ":".join(map(str, discovery_service.address))
    lines = [
        'deployment: "d"',
        f'region {{ name: "east" discovery: "{discovery}" front: "on" }}',
        *(
            f'node {{ name: "{node.name}" region: "east" zone: "{node.name}" '
            f'address: "127.0.0.1:{node.address[1]}" quorum_address: "127.0.0.1:{free_port()}" }}'
            for node in nodes
        ),
    ]
    (path / "control.textproto").write_text("\n".join(lines))
    return str(path / "control.textproto")


def publish_purges(nodes: list[ByteCountingNode], per_second: float, seconds: float) -> int:
    """Publish purges at a rate, each by both nodes; return the number of purges."""
    began, count = time.monotonic(), 0
    while time.monotonic() - began < seconds:
        count += 1
        unix_ms = time.time_ns() // 1_000_000
        nodes[count % 2].purge(count, 0, unix_ms)
        gevent.sleep(SECOND_NODE_LAG_S)
        nodes[1 - count % 2].purge(count, 0, unix_ms)
        gevent.sleep(max(0.0, began + count / per_second - time.monotonic()))
    return count


def measure(path: Path, per_second: float, seconds: float) -> dict[str, float]:
    """Measure one run; return the figures by the keys of the printed JSON object."""
    discovery_service = DiscoveryService()
    nodes = [ByteCountingNode(f"c{number}", "d", f"s{number}") for number in (1, 2)]
    for node in nodes:
        node.announce(endpoint_list(), full_list=True)
    control = write_settings(path, nodes, discovery_service)
    discovery_service.event_lines.append(b"")  # occupies index 1, that of the list in the fronts' files
    fronts = [
        start_front(path, "off", discovery_service, ""),
        start_front(path, "on", discovery_service, control),
    ]
    try:
        gevent.sleep(WARM_UP_S)
        before = [usage(process) for process in fronts]
        bytes_before = sum(node.written + node.received for node in nodes)
        count = publish_purges(nodes, per_second, seconds)
        after = [usage(process) for process in fronts]
        traffic = sum(node.written + node.received for node in nodes) - bytes_before
        confirmed = min(max(_applied(node), default=0) for node in nodes)
    finally:
        for process in fronts:
            process.kill()
            process.wait()
        for node in nodes:
            node.close()
        discovery_service.close()
    off, on = ((b.cpu_seconds - a.cpu_seconds) / seconds for a, b in zip(before, after, strict=True))
    return {
        "purges": count,
        "confirmed": confirmed - 1,
        "cpu_share_off": round(off, 5),
        "cpu_share_on": round(on, 5),
        "cpu_share_control": round(on - off, 5),
        "memory_mb_control": round(after[1].memory_mb - after[0].memory_mb, 2),
        "bytes_per_s": round(traffic / seconds, 1),
    }


def _applied(node: ByteCountingNode) -> list[int]:
    return [int(line.split()[1]) for line in node.received_lines if line.startswith("applied ")]


def main() -> None:
    """Run the benchmark from the command line, and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--purges", type=float, default=12.0, help="purges per second (default 12)")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as path:
        print(json.dumps(measure(Path(path), options.purges, options.seconds)))


if __name__ == "__main__":
    main()
