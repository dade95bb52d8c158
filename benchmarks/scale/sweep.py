"""Sweeps over fronts, purges a second, directory entries and caches without a control plane."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass

import gevent

from .messages.common import ServerEntry
from .messages.discovery import PublishCaches, QueryService, ServiceReport, SilenceFollowers
from .points import Point, Setting
from .population import Population
from .purging import PurgeIssuer
from .window import ServerSample, Window
from .worker import Worker

REGION = "east"
FULL_DIRECTORY = 8192  # greatest number of entries in a front's directory
EMPTY_DIRECTORY = 0
CACHES = 78
PURGES_PER_S = 12.0
DEADLINE_US = 2_600_000
SILENT_ONE_IN = 4  # one in so many followers gets no data during a silence
SILENT_WINDOW_S = 8.0

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class SweepPlan:
    """The settings to measure.

    The number of fronts is varied with empty directories, which add no cost for each front. Directory
    entries, at all rates of purges, and caches are varied at `fixed_fronts` fronts.
    """

    fronts: tuple[int, ...]
    purges: tuple[float, ...]
    directories: tuple[int, ...]
    caches: tuple[int, ...]
    fixed_fronts: int
    window_s: float  # duration of each point
    hosts: int


FULL_SWEEP = SweepPlan((50, 200, 730), (3.0, 24.0), (2048, FULL_DIRECTORY), (20, 156), 40, 6.0, 8)


def cache_list(count: int, zone: str = "far") -> list[ServerEntry]:
    """Return endpoint list entries of caches that no front connects to."""
    return [
        {
            "id": f"cache{number}",
            "addr": f"127.0.0.1:{20000 + number}",
            "zone": zone,
            "kind": "box",
            "cell": 0,
            "state": "active",
            "weight": 1,
            "started_ms": 0,
        }
        for number in range(count)
    ]


class DiscoveryBench:
    """A discovery service, lightweight fronts that watch it, and an issuer of purges."""

    def __init__(self, seed: int, hosts: int, directory: int, caches: int) -> None:
        self.directory, self.caches = directory, caches
        self.names: list[str] = []
        self.service = Worker("discovery_host", REGION)
        workers = [Worker("lightweight_host") for _ in range(hosts)]
        self.population = Population(workers, self.service.wait_until_ready().addresses)
        self.issuer = PurgeIssuer(seed, directory, self.service.execute)
        self.window = Window(self.population, self.issuer, self.sample, DEADLINE_US, "discovery")
        self.service.execute(PublishCaches(cache_list(caches)))

    def sample(self) -> ServerSample:
        """Return the counters of the discovery service."""
        report = self.service.request(QueryService(), ServiceReport)
        return ServerSample({REGION: report.cpu_s}, report.memory_bytes, report.bytes_out)

    def grow(self, fronts: int) -> None:
        """Start fronts until `fronts` of them run."""
        more = [f"h{number}" for number in range(len(self.names), fronts)]
        self.names += more
        self.population.start({REGION: more}, self.directory, self.caches)

    def measure(self, sweep: str, purges: float, seconds: float) -> Point:
        """Measure one point with the present number of fronts."""
        setting = Setting(len(self.names), purges, self.directory, self.caches)
        return self.window.measure(sweep, setting, seconds)

    def close(self) -> None:
        """Stop all processes."""
        self.issuer.close()
        self.population.close()
        self.service.stop()


def run(plan: SweepPlan, seed: int, progress: Progress) -> list[Point]:
    """Measure every point of the plan."""
    points: list[Point] = []

    def record(point: Point) -> None:
        points.append(point)
        progress(describe(point))

    with closing(DiscoveryBench(seed, plan.hosts, EMPTY_DIRECTORY, CACHES)) as bench:
        for fronts in plan.fronts:
            bench.grow(fronts)
            for purges in (PURGES_PER_S, *plan.purges):
                record(bench.measure("fronts", purges, plan.window_s))
        for reconnections in (0, 1):
            record(measure_silence(bench, reconnections))
    varied = [("directory", one, CACHES) for one in plan.directories]
    varied += [("caches", EMPTY_DIRECTORY, one) for one in plan.caches]
    for sweep, directory, caches in varied:
        with closing(DiscoveryBench(seed, plan.hosts, directory, caches)) as bench:
            bench.grow(plan.fixed_fronts)
            for purges in (PURGES_PER_S, *plan.purges) if sweep == "directory" else (PURGES_PER_S,):
                record(bench.measure(sweep, purges, plan.window_s))
    return points


def measure_silence(bench: DiscoveryBench, reconnections: int) -> Point:
    """Measure while the discovery service sends nothing to one in `SILENT_ONE_IN` followers.

    If `reconnections` is 1, as many of the following new connections are silent too.
    """
    silent = len(bench.names) // SILENT_ONE_IN
    command = SilenceFollowers(REGION, SILENT_ONE_IN, reconnections * silent)
    gevent.spawn_later(1.0, bench.service.execute, command)
    point = bench.measure(f"silence_{reconnections}", PURGES_PER_S, SILENT_WINDOW_S)
    bench.service.execute(SilenceFollowers(REGION, 0))
    return point


def describe(point: Point) -> str:
    """Return a point as one line of text."""
    worst = point.purge_everywhere_s_worst
    took = "-" if worst is None else f"{worst:.3f} s"
    return (
        f"{point.sweep}: {point.fronts} fronts, {point.purges_per_s:g} purges/s, "
        f"directory {point.directory}, {point.caches} caches: worst {took} "
        f"(timers late by {point.host_late_s_worst:.2f} s), front {point.front_cpu:.5f} core, "
        f"{point.front_bytes_in_per_s:.0f} B/s in, {point.front_bytes_out_per_s:.1f} out, "
        f"{point.front_memory_bytes / 1e6:.1f} MB; server {point.server_cpu:.3f} core; "
        f"missed {point.missed_purges}, stale {point.stale}"
    )
