"""The lightweight fronts of a scale run: their hosts, their incarnations and their reports."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import gevent

from .checkers import AppliedIndex, Disconnection, FrontIncarnation
from .messages.common import Collect
from .messages.fronts import CachedVersion, CutFronts, HealFronts, HostReport, StartFronts, StopFronts
from .worker import Worker, memory_of

START_TIMEOUT_S = 40.0  # until all started fronts have the list of caches
POLL_INTERVAL_S = 0.2  # between reports while fronts start


class PopulationError(Exception):
    """Fronts did not receive the list of caches in time."""


@dataclass(slots=True)
class HostSample:
    """Counters of one host at one time; `received` and `sent` are bytes by front."""

    cpu_s: float
    memory_bytes: int
    received: dict[str, int]
    sent: dict[str, int]


def now_us() -> int:
    """Return the time in Unix microseconds."""
    return time.time_ns() // 1000


class Population:
    """All lightweight fronts, spread evenly over the hosts.

    Args:
        workers: The workers that host the fronts; they may still be starting.
        discovery: Address of the discovery service ("host:port") by region.
        control: Path of the control plane's settings; empty: there is no control plane.

    Attributes:
        index: Times at which fronts applied purges, from all reports so far.
        current: The present incarnation of each running front, by name.
        incarnations: Every incarnation of every front.
        idle_memory_bytes: Memory of the hosts before they run fronts.
        late_s: Greatest lateness of a timer in any host since the field was last set to 0.
        faults: Counters of errors that must not occur, by name, for each host.
    """

    def __init__(self, workers: list[Worker], discovery: dict[str, str], control: str = "") -> None:
        self.workers = workers
        self.discovery, self.control = discovery, control
        self.host_of: dict[str, int] = {}
        self.region_of: dict[str, str] = {}
        self.current: dict[str, FrontIncarnation] = {}
        self.incarnations: list[FrontIncarnation] = []
        self.index = AppliedIndex([])
        self.faults: dict[int, dict[str, int]] = {}
        self.cached_versions: list[CachedVersion] = []
        self.cached_at_us = 0
        self.late_s = 0.0
        for worker in self.workers:
            worker.wait_until_ready()
        self.idle_memory_bytes = sum(memory_of(worker.pid) for worker in self.workers)

    @property
    def pids(self) -> list[int]:
        """Process ids of the hosts."""
        return [worker.pid for worker in self.workers]

    def start(self, names_by_region: dict[str, list[str]], directory: int, caches: int) -> None:
        """Start fronts and wait until each has received `caches` caches. Raises `PopulationError`."""
        names = [name for part in names_by_region.values() for name in part]
        for region, part in names_by_region.items():
            for name in part:
                self.host_of.setdefault(name, len(self.host_of) % len(self.workers))
                self.region_of[name] = region
        began_us = now_us()
        for region, part in names_by_region.items():
            self._execute_on_hosts(part, partial(self._start_command, region, directory))
        waiting, end = set(names), time.monotonic() + START_TIMEOUT_S
        starts: dict[str, int] = {}
        while waiting and time.monotonic() < end:
            gevent.sleep(POLL_INTERVAL_S)
            for report in self.collect():
                for state in report.fronts:
                    if (
                        state.front in waiting
                        and state.caches >= caches
                        and state.start_ms * 1000 >= began_us - 1000
                    ):
                        waiting.discard(state.front)
                        starts[state.front] = state.start_ms
        if waiting:
            counted = dict(self.error_counts())
            raise PopulationError(
                f"{len(waiting)} fronts, such as {min(waiting)}, did not receive the list of caches in time: "
                f"{counted}"
            )
        connected_us = now_us()
        for name, start_ms in starts.items():
            self.current[name] = FrontIncarnation(name, start_ms, connected_us)
            self.incarnations.append(self.current[name])

    def _start_command(self, region: str, directory: int, names: list[str]) -> StartFronts:
        return StartFronts(names, self.discovery[region], self.control, directory)

    def stop(self, names: list[str], graceful: bool) -> None:
        """Stop fronts; if `graceful`, they leave the control plane first."""
        stopped_us = now_us()
        for name in names:
            self.current.pop(name).end_us = stopped_us
        self._execute_on_hosts(names, lambda part: StopFronts(part, graceful))

    def cut(self, names: list[str]) -> None:
        """Close the connections of fronts and refuse new ones."""
        began_us = now_us()
        for name in names:
            self.current[name].disconnections.append(Disconnection(began_us, 1 << 62))
        self._execute_on_hosts(names, CutFronts)

    def heal(self, names: list[str]) -> None:
        """Allow fronts that were cut off to connect again."""
        self._execute_on_hosts(names, HealFronts)
        healed_us = now_us()
        for name in names:
            cut = self.current[name].disconnections[-1]
            self.current[name].disconnections[-1] = Disconnection(cut.begin_us, healed_us)

    def collect(self, with_cached_versions: bool = False) -> list[HostReport]:
        """Request a report from every host, process it and return all reports."""
        command = Collect(with_cached_versions)
        jobs = [gevent.spawn(worker.request, command, HostReport) for worker in self.workers]
        gevent.joinall(jobs)
        reports: list[HostReport] = [job.get() for job in jobs]
        for number, report in enumerate(reports):
            self.late_s = max(self.late_s, report.late_s)
            for record in report.applied:
                self.index.add(record)
            self.faults[number] = report.faults
        if with_cached_versions:
            self.cached_versions = [copy for report in reports for copy in report.cached_versions]
            self.cached_at_us = now_us()
        return reports

    def sample(self) -> list[HostSample]:
        """Return the present counters of all hosts."""
        return [
            HostSample(
                report.cpu_s,
                report.memory_bytes,
                {front.front: front.received for front in report.traffic},
                {front.front: front.sent for front in report.traffic},
            )
            for report in self.collect()
        ]

    def error_counts(self) -> Counter[str]:
        """Return the counters of errors that must not occur, summed over all hosts."""
        return sum((Counter(counts) for counts in self.faults.values()), Counter())

    def close(self) -> None:
        """Stop the hosts."""
        gevent.joinall([gevent.spawn(worker.stop) for worker in self.workers])

    def _execute_on_hosts(self, names: list[str], command: Callable[[list[str]], object]) -> None:
        """Execute the command on each host for its share of the fronts, in parallel."""
        parts: dict[int, list[str]] = {}
        for name in names:
            parts.setdefault(self.host_of[name], []).append(name)
        jobs = [
            gevent.spawn(self.workers[host].execute, command(part), START_TIMEOUT_S)
            for host, part in parts.items()
        ]
        gevent.joinall(jobs)
        for job in jobs:
            job.get()
