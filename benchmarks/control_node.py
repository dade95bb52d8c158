"""Cost of one control node: `python -m benchmarks.control_node [--watchers N] [--seconds S] [--plain]`.

Runs a control node in one process, watchers that stand in for all fronts in another, and a stand-in of the
discovery service in this process, on loopback. The only output is one JSON object. With --plain there is no
node: the watchers follow the stand-in discovery service directly, and this process is measured.
"""

from __future__ import annotations

import argparse
import json
import os
import time
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from shutil import rmtree

import gevent

from benchmarks.control_watchers import WatcherProcess
from benchmarks.processes import UnwrappedProcess, memory_of, new_folder, processor_time_of
from marbleglade.control.settings import read
from marbleglade.control.status.query import query_all
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.sockets import free_port

PURGES_PER_S = 12
CACHES = 78
WARM_UP_S = 3.0  # wait after the last watcher has connected
NODE_START_TIMEOUT_S = 20
BYTES_PER_MB = 1e6


class MissingStatusError(RuntimeError):
    """The control node did not return its status."""


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values; `fraction` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@dataclass(frozen=True, slots=True)
class DistributionFigures:
    """Figures of the distribution of purges to watchers; the fields are keys of the printed JSON object.

    Attributes:
        core_share: Processor time of the node, or of the discovery service, as a share of a core.
        stand_in_core_share: Processor time of the watchers' process, as a share of a core.
        memory_mb: Resident memory of the node, or of the discovery service, in megabytes.
        bytes_per_s_in_mean: Mean receive rate of a watcher.
        bytes_per_s_in_worst: Highest receive rate of a watcher.
        bytes_per_s_out_mean: Mean send rate of a watcher.
        to_last_watcher_ms_p99: 99th percentile of the time from the publication of a purge until the last
            watcher has received it.
    """

    purges: int
    core_share: float
    stand_in_core_share: float
    memory_mb: float
    bytes_per_s_in_mean: int
    bytes_per_s_in_worst: int
    bytes_per_s_out_mean: int
    to_last_watcher_ms_p99: float
    to_last_watcher_ms_worst: float


@dataclass(frozen=True, slots=True)
class ConfirmationFigures:
    """Acknowledgements of purges as the status of the node shows them.

    Attributes:
        confirmed: Number of purges that every front acknowledged.
        acknowledged_ms_p99: 99th percentile of the time from the receipt of a purge by the node until each
            connected front has acknowledged it.
        acknowledged_ms_worst: The same time for the slowest purge.
    """

    confirmed: int
    acknowledged_ms_p99: float
    acknowledged_ms_worst: float

    def printed(self) -> dict[str, float]:
        """Return the figures by the keys of the printed JSON object."""
        return {
            "confirmed": self.confirmed,
            "last_word_ms_p99": self.acknowledged_ms_p99,
            "last_word_ms_worst": self.acknowledged_ms_worst,
        }


def measure(watchers: int, seconds: float, plain: bool) -> dict[str, object]:
    """Measure one run; return the figures.

    Args:
        watchers: Number of watchers.
        seconds: Length of the measurement.
        plain: Whether the watchers follow the stand-in discovery service directly, without a node.
    """
    with ExitStack() as stack:
        discovery = _start_discovery_service()
        stack.callback(discovery.close)
        folder = new_folder()
        stack.callback(rmtree, folder, ignore_errors=True)
        settings_path, port, measured = folder / "control.textproto", discovery.address[1], os.getpid()
        if not plain:
            port = free_port()
            settings_path.write_text(_settings_text(discovery, watchers, port))
            node = UnwrappedProcess("c1", ["control", "run", str(settings_path), "--name", "c1"], folder)
            stack.callback(node.stop)
            measured = node.running.pid
            _wait_until_current(settings_path)
        stand_in = WatcherProcess(port, watchers, plain)
        stack.callback(stand_in.close)
        gevent.sleep(WARM_UP_S)
        figures: dict[str, object] = {"watchers": watchers, "plain": plain, "seconds": seconds}
        figures |= asdict(_measure_distribution(discovery, stand_in, measured, seconds))
        if not plain:
            figures |= _confirmation_figures(settings_path).printed()
        return figures


def _start_discovery_service() -> DiscoveryService:
    discovery = DiscoveryService()
    discovery.announce_address("cache-0", ("127.0.0.1", 8000), "edge", full_list=True)
    for number in range(1, CACHES):
        discovery.announce_address(f"cache-{number}", ("127.0.0.1", 8000 + number), "edge")
    return discovery


def _settings_text(discovery: DiscoveryService, watchers: int, port: int) -> str:
    return (
        f'deployment: "bench" region {{ name: "r" discovery: "127.0.0.1:{discovery.address[1]}" '
        f'front: "f[1-{watchers}]" }}\n'
        f'node {{ name: "c1" region: "r" zone: "z" address: "127.0.0.1:{port}" '
        f'quorum_address: "127.0.0.1:{free_port()}" }}\n'
    )


def _wait_until_current(settings_path: Path) -> None:
    settings = read(str(settings_path))
    with gevent.Timeout(NODE_START_TIMEOUT_S):
        while not ((status := query_all(settings, 1.0)[0].status) and status.current):
            gevent.sleep(0.05)


def _confirmation_figures(settings_path: Path) -> ConfirmationFigures:
    answer = query_all(read(str(settings_path)), 5.0)[0]
    if answer.status is None:
        raise MissingStatusError(f"control node {answer.name} returned no status: {answer.error}")
    purges = [purge for purge in answer.status.purges if purge.live]
    latencies_ms: list[float] = [purge.acknowledgements.connected_latency_ms for purge in purges]
    return ConfirmationFigures(
        confirmed=sum(not purge.missing_fronts for purge in purges),
        acknowledged_ms_p99=percentile(latencies_ms, 0.99),
        acknowledged_ms_worst=max(latencies_ms),
    )


def _publish_purges(discovery: DiscoveryService, seconds: float) -> dict[int, float]:
    """Publish purges for `seconds`; return the Unix seconds of each publication by the purge's Unix ms."""
    published: dict[int, float] = {}
    began = time.monotonic()
    while (elapsed := time.monotonic() - began) < seconds:
        if elapsed * PURGES_PER_S > len(published):
            unix_ms = time.time_ns() // 1_000_000
            published[unix_ms] = time.time()
            discovery.purge(unix_ms, 0, unix_ms)
        gevent.sleep(0.002)
    return published


def _measure_distribution(
    discovery: DiscoveryService, stand_in: WatcherProcess, measured: int, seconds: float
) -> DistributionFigures:
    """Measure while purges are published; `measured` is the process id of the node or discovery service."""
    before, began = stand_in.report(), time.monotonic()
    server_before, stand_in_before = processor_time_of(measured), processor_time_of(stand_in.pid)
    published = _publish_purges(discovery, seconds)
    duration = time.monotonic() - began
    server_s = processor_time_of(measured) - server_before
    stand_in_s = processor_time_of(stand_in.pid) - stand_in_before
    gevent.sleep(1.0)
    after = stand_in.report()
    arrivals = dict(after.arrivals)
    delays_ms = [1000 * (arrivals[unix_ms] - at) for unix_ms, at in published.items()]
    received = _rates(before.bytes_in, after.bytes_in, duration + 1)
    sent = _rates(before.bytes_out, after.bytes_out, duration + 1)
    return DistributionFigures(
        purges=len(published),
        core_share=round(server_s / duration, 4),
        stand_in_core_share=round(stand_in_s / duration, 4),
        memory_mb=round(memory_of(measured) / BYTES_PER_MB, 1),
        bytes_per_s_in_mean=round(sum(received) / len(received)),
        bytes_per_s_in_worst=round(max(received)),
        bytes_per_s_out_mean=round(sum(sent) / len(sent)),
        to_last_watcher_ms_p99=round(percentile(delays_ms, 0.99), 1),
        to_last_watcher_ms_worst=round(max(delays_ms), 1),
    )


def _rates(before: list[int], after: list[int], seconds: float) -> list[float]:
    return [(late - early) / seconds for early, late in zip(before, after, strict=True)]


def main() -> None:
    """Run the benchmark from the command line, and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--watchers", type=int, default=730)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--plain", action="store_true")
    options = parser.parse_args()
    print(json.dumps(measure(options.watchers, options.seconds, options.plain)))


if __name__ == "__main__":
    main()
