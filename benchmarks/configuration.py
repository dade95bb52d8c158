"""Latency of a configuration version: `python -m benchmarks.configuration [--nodes N] [--count N]`.

Starts control nodes as processes on loopback and the control client of one front in this process, and
proposes versions of a typical size one after the other. For comparison it also measures the alternatives that
were considered: a single node with a synced file, and quorums of up to all fronts, whose messages are counted
without a network. The only output is one JSON object; times are in milliseconds.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent

from marbleglade.control import settings as control_settings
from marbleglade.control.configuration.proposer import Proposer
from marbleglade.control.configuration.reconfiguration import (
    ActiveConfiguration,
    ConfigurationTarget,
    Configurator,
)
from marbleglade.control.front_client.client import ControlClient
from marbleglade.control.quorum.codec import encode
from marbleglade.control.quorum.effects import Effect, Send
from marbleglade.control.quorum.messages import ProposalAccepted
from marbleglade.control.quorum.replica import Replica, Role
from marbleglade.control.quorum.replica_driver import HEARTBEAT_INTERVAL_NS
from marbleglade.control.quorum.state import DurableState
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.sockets import free_port

PEER_COUNT = 250  # peer addresses of a region, which make up most of a document
START_TIMEOUT = 30.0  # seconds
QUORUM_SIZES = (3, 5, 8, 50, 200, 730)  # sizes of the quorums whose messages are counted
LOOPBACK_HOST = "127.0.0.1"


def document_text(base_version: int) -> str:
    """Return a configuration document of a typical size, which differs for each base version."""
    peers = " ".join(f'peer: "10.0.{number // 250}.{number % 250 + 1}:7000"' for number in range(PEER_COUNT))
    discovery = f"{LOOPBACK_HOST}:{9000 + base_version % 1000}"
    return (
        f'deployment: "bench" base_version: {base_version} '
        f'region {{ name: "east" discovery: "{discovery}" }} region {{ name: "west" {peers} }}'
    )


class ConfiguredFront:
    """The control client of a front without the front; records when each version was applied."""

    def __init__(self, settings: control_settings.ControlSettings) -> None:
        address = (LOOPBACK_HOST, 1)
        target = ConfigurationTarget(
            lambda: ActiveConfiguration(address, (), None), None, self._ignore, self._ignore
        )
        self.configurator = Configurator(settings, "east", target)
        self.applied_at: dict[int, float] = {}
        guard = ErrorGuard(
            counters := Counters(), Log("bench", counters, sink=os.open(os.devnull, os.O_WRONLY))
        )
        client = ControlClient(settings, "east-1", time.time_ns() // 1_000_000, self, guard)
        self.greenlet = gevent.spawn(client.run)

    def _ignore(self, *_values: object) -> None:
        pass

    apply = withdraw = limit_cache_age = _ignore

    def configure(self, version: int, text: str) -> None:
        """Apply a version, and record the time."""
        self.configurator.configure(version, text)
        self.applied_at[version] = time.perf_counter()

    def wait_until_applied(self, version: int) -> float:
        """Wait until a version is applied; return the time in seconds of `time.perf_counter`."""
        with gevent.Timeout(START_TIMEOUT):
            while version not in self.applied_at:
                gevent.sleep(0.001)
        return self.applied_at[version]


class NodeProcesses:
    """Control nodes that run as processes, with their settings, stores and logs in one directory."""

    def __init__(self, folder: Path, count: int, discovery: tuple[str, int]) -> None:
        self.settings_file = folder / "control.textproto"
        names = [f"c{number}" for number in range(count)]
        regions = "\n".join(
            f'region {{ name: "{name}" discovery: "{LOOPBACK_HOST}:{discovery[1]}" front: "{name}-1" }}'
            for name in ("east", "west")
        )
        nodes = "\n".join(
            f'node {{ name: "{name}" region: "east" zone: "{name}" address: "{LOOPBACK_HOST}:{free_port()}" '
            f'quorum_address: "{LOOPBACK_HOST}:{free_port()}" }}'
            for name in names
        )
        self.settings_file.write_text(f'deployment: "bench"\n{regions}\n{nodes}\n')
        self.processes = []
        for name in names:
            arguments = [
                "control",
                "run",
                str(self.settings_file),
                "--name",
                name,
                "--store",
                str(folder / name),
            ]
            with (folder / f"{name}.log").open("wb") as log:
                command = [sys.executable, "-O", "-m", "marbleglade", *arguments]
                self.processes.append(subprocess.Popen(command, stderr=log))

    def close(self) -> None:
        """Kill all processes, and wait until they have ended."""
        for process in self.processes:
            process.kill()
            process.wait()


def version_ms(count: int, versions: int) -> tuple[list[float], list[float]]:
    """Return the ms until each proposal is accepted, and until a front applies it, with `count` nodes."""
    accepted, applied = [], []
    discovery_service = DiscoveryService()
    discovery_service.announce_address("box", (LOOPBACK_HOST, 9), "box", full_list=True, started_ms=1)
    with tempfile.TemporaryDirectory() as folder:
        nodes = NodeProcesses(Path(folder), count, discovery_service.address)
        try:
            settings = control_settings.read(str(nodes.settings_file))
            front = ConfiguredFront(settings)
            for version in range(versions + 1):
                began, ended = _propose(settings, version)
                accepted.append((ended - began) * 1e3)
                applied.append((front.wait_until_applied(version + 1) - began) * 1e3)
            front.greenlet.kill()
        finally:
            nodes.close()
            discovery_service.close()
    return accepted[1:], applied[1:]  # the first version also waits until the nodes have started


def _propose(settings: control_settings.ControlSettings, base_version: int) -> tuple[float, float]:
    text = document_text(base_version)
    began = time.perf_counter()
    verdict = Proposer(settings, text, START_TIMEOUT).run()
    assert isinstance(verdict, ProposalAccepted), verdict
    return began, time.perf_counter()


def file_ms(versions: int) -> list[float]:
    """Return the times (ms) of a single primary node, which writes, syncs and renames a file per version."""
    times = []
    with tempfile.TemporaryDirectory() as folder:
        for version in range(versions):
            text = document_text(version).encode()
            began = time.perf_counter()
            with open(f"{folder}/new", "wb") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            os.replace(f"{folder}/new", f"{folder}/now")
            directory = os.open(folder, os.O_RDONLY)
            os.fsync(directory)
            os.close(directory)
            times.append((time.perf_counter() - began) * 1e3)
    return times


class CountedQuorum:
    """Replicas in one process; counts the messages and bytes of a version and of a second of heartbeats."""

    def __init__(self, count: int) -> None:
        names = tuple(f"c{number}" for number in range(count))
        self.replicas = {
            name: Replica(name, names, DurableState(name, voter=True), HEARTBEAT_INTERVAL_NS, 0)
            for name in names
        }
        self.leader = self.replicas[names[0]]
        self.now = 0
        while self.leader.role is not Role.LEADER:
            self.now += HEARTBEAT_INTERVAL_NS
            self.deliver(names[0], self.leader.tick(self.now))

    def deliver(self, sender: str, effects: list[Effect]) -> tuple[int, int]:
        """Deliver messages until no further ones follow; return the number of messages and bytes."""
        queue = [(sender, effect) for effect in effects]
        messages = size = 0
        while queue:
            sender, effect = queue.pop(0)
            if isinstance(effect, Send):
                messages += 1
                size += len(encode(effect.message))
                answers = self.replicas[effect.recipient].receive(sender, effect.message, self.now)
                queue += [(effect.recipient, answer) for answer in answers]
        return messages, size

    def count_proposal(self) -> tuple[int, int]:
        """Return the messages and bytes until a proposal is chosen and all replicas have learned it."""
        return self.deliver(self.leader.name, self.leader.propose(1, 0, "p", document_text(0)))

    def count_heartbeats(self) -> tuple[int, int]:
        """Return the messages and bytes of the heartbeats in one second."""
        totals = [0, 0]
        for _ in range(1_000_000_000 // HEARTBEAT_INTERVAL_NS):
            self.now += HEARTBEAT_INTERVAL_NS
            messages, size = self.deliver(self.leader.name, self.leader.tick(self.now))
            totals = [totals[0] + messages, totals[1] + size]
        return totals[0], totals[1]


def summary(times: list[float]) -> dict[str, float]:
    """Return the median and the maximum in milliseconds, and the number of values."""
    return {"median": round(statistics.median(times), 2), "worst": round(max(times), 2), "count": len(times)}


def main() -> None:
    """Run the benchmark from the command line, and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, nargs="*", default=[3, 5])
    parser.add_argument("--count", type=int, default=100, help="number of versions (default 100)")
    options = parser.parse_args()
    result: dict[str, object] = {
        "document_bytes": len(document_text(0)),
        "file_ms": summary(file_ms(options.count)),
    }
    for count in options.nodes:
        accepted, applied = version_ms(count, options.count)
        result[f"accepted_ms_{count}"] = summary(accepted)
        result[f"in_force_ms_{count}"] = summary(applied)
    for count in QUORUM_SIZES:
        quorum = CountedQuorum(count)
        version, second = quorum.count_proposal(), quorum.count_heartbeats()
        result[f"messages_{count}"] = {
            "a_version": version[0],
            "bytes_a_version": version[1],
            "a_second": second[0],
            "bytes_a_second": second[1],
        }
    result["load_average"] = os.getloadavg()[0]
    print(json.dumps(result))


if __name__ == "__main__":
    main()
