"""All processes of a scale run: discovery, control nodes, lightweight and real fronts, status watch."""

from __future__ import annotations

import os
import shutil
import time
from contextlib import ExitStack
from dataclasses import dataclass

import gevent

from benchmarks.processes import new_folder

from .control_plane import ControlPlane, free_ports
from .messages.common import Collect
from .messages.discovery import PublishCaches, PublishPurge
from .messages.real_fronts import (
    BeginLoad,
    FinishLoad,
    OriginPurge,
    PurgeTime,
    RealFrontsReady,
    RealFrontsReport,
    RealFrontsUsage,
)
from .population import Population
from .sweep import cache_list
from .topology import REGIONS, lightweight_names, node_addresses, settings_text
from .window import ServerSample
from .worker import Worker, memory_of


@dataclass(frozen=True, slots=True)
class RunSize:
    """The size of a run.

    Attributes:
        front_counts: Rising numbers of lightweight fronts to measure; the last is twice the one before it.
        real_fronts: Real fronts that are connected to the control plane.
        reference_fronts: Real fronts under the same load without any control traffic.
        control_nodes: Control nodes.
        hosts: Processes that run lightweight fronts.
        directory_entries: Entries of each lightweight front's directory.
        caches: Listed caches in addition to those of the real fronts.
        purges_per_s: Rate of purges, measured at all numbers of fronts.
        other_purges_per_s: Other rates, measured at all numbers of fronts but the last.
        window_s: Seconds of each measured window.
        catch_up_s: Seconds before a window in which fronts that were just started catch up.
        requests_per_s: Requests a second at each real front.
        time_limit_s: Seconds for the run; a fault is skipped if the run could not end in this time.
    """

    front_counts: tuple[int, ...]
    real_fronts: int
    reference_fronts: int
    control_nodes: int
    hosts: int
    directory_entries: int
    caches: int
    purges_per_s: float
    other_purges_per_s: tuple[float, ...]
    window_s: float
    catch_up_s: float
    requests_per_s: float
    time_limit_s: float

    @property
    def final_front_count(self) -> int:
        """The number of lightweight fronts at the end of the run."""
        return self.front_counts[-1]


@dataclass(frozen=True, slots=True)
class RealFrontsSample:
    """Counters of the real fronts with and without control, at one monotonic time in seconds."""

    at: float
    controlled: RealFrontsUsage
    reference: RealFrontsUsage


class Deployment:
    """The processes of a run.

    Attributes:
        discovery: Worker with the discovery services of all regions.
        plane: The control nodes.
        real: Worker with the real fronts that are connected to the control plane.
        reference: Worker with the real fronts without control traffic.
        watch: Worker that polls the control plane's status.
        population: The lightweight fronts.
        listed_caches: Number of caches in the list that the discovery services publish.
        peak_processes: Greatest number of processes at once.
        peak_memory_bytes: Greatest sum of the resident bytes of all processes.
    """

    def __init__(self, scale: RunSize, seed: int) -> None:
        self.scale, self.seed, self.folder = scale, seed, new_folder()
        self.peak_processes = self.peak_memory_bytes = 0
        self.workers: list[Worker] = []
        self._shutdown_failures: list[str] = []
        self._started = ExitStack()  # ends processes and removes files in reverse order of their start
        self._started.callback(shutil.rmtree, self.folder, ignore_errors=True)
        self._started.callback(self._stop_workers)

    def build(self) -> None:
        """Start all processes except lightweight fronts, and wait until they are ready."""
        scale = self.scale
        self.discovery = self._start_worker("discovery_host", *REGIONS)
        hosts = [Worker("lightweight_host") for _ in range(scale.hosts)]
        addresses = self.discovery.wait_until_ready().addresses
        nodes = node_addresses(scale.control_nodes, free_ports(2 * scale.control_nodes))
        path = self.folder / "control.textproto"
        real_names = [f"f{number}" for number in range(scale.real_fronts)]
        path.write_text(settings_text(addresses, nodes, scale.final_front_count, real_names))
        self.plane = ControlPlane(path, nodes)
        self._started.callback(self._close_plane)
        self.real = self._start_real_host(scale.real_fronts, str(path))
        self.reference = self._start_real_host(scale.reference_fronts, "-")
        self.watch = self._start_worker("status_watch", str(path))
        self.population = Population(hosts, addresses, str(path))
        self._started.callback(self.population.close)
        servers = self.real.wait_until_ready().servers
        self.reference.wait_until_ready()
        self.watch.wait_until_ready()
        self.listed_caches = len(servers) + scale.caches
        self.discovery.execute(PublishCaches(servers + cache_list(scale.caches)))
        self.plane.wait_until_ready()

    def _start_worker(self, module: str, *arguments: str) -> Worker:
        worker = Worker(module, *arguments)
        self.workers.append(worker)
        return worker

    def _start_real_host(self, count: int, control: str) -> Worker:
        return self._start_worker(
            "real_host", str(count), str(self.seed), str(self.scale.requests_per_s), control
        )

    def begin_load(self) -> list[int]:
        """Start the clients of the real fronts; return some of the objects that they request."""
        ready = self.real.request(BeginLoad(), RealFrontsReady)
        self.reference.request(BeginLoad(), RealFrontsReady)
        return [int(object_id, 16) for object_id in ready.objects]

    def finish_load(self) -> list[RealFrontsReport]:
        """End the clients and the real fronts; return the reports of both workers."""
        jobs = [
            gevent.spawn(worker.request, FinishLoad(), RealFrontsReport)
            for worker in (self.real, self.reference)
        ]
        return [job.get() for job in jobs]

    def grow(self, count: int) -> None:
        """Start lightweight fronts until `count` of them run."""
        more = {
            region: [name for name in names if name not in self.population.current]
            for region, names in lightweight_names(count).items()
        }
        self.population.start(more, self.scale.directory_entries, self.listed_caches)

    def purge_at_origin(self, object_id: int, group: int) -> int:
        """Have the origin issue new versions; return the Unix ms up to which it issued the old ones."""
        return self.real.request(OriginPurge(object_id, group), PurgeTime).unix_ms

    def publish(self, purge: PublishPurge) -> None:
        """Publish a purge at every discovery service."""
        self.discovery.execute(purge)
        self.real.execute(purge)

    def sample_nodes(self) -> ServerSample:
        """Return the counters of the control nodes; bytes are the mean of all nodes."""
        received = sum(front.received for report in self.population.collect() for front in report.traffic)
        return ServerSample(self.plane.cpu(), self.plane.memory(), received / len(self.plane.nodes))

    def sample_real_fronts(self) -> RealFrontsSample:
        """Return the counters of the real fronts."""
        return RealFrontsSample(
            time.monotonic(),
            self.real.request(Collect(), RealFrontsUsage),
            self.reference.request(Collect(), RealFrontsUsage),
        )

    def update_peaks(self) -> None:
        """Update the greatest number of processes and their greatest total memory."""
        sample = self.sample_real_fronts()
        pids = [
            os.getpid(),
            *(worker.pid for worker in self.workers),
            *self.population.pids,
            *self.plane.pids,
            *sample.controlled.pids,
            *sample.reference.pids,
        ]
        self.peak_processes = max(self.peak_processes, len(pids))
        self.peak_memory_bytes = max(self.peak_memory_bytes, sum(map(memory_of, pids)))

    def close(self) -> list[str]:
        """End every process and remove the files; return failures at the shutdown of control nodes."""
        self._started.close()
        return self._shutdown_failures

    def _close_plane(self) -> None:
        self._shutdown_failures += self.plane.close()

    def _stop_workers(self) -> None:
        gevent.joinall([gevent.spawn(worker.stop) for worker in self.workers])
