"""Fleet of real front processes on loopback, with stand-ins for upstreams and discovery services."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent

from .cache_server import StandInUpstream
from .capacity_model import CapacityModel, WarmUpLimit
from .client import Client
from .datagram_proxy import DatagramProxy
from .discovery_service import DiscoveryService
from .front_settings import CACHE_KIND, ORIGIN_KIND, PARENT_KIND, ZONE, front_configuration, front_settings
from .object_store import ObjectStore, RegionClock
from .sockets import address_text, reserve_address

LogEvent = dict[str, Any]  # one decoded line of a front's log
DESCRIPTOR_LIMIT = 600  # open files and sockets of a front
CACHE_CAPACITY = 24  # concurrent requests that a cache serves at full speed
CACHE_SERVICE_SECONDS, ORIGIN_SERVICE_SECONDS = 0.01, 0.02
NON_IDEMPOTENT_CLASS = "orders"
POLL_SECONDS = 0.05
COUNTERS_TIMEOUT_SECONDS = 5
SHUTDOWN_TIMEOUT_SECONDS = 8


class FrontFleet:
    """Fronts with common caches, parents and origin, and one discovery service for each front.

    Args:
        count: Number of fronts.
        folder: Folder for configuration files and logs.
        seed: Seed of the fronts and of the datagram proxy.
        cooperating: Whether the fronts share leadership, quotas and a load view; else each decides alone.
        cache_count: Number of caches.
        parent_count: Number of parents.
        heartbeat_ms: Interval of the fleet's heartbeats.
        warm_up: Load limit of caches and parents during slow start; None for no limit.
        origin_capacity: Capacity of the origin; None for unbounded.
        with_maintenance: Whether the fronts read maintenance plans.
        peer_messages: Whether the fronts have the addresses of their peers and may send datagrams.
        rules: Entries that replace entries of `Rules` in the settings.
        descriptor_limit: Configured limit of open files and sockets of each front.

    Attributes:
        client_addresses: Listen address for clients, by front.
        discovery_services: Discovery service of each front, by front.
        upstreams: Pairs of an upstream and its kind.
        datagram_proxy: Proxy for datagrams between the fronts.
        processes: Running front processes, by front.
        effects: Execution count by body of non-idempotent requests.
    """

    def __init__(
        self,
        count: int,
        folder: Path,
        seed: int,
        cooperating: bool = True,
        cache_count: int = 4,
        parent_count: int = 2,
        heartbeat_ms: int = 300,
        warm_up: WarmUpLimit | None = None,
        origin_capacity: CapacityModel | None = None,
        with_maintenance: bool = False,
        peer_messages: bool = True,
        rules: dict[str, float] | None = None,
        descriptor_limit: int = DESCRIPTOR_LIMIT,
    ) -> None:
        self.count, self.folder, self.seed = count, folder, seed
        self.cooperating, self.with_maintenance, self.peer_messages = (
            cooperating,
            with_maintenance,
            peer_messages,
        )
        self.rules, self.descriptor_limit = rules, descriptor_limit
        self._warm_up = warm_up
        self._start_upstreams(cache_count, parent_count, origin_capacity)
        # The ports stay reserved, so that no other process can bind one while its front is down.
        self._reserved_sockets = [reserve_address() for _ in range(2 * count)]
        addresses = [sock.getsockname() for sock in self._reserved_sockets]
        self.client_addresses = addresses[0::2]
        self.discovery_services = [DiscoveryService(ZONE, address) for address in addresses[1::2]]
        self.datagram_proxy = DatagramProxy(count if peer_messages else 0, seed)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self._start_counts: Counter[int] = Counter()
        (folder / "fleet.textproto").write_text(f"beat_ms: {heartbeat_ms}\n")
        self.for_each_discovery_service(lambda service: service.announce(self.upstreams, full_list=True))
        self.datagram_proxy.release_addresses()
        for number in range(count):
            self.start(number)

    def _start_upstreams(
        self, cache_count: int, parent_count: int, origin_capacity: CapacityModel | None
    ) -> None:
        clock = RegionClock()
        self.effects: Counter[bytes] = Counter()
        self.object_store = ObjectStore("store", clock, lambda _object_id: True)
        self.origin = StandInUpstream(ORIGIN_KIND, self.object_store, effects=self.effects)
        self.origin.capacity_model = origin_capacity
        self.origin.service_seconds = ORIGIN_SERVICE_SECONDS
        self.parents = [self._new_upstream(f"hub{number}") for number in range(parent_count)]
        for parent in self.parents:
            parent.sources, parent.fill_source = {self.origin.id: self.origin}, self.origin.id
        self.caches: list[StandInUpstream] = []
        for _ in range(cache_count):
            self.add_cache()
        self.upstreams = [
            *((cache, CACHE_KIND) for cache in self.caches),
            *((parent, PARENT_KIND) for parent in self.parents),
            (self.origin, ORIGIN_KIND),
        ]

    def _new_upstream(self, id: str) -> StandInUpstream:
        clock = self.origin.clock
        upstream = StandInUpstream(id, clock=clock, warm_up=self._warm_up, effects=self.effects)
        upstream.non_idempotent_classes = {NON_IDEMPOTENT_CLASS}
        return upstream

    def add_cache(self) -> StandInUpstream:
        """Start another cache, which the other caches can use as a fill source, without announcing it."""
        cache = self._new_upstream(f"box{len(self.caches)}")
        cache.capacity_model = CapacityModel(CACHE_CAPACITY)
        cache.service_seconds = CACHE_SERVICE_SECONDS
        cache.sources = {one.id: one for one in (self.origin, *self.parents, *self.caches)}
        for other in self.caches:
            other.sources[cache.id] = cache
        self.caches.append(cache)
        return cache

    def for_each_discovery_service(self, action: Callable[[DiscoveryService], None]) -> None:
        """Call an action with each discovery service."""
        for service in self.discovery_services:
            action(service)

    def start(self, number: int) -> None:
        """Start a front."""
        self._start_counts[number] += 1
        path = self.folder / f"f{number}.json"
        path.write_text(json.dumps(self._configuration(number)))
        environ = os.environ | {"GW_CONFIG": str(path)}
        if self.cooperating:
            environ["MARBLEGLADE_FLEET"] = str(self.folder / "fleet.textproto")
        if self.with_maintenance:
            environ["MARBLEGLADE_WORK"] = str(self.maintenance_plan_path(number))
        command = [sys.executable, "-O", "-m", "marbleglade"]
        with self.log_path(number).open("wb") as log:
            self.processes[number] = subprocess.Popen(command, stderr=log, env=environ)

    def _configuration(self, number: int) -> dict[str, object]:
        service = self.discovery_services[number]
        configuration = front_configuration(
            f"f{number}",
            self.client_addresses[number],
            service.address,
            front_settings(self.count, self.rules, PeerMessages=self.peer_messages),
            f"{self.seed + number:x}",
            service.event_lines,
            descriptors=self.descriptor_limit,
        )
        if self.peer_messages:
            configuration["peer_listen"] = address_text(self.datagram_proxy.front_addresses[number])
            configuration["peers"] = self.datagram_proxy.peer_addresses(number)
        return configuration

    def log_path(self, number: int, start: int = 0) -> Path:
        """Return the log path of one start of a front, counted from 1; 0 selects the latest start."""
        return self.folder / f"f{number}.{start or self._start_counts[number]}.log"

    def maintenance_plan_path(self, number: int) -> Path:
        """Return the path from which a front reads its maintenance plan."""
        return self.folder / f"work{number}.textproto"

    def submit_maintenance_plan(self, number: int, plan: str) -> None:
        """Submit a maintenance plan to a front as operators do: write its file and send SIGHUP."""
        self.maintenance_plan_path(number).write_text(plan)
        self.signal(number, signal.SIGHUP)

    def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Block until all fronts report that they are ready.

        Raises:
            gevent.Timeout: A front was not ready within this time.
        """
        with gevent.Timeout(seconds):
            for number in list(self.processes):
                while not self.is_ready(number):
                    gevent.sleep(POLL_SECONDS)

    def is_ready(self, number: int) -> bool:
        """Return whether a front reports in its STATUS response that it is ready."""
        with suppress(OSError):
            client = Client(self.client_addresses[number])
            response = client.status()
            client.close()
            return response is not None and response.status == "yes"
        return False

    def kill(self, *numbers: int) -> None:
        """Kill fronts and wait until their processes have ended."""
        for number in numbers:
            process = self.processes.pop(number)
            process.kill()
            process.wait()

    def signal(self, number: int, signal_number: int) -> None:
        """Send a signal to a front."""
        self.processes[number].send_signal(signal_number)

    def log_events(self, number: int) -> list[LogEvent]:
        """Return the log events of a front from all of its starts."""
        events = []
        for start in range(1, self._start_counts[number] + 1):
            for line in self.log_path(number, start).read_bytes().splitlines():
                with suppress(ValueError):
                    events.append(json.loads(line))
        return events

    def counters_event(self, number: int) -> LogEvent:
        """Send SIGUSR1, which makes a front log its counters; return that event.

        Raises:
            gevent.Timeout: The front did not log its counters in time.
        """
        count_before = len(self._counters_events(number))
        self.signal(number, signal.SIGUSR1)
        with gevent.Timeout(COUNTERS_TIMEOUT_SECONDS):
            while len(events := self._counters_events(number)) <= count_before:
                gevent.sleep(POLL_SECONDS)
        return events[-1]

    def _counters_events(self, number: int) -> list[LogEvent]:
        return [event for event in self.log_events(number) if event["event"] == "counters"]

    def close(self) -> list[str]:
        """Terminate all front processes and stop all stand-ins.

        Returns:
            Failures of the fronts, found in their exit codes and counters; empty if there were none.
        """
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        faults = {fault for number in self.processes if (fault := self._exit_fault(number))}
        for number in range(self.count):
            for event in self.log_events(number):
                faults |= {
                    f"f{number}: {name}"
                    for name in event.get("counts", ())
                    if name.startswith(("exception.", "violated_invariant."))
                }
        stand_ins = (*self.discovery_services, *self.caches, *self.parents, self.origin, self.datagram_proxy)
        for one in (*stand_ins, *self._reserved_sockets):
            with suppress(OSError):
                one.close()
        return sorted(faults)

    def _exit_fault(self, number: int) -> str:
        process = self.processes[number]
        try:
            status = process.wait(SHUTDOWN_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return f"f{number} did not exit in time after SIGTERM"
        return f"f{number} exited with status {status}, expected 0" if status else ""
