"""Measures a point: issues purges at a constant rate for some seconds and waits until fronts apply them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from .checkers import IssuedPurge, missed_purges, purge_latencies_s, stale_versions
from .latency import summarize
from .points import Point, Setting
from .population import HostSample, Population, now_us
from .purging import PurgeIssuer

ARRIVAL_TIMEOUT_S = 8.0  # longest wait until running fronts have applied the issued purges
POLL_INTERVAL_S = 0.25


@dataclass(slots=True)
class ServerSample:
    """Counters of the discovery services or the control nodes; `cpu_s` is by name."""

    cpu_s: dict[str, float]
    memory_bytes: int
    bytes_out: float


class Window:
    """Measures a setting for some seconds.

    Args:
        population: The lightweight fronts.
        issuer: Issues the purges.
        sample_servers: Returns the counters of the discovery services or control nodes.
        deadline_us: Microseconds within which a purge must be applied everywhere.
        mode: What the fronts watch: "discovery" or "control".
    """

    def __init__(
        self,
        population: Population,
        issuer: PurgeIssuer,
        sample_servers: Callable[[], ServerSample],
        deadline_us: int,
        mode: str,
    ) -> None:
        self.population, self.issuer, self.sample_servers = population, issuer, sample_servers
        self.deadline_us, self.mode = deadline_us, mode

    def measure(self, sweep: str, setting: Setting, seconds: float) -> Point:
        """Purge at the setting's rate for `seconds`, wait for the fronts, and return the point."""
        hosts, servers, begin_us = self.population.sample(), self.sample_servers(), now_us()
        self.population.late_s = 0.0
        self.issuer.rate = setting.purges_per_s
        gevent.sleep(seconds)
        self.issuer.rate = 0
        end_us, hosts_after, servers_after = now_us(), self.population.sample(), self.sample_servers()
        late_s = self.population.late_s
        issued = self.issuer.issued_between(begin_us, end_us)
        self.wait_for_purges(issued)
        self.population.collect(with_cached_versions=True)
        point = self._create_point(sweep, setting, issued, (end_us - begin_us) / 1e6)
        point.host_late_s_worst = late_s
        _fill_front(point, self.population.idle_memory_bytes, hosts, hosts_after)
        _fill_server(point, servers, servers_after)
        return point

    def _create_point(self, sweep: str, setting: Setting, issued: list[IssuedPurge], seconds: float) -> Point:
        """Create a point with the results of the purges."""
        population = self.population
        index, incarnations = population.index, population.incarnations
        latency = summarize(purge_latencies_s(issued, index, incarnations, self.deadline_us).values())
        stale = stale_versions(
            population.cached_versions, population.cached_at_us, issued, [], incarnations, self.deadline_us
        )
        return Point(
            sweep,
            self.mode,
            setting.fronts,
            setting.purges_per_s,
            setting.directory,
            setting.caches,
            round(seconds, 3),
            len(issued),
            latency.p50,
            latency.p99,
            latency.worst,
            missed_purges=missed_purges(issued, index, incarnations).count,
            stale=stale.count,
        )

    def wait_for_purges(self, issued: list[IssuedPurge]) -> float:
        """Wait until running fronts have applied these purges, or a timeout; return the seconds waited."""
        began_us = now_us()
        while now_us() - began_us < ARRIVAL_TIMEOUT_S * 1e6:
            self.population.collect()
            if not missed_purges(issued, self.population.index, self.population.incarnations).count:
                break
            gevent.sleep(POLL_INTERVAL_S)
        return (now_us() - began_us) / 1e6


def _fill_front(
    point: Point, idle_memory_bytes: int, before: list[HostSample], after: list[HostSample]
) -> None:
    """Fill in the resource use of a front."""
    received: dict[str, float] = {}
    sent: dict[str, float] = {}
    for first, last in zip(before, after, strict=True):
        for front, total in last.received.items():
            received[front] = (total - first.received.get(front, 0)) / point.seconds
            sent[front] = (last.sent[front] - first.sent.get(front, 0)) / point.seconds
    count = len(received) or 1
    cpu_s = sum(last.cpu_s - first.cpu_s for first, last in zip(before, after, strict=True))
    point.front_cpu = cpu_s / point.seconds / count
    point.front_memory_bytes = (sum(one.memory_bytes for one in after) - idle_memory_bytes) / count
    point.front_bytes_in_per_s = sum(received.values()) / count
    point.front_bytes_out_per_s = sum(sent.values()) / count
    point.front_bytes_per_s_worst = max((received[one] + sent[one] for one in received), default=0.0)


def _fill_server(point: Point, before: ServerSample, after: ServerSample) -> None:
    """Fill in the resource use of the servers."""
    point.server_cpu = max(after.cpu_s[name] - first for name, first in before.cpu_s.items()) / point.seconds
    point.server_bytes_out_per_s = (after.bytes_out - before.bytes_out) / point.seconds
    point.server_memory_bytes = after.memory_bytes
