"""Worker process that runs real fronts under load, with stand-ins for caches and clients.

The clients check every response. Arguments: number of fronts, seed, requests a second at each front, and the
settings file of the control plane or "-".
"""

from __future__ import annotations

import os
import shutil
import sys

import gevent

from benchmarks.fleet_load import FleetLoad, broken_rules
from benchmarks.processes import new_folder, now
from benchmarks.purge_expectations import PurgeExpectations
from marbleglade.testing.front_fleet import FrontFleet

from .messages.common import Collect, Ready, ServerEntry
from .messages.discovery import PublishPurge
from .messages.real_fronts import (
    BeginLoad,
    FinishLoad,
    OriginPurge,
    PurgeTime,
    RealFrontsReady,
    RealFrontsReport,
    RealFrontsUsage,
)
from .worker import cpu_of, memory_of, serve

OBJECT_COUNT = 200  # objects that the clients request
CACHE_PURGE_DELAY_S = 2.0  # until the caches drop a purged object or group
PURGE_DEADLINE_S = 2.6  # time after a purge from which no older version may be served
PURGEABLE_OBJECTS = 40  # objects reported to the scale run, which purges them


class RealHost:
    """Real fronts, stand-ins for all servers that they connect to, and clients."""

    def __init__(self, count: int, seed: int, rate: float, control: str) -> None:
        self.count, self.seed, self.rate = count, seed, rate
        self.folder, self.purges = new_folder(), PurgeExpectations()
        self.load: FleetLoad | None = None
        self.finished = False
        if control != "-":
            os.environ["MARBLEGLADE_CONTROL"] = control
        self.fleet = FrontFleet(count, self.folder, seed, cooperating=False)
        self.names = [f"f{number}" for number in range(count)]

    def handle(self, command: object) -> object | None:
        """Execute one command; return the reply, or None if it has no result."""
        match command:
            case BeginLoad():
                return self.begin_load()
            case OriginPurge(object_id, group):
                return PurgeTime(self.fleet.object_store.purge(object_id, group))
            case PublishPurge():
                self.purge(command)
            case Collect():
                pids = [process.pid for process in self.fleet.processes.values()]
                return RealFrontsUsage([cpu_of(pid) for pid in pids], [memory_of(pid) for pid in pids], pids)
            case FinishLoad():
                return self.finish_load()
            case _:
                raise ValueError(f"unknown command: {command!r}")
        return None

    def begin_load(self) -> RealFrontsReady:
        """Wait until the fronts are ready and start the clients."""
        self.fleet.wait_until_ready()
        self.load = FleetLoad(self.fleet, self.seed, [self.rate] * self.count, OBJECT_COUNT)
        objects = sorted({self.load.object_for(number) for number in range(4 * PURGEABLE_OBJECTS)})
        return RealFrontsReady([f"{object_id:x}" for object_id in objects[:PURGEABLE_OBJECTS]])

    def purge(self, command: PublishPurge) -> None:
        """Publish a purge at the fronts' own discovery services; the caches apply it later."""
        deadline = now() + PURGE_DEADLINE_S
        self.purges.add(command.object, command.group, False, now(), dict.fromkeys(self.names, deadline))
        self.fleet.for_each_discovery_service(
            lambda service: service.purge(command.object, command.group, command.unix_ms)
        )
        gevent.spawn_later(CACHE_PURGE_DELAY_S, self._purge_caches, command)

    def _purge_caches(self, command: PublishPurge) -> None:
        for cache in (*self.fleet.caches, *self.fleet.parents):
            cache.cache.drop_purged(command.object, command.group, command.unix_ms)

    def close(self) -> None:
        """Stop the fronts unless `FinishLoad` has done so."""
        if not self.finished:
            self.fleet.close()
            shutil.rmtree(self.folder, ignore_errors=True)

    def finish_load(self) -> RealFrontsReport:
        """Stop the clients and the fronts, and check every response."""
        if self.load is None:
            raise ValueError("FinishLoad was received before BeginLoad")
        self.finished = True
        broken, results = self.load.finish(), self.load.results
        self.purges.check(results)
        shutdown_failures = self.fleet.close()
        rules = broken_rules(self.fleet, results, broken, shutdown_failures)
        shutil.rmtree(self.folder, ignore_errors=True)
        records = results.records
        return RealFrontsReport(
            len(records),
            sum(record.served for record in records) / len(records) if records else 0.0,
            rules["lost"],
            rules["doubled"] + rules["double_effects"],
            rules["stale"],
            [*shutdown_failures, *results.notes][:20],
        )


def server_entries(fleet: FrontFleet, zone: str) -> list[ServerEntry]:
    """Return the fleet's caches, parents and origin as entries of the discovery protocol."""
    return [
        {
            "id": upstream.id,
            "addr": ":".join(map(str, upstream.address)),
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": "active",
            "weight": 1,
            "started_ms": 0,
        }
        for upstream, kind in fleet.upstreams
    ]


if __name__ == "__main__":
    from marbleglade.testing.front_settings import ZONE

    count, seed, rate, control = sys.argv[1:]
    host = RealHost(int(count), int(seed), float(rate), control)
    serve(Ready(servers=server_entries(host.fleet, ZONE)), host.handle)
    host.close()
