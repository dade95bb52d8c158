"""The window that holds a setting for some seconds and measures a point."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from .checkers import everywhere_seconds, missed_purges, stale_copies
from .latency import summarize
from .points import Point, Setting
from .population import HostSample, Population, now_us
from .purging import PurgeIssuer

SETTLE_TIMEOUT = 8.0  # seconds within which what was issued is to arrive
POLL_INTERVAL = 0.25  # seconds


@dataclass(slots=True)
class ServerSample:
    """Counters of the discovery services or of the control nodes; `cpu_s` by name."""

    cpu_s: dict[str, float]
    memory_bytes: int
    bytes_out: int


class Window:
    """Holds a setting for some seconds and measures."""

    def __init__(
        self,
        population: Population,
        issuer: PurgeIssuer,
        servers: Callable[[], ServerSample],
        deadline_us: int,
        mode: str,
    ) -> None:
        self.population, self.issuer, self.servers = population, issuer, servers
        self.deadline_us, self.mode = deadline_us, mode

    def measure(self, sweep: str, setting: Setting, seconds: float) -> Point:
        """Purges at the setting's rate for so many seconds, then waits until all have arrived."""
        hosts, servers, begin_us = self.population.sample(), self.servers(), now_us()
        self.population.late_s = 0.0
        self.issuer.rate = setting.purges_per_s
        gevent.sleep(seconds)
        self.issuer.rate = 0
        end_us, hosts_after, servers_after = now_us(), self.population.sample(), self.servers()
        issued = self.issuer.between(begin_us, end_us)
        self.settle(issued)
        population, took = self.population, (end_us - begin_us) / 1e6
        population.collect(copies=True)
        latency = summarize(
            everywhere_seconds(issued, population.index, population.lives, self.deadline_us).values()
        )
        received, sent, worst = _traffic(hosts, hosts_after, took)
        count = len(received) or 1
        cpu = sum(b.cpu_s - a.cpu_s for a, b in zip(hosts, hosts_after, strict=True))
        return Point(
            sweep,
            self.mode,
            setting.fronts,
            setting.purges_per_s,
            setting.directory,
            setting.caches,
            round(took, 3),
            len(issued),
            latency.p50,
            latency.p99,
            latency.worst,
            cpu / took / count,
            (sum(one.memory_bytes for one in hosts_after) - population.empty_bytes) / count,
            sum(received.values()) / count,
            sum(sent.values()) / count,
            worst,
            max(servers_after.cpu_s[name] - before for name, before in servers.cpu_s.items()) / took,
            (servers_after.bytes_out - servers.bytes_out) / took,
            servers_after.memory_bytes,
            population.late_s,
            missed_purges(issued, population.index, population.lives).count,
            stale_copies(
                population.copies, population.copies_at_us, issued, [], population.lives, self.deadline_us
            ).count,
        )

    def settle(self, issued: list) -> float:
        """Waits until every running front has applied all of these; gives the seconds that it waited."""
        began_us = now_us()
        while now_us() - began_us < SETTLE_TIMEOUT * 1e6:
            self.population.collect()
            if not missed_purges(issued, self.population.index, self.population.lives).count:
                break
            gevent.sleep(POLL_INTERVAL)
        return (now_us() - began_us) / 1e6


def _traffic(
    before: list[HostSample], after: list[HostSample], seconds: float
) -> tuple[dict[str, float], dict[str, float], float]:
    """Bytes a second received and sent by each front, and those of the front with most."""
    received, sent = {}, {}
    for first, last in zip(before, after, strict=True):
        for front, total in last.received.items():
            received[front] = (total - first.received.get(front, 0)) / seconds
            sent[front] = (last.sent[front] - first.sent.get(front, 0)) / seconds
    return received, sent, max((received[one] + sent[one] for one in received), default=0.0)
