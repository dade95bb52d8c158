"""The system under test: stand-ins of the regions, gateways, fronts, and the clients' connections."""

from __future__ import annotations

import json
import shutil
import signal
from collections.abc import Sequence
from functools import partial
from typing import TypeVar

import gevent

from benchmarks.processes import ProgramProcess, new_folder, now
from benchmarks.request_stream import ClientPool
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.capacity_model import WarmUpLimit
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.front_settings import front_configuration, regional_front_settings
from marbleglade.testing.object_store import RegionClock, hashed_fraction
from marbleglade.testing.regions import REQUEST_CLASSES, GatewayAddresses, StandInRegion, StandInRegions
from marbleglade.testing.sockets import LOOPBACK_HOST, free_port
from marbleglade.testing.tcp_proxy import TcpProxy

RULES = {"Cold": 2000.0, "ColdFrom": 0.2, "Fall": 500.0, "OverloadFactor": 3.0}
DEPLOYMENT = """
rules { cold_ms: 2000 cold_share: 0.2 cold_factor: 3 fall_ms: 500 heard_ratio: 2 }
limits { pace: 2e7 width: 20 }
link { beat_ms: 60 silent_ms: 300 %s}
"""
WITHOUT_JOURNAL = "book: false "
WARM_UP = WarmUpLimit(0.2, 2.0, 3.0, 0.5, 160.0)
EFFECT_SECONDS = 0.05
PAGE_FRESHNESS_MS = 5000
MAX_CLOCK_ERROR_MS, MAX_DRIFT_PPM = 5_000, 300
READY_TIMEOUT_S, RESTART_TIMEOUT_S = 20, 5
EAST_OBJECT, WEST_OBJECT = 1 << 40, 0xF << 60 | 1 << 40  # an arbitrary object of each region
Value = TypeVar("Value")
Outage = list[float]  # start and end in monotonic seconds; the end is infinity while the outage lasts


class Draws:
    """Random choices of a run, reproducible from its seed."""

    def __init__(self, seed: int) -> None:
        self._seed, self._count = seed, 0

    def draw(self) -> float:
        """Return the next random number in [0, 1)."""
        self._count += 1
        return hashed_fraction(self._seed, "play", self._count)

    def choose(self, values: Sequence[Value]) -> Value:
        """Return one of the values at random."""
        return values[int(self.draw() * len(values))]


class World:
    """All processes, stand-ins and client connections of a run.

    Args:
        seed: Seed of the clocks and of the clients.
        draws: The run's random choices.

    Attributes:
        clock_error_ms: Error of the west's clock in milliseconds.
        without_journal: Addresses of the gateways without a request journal, by region.
        processes: Gateways and fronts by name.
        outages: Outages by name of the process.
        pools: Client connections by target.
        edges: Caches in the east whose parents are the east's gateways.
        direct_proxies: Proxies to the west's upstreams, for the front that uses no gateway.
    """

    def __init__(self, seed: int, draws: Draws) -> None:
        self._seed, self._draws, self.folder = seed, draws, new_folder()
        self.clock_error_ms = (draws.draw() - 0.5) * 2 * MAX_CLOCK_ERROR_MS
        clocks = (self._clock(0), self._clock(self.clock_error_ms))
        self.regions = StandInRegions(DEPLOYMENT % "", clocks=clocks, warm_up=WARM_UP, cache_count=3)
        self.east, self.west = self.regions.both
        for region in self.regions.both:
            for cache in region.caches:
                cache.effect_seconds = EFFECT_SECONDS
        self.without_journal = {
            region.name: GatewayAddresses(f"{region.name}-b", 2) for region in self.regions.both
        }
        self.processes: dict[str, ProgramProcess] = {}
        self.outages: dict[str, list[Outage]] = {}
        self.pools: dict[str, ClientPool] = {}
        self._start_gateways()
        self._start_edge_front()
        self._start_front("plain", self.east.discovery_service, "hubs", ["hub", "none", "store"])
        self._start_direct_front()
        self._connect_to_gateways()

    def _clock(self, error_ms: float) -> RegionClock:
        return RegionClock(error_ms, (self._draws.draw() - 0.5) * 2 * MAX_DRIFT_PPM)

    def _start_gateways(self) -> None:
        path = self.folder / "gateways.textproto"
        path.write_text(self.regions.deployment_text())
        other_path = self.folder / "no-book.textproto"
        regions = [one.deployment_text(self.without_journal[one.name]) for one in self.regions.both]
        deployment = self.regions.routes + REQUEST_CLASSES + DEPLOYMENT % WITHOUT_JOURNAL
        other_path.write_text("".join(regions) + deployment)
        for region in self.regions.both:
            for name in region.gateways:
                self._start(name, ["gateway", "--deployment", str(path), "--name", name], region)
            for name in self.without_journal[region.name].gateways:
                self._start(name, ["gateway", "--deployment", str(other_path), "--name", name], region)

    def _start(
        self, name: str, arguments: list[str], region: StandInRegion, environ: dict[str, str] | None = None
    ) -> None:
        self.processes[name] = ProgramProcess(name, arguments, self.folder, region.clock, environ)
        self.outages[name] = []

    def _connect(self, name: str, region: str, port: int, seed: int) -> None:
        was_up = partial(self.was_up, name)
        self.pools[name] = ClientPool(name, region, (LOOPBACK_HOST, port), self._seed + seed, was_up)

    def _connect_to_gateways(self) -> None:
        seed = 100
        for region in self.regions.both:
            for addresses in (region.gateway_addresses, self.without_journal[region.name]):
                for name, ports in addresses.ports.items():
                    seed += 1
                    self._connect(name, region.name, ports[0], seed)

    def _start_front(self, name: str, discovery: DiscoveryService, zone: str, kinds: list[str]) -> None:
        port = free_port()
        configuration = front_configuration(
            name,
            (LOOPBACK_HOST, port),
            discovery.address,
            regional_front_settings(zone, kinds, RULES),
            f"{self._seed & 0xFFFF:x}",
            descriptors=1024,
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        self._start(name, [], self.east, {"GW_CONFIG": str(path)})
        self._connect(name, "east", port, len(self.pools))

    def _start_edge_front(self) -> None:
        """Start the front that clients normally use: its caches have the east's gateways as parents."""
        self.edges = [StandInUpstream(f"edge{number}", clock=self.east.clock) for number in range(2)]
        self.front_discovery = DiscoveryService("z")
        gateways = {name: (LOOPBACK_HOST, ports[1]) for name, ports in self.east.ports.items()}
        for edge in self.edges:
            edge.sources = dict(gateways)
            edge.freshness_ms = {"menu-pages": PAGE_FRESHNESS_MS}
        self.front_discovery.announce([(edge, "box") for edge in self.edges], full_list=True)
        for name, address in gateways.items():
            self.front_discovery.announce_address(name, address, "gateway")
        self._start_front("front", self.front_discovery, "z", ["box", "gateway", "store"])

    def _start_direct_front(self) -> None:
        """Start a front that connects to the west's upstreams through proxies, without a gateway."""
        upstreams = (*self.west.caches, self.west.origin)
        self.direct_proxies = [TcpProxy(upstream.address) for upstream in upstreams]
        self.direct_discovery = DiscoveryService("hubs")
        for number, (upstream, proxy) in enumerate(zip(upstreams, self.direct_proxies, strict=True)):
            kind = "store" if upstream is self.west.origin else "hub"
            self.direct_discovery.announce_address(upstream.id, proxy.address, kind, full_list=not number)
        self._start_front("reach", self.direct_discovery, "hubs", ["hub", "none", "store"])

    def was_up(self, name: str, start: float, end: float) -> bool:
        """Return whether a process was up and not shutting down from `start` to `end`."""
        return not any(begin <= end and start <= over for begin, over in self.outages[name])

    def wait_until_ready(self) -> None:
        """Wait until each target serves an object, and the caches have warmed up.

        Targets in the east, except "plain", must serve an object of the west.
        """
        with gevent.Timeout(READY_TIMEOUT_S):
            for name, pool in self.pools.items():
                is_remote = pool.region == "east" and name != "plain"
                while not _answers(pool, WEST_OBJECT if is_remote else EAST_OBJECT):
                    gevent.sleep(0.05)
        gevent.sleep(WARM_UP.duration_seconds)  # all caches started at the same time

    def proxies_of(self, region: str) -> list[TcpProxy]:
        """Return the proxies in front of all gateways of a region, with and without a request journal."""
        own = self.east if region == "east" else self.west
        return [*own.proxies.values(), *self.without_journal[region].proxies.values()]

    def all_proxies(self) -> list[TcpProxy]:
        """Return the proxies of all connections between the regions."""
        return [*self.proxies_of("east"), *self.proxies_of("west"), *self.direct_proxies]

    def stop_process(self, name: str, signal_number: int = signal.SIGKILL) -> Outage:
        """Make a process log its counters, then send it the signal; return the outage that starts now."""
        outage = [now(), float("inf")]
        self.outages[name].append(outage)
        self.processes[name].signal(signal.SIGUSR1)
        gevent.sleep(0.03)
        self.processes[name].signal(signal_number)
        return outage

    def restart_process(self, name: str, outage: Outage) -> None:
        """Start a process again once it has ended, wait until it accepts connections, and end the outage."""
        process = self.processes[name]
        while process.is_running():
            gevent.sleep(0.02)
        process.start()
        client = None
        with gevent.Timeout(RESTART_TIMEOUT_S, False):
            while client is None:
                gevent.sleep(0.02)
                client = self.pools[name].next_client()
        outage[1] = now()

    def announce_to_direct_front(
        self, cache: StandInUpstream, state: str = "active", started_ms: int = 0
    ) -> None:
        """Announce a cache of the west to the front that uses no gateway."""
        proxy = self.direct_proxies[self.west.caches.index(cache)]
        self.direct_discovery.announce_address(
            cache.id, proxy.address, "hub", state=state, started_ms=started_ms
        )

    def restart_cache(self, cache: StandInUpstream) -> None:
        """Restart a cache of the west empty, and announce it in both discovery services that list it."""
        self.west.restart_cache(cache)
        self.announce_to_direct_front(cache, started_ms=cache.started_ms())

    def close(self, keep_folder: bool) -> None:
        """End all processes, and close all connections and stand-ins."""
        for process in self.processes.values():
            if process.is_running():
                process.kill()
        for pool in self.pools.values():
            pool.close()
        for edge in self.edges:
            edge.close()
        others = [proxy for one in self.without_journal.values() for proxy in one.proxies.values()]
        for proxy in (*self.direct_proxies, *others):
            proxy.close()
        self.front_discovery.close()
        self.direct_discovery.close()
        self.regions.close()
        if not keep_folder:
            shutil.rmtree(self.folder, ignore_errors=True)


def _answers(pool: ClientPool, object_id: int) -> bool:
    client = pool.next_client()
    response = client.request("menu-pages", object_id, 0, 0, 400) if client else None
    return response is not None and response.status == "ok"
