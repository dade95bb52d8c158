"""Worker process: many lightweight fronts, each with its own connections."""

from __future__ import annotations

import gc
import os
import time
from collections import Counter
from collections.abc import Callable

import gevent

from benchmarks.scale.front_sockets import FrontSockets, install
from benchmarks.scale.lightweight_front import LightweightFront, discard, shared_settings
from benchmarks.scale.messages.common import Collect, Ready
from benchmarks.scale.messages.fronts import (
    AppliedPurge,
    CachedVersion,
    CutFronts,
    FrontState,
    FrontTraffic,
    HealFronts,
    HostReport,
    StartFronts,
    StopFronts,
)
from benchmarks.scale.worker import cpu_of, memory_of, serve
from marbleglade.control.front_client import connection
from marbleglade.control.front_client.client import ControlClient
from marbleglade.control.settings import ControlSettings
from marbleglade.model.watch_event import EndpointListChange, Purge
from marbleglade.runtime.addresses import parse_address
from marbleglade.service.control_wiring import ControlledFront, make_client, read_settings
from marbleglade.transport import discovery_watch
from marbleglade.transport.discovery_watch import WatchClient
from marbleglade.transport.event_sequence import WatchCallbacks

TIMER_INTERVAL_S = 0.05  # of the timer whose lateness is measured
REFRESH_INTERVAL_S = 1.0  # between two fills of the local caches
FAULT_PREFIXES = ("exception.", "violated_invariant.")  # counters of what must not happen


class RunningFront:
    """A lightweight front with its watch client and the sockets of that."""

    def __init__(
        self, front: LightweightFront, command: StartFronts, control: ControlSettings | None
    ) -> None:
        self.front = front
        self.sockets = FrontSockets()
        self.control: ControlClient | None = None
        follower = WatchClient(
            parse_address(command.discovery),
            0,
            WatchCallbacks(self._handle_discovery_event, self._handle_discovery_heartbeat),
            front.guard,
            accept_index_restart=True,
        )
        runs = [follower.run]
        if control:
            self.control = make_client(
                control,
                ControlledFront(
                    name=front.name,
                    known_events=(),
                    handler=front.handler,
                    driver=front.driver,
                    discovery_watch=follower,
                    peers=front.peers,
                    maintenance=None,
                    guard=front.guard,
                ),
            )
            runs.append(self.control.run)
        self.greenlets = [gevent.spawn(self._owned, run) for run in runs]

    def _handle_discovery_event(self, event: EndpointListChange | Purge) -> None:
        if self.control:
            self.control.handle_discovery_event(event)
        else:
            self.front.events.apply_and_publish(event)

    def _handle_discovery_heartbeat(self, complete: bool) -> None:
        if self.control and complete:
            self.control.handle_discovery_caught_up()

    def _owned(self, run: Callable[[], None]) -> None:
        self.sockets.own()
        self.front.guard.call("front", run)

    def state(self) -> FrontState:
        """Its start, the caches that it knows, its configuration version."""
        caches = len(self.front.upstreams.by_id)
        version = self.control.status()["version"] if self.control else 0
        if not isinstance(version, int):
            raise TypeError(f"no configuration version: {version!r}")
        return FrontState(self.front.name, self.front.start_ms, caches, version)

    def stop(self, graceful: bool) -> None:
        """End it; `graceful`: announce it to the control nodes first."""
        if graceful and self.control:
            self.control.leave()
        gevent.killall(self.greenlets, block=False)
        self.sockets.cut()


class LightweightHost:
    """Carries out the scale run's commands at the fronts of this process."""

    def __init__(self) -> None:
        self.environment, self.sink = shared_settings(), discard()
        self.fronts: dict[str, RunningFront] = {}
        self.applied_by_stopped: list[AppliedPurge] = []
        self.faults: Counter[str] = Counter()
        self.late_s = 0.0
        gevent.spawn(self._refresh)
        gevent.spawn(self._watch_lateness)

    def _refresh(self) -> None:
        while True:
            gevent.sleep(REFRESH_INTERVAL_S)
            for running in list(self.fronts.values()):
                running.front.refresh_cache()
                gevent.sleep(0)

    def _watch_lateness(self) -> None:
        while True:
            began = time.monotonic()
            gevent.sleep(TIMER_INTERVAL_S)
            self.late_s = max(self.late_s, time.monotonic() - began - TIMER_INTERVAL_S)

    def handle(self, command: object) -> object | None:
        """Carry out one command; return the reply."""
        match command:
            case StartFronts():
                self.start(command)
            case StopFronts(names, graceful):
                for name in names:
                    self.stop(name, graceful)
            case CutFronts(names):
                for name in names:
                    self.fronts[name].sockets.cut()
            case HealFronts(names):
                for name in names:
                    self.fronts[name].sockets.heal()
            case Collect(with_cached_versions):
                return self.report(with_cached_versions)
            case _:
                raise ValueError(f"unknown command: {command!r}")
        return None

    def start(self, command: StartFronts) -> None:
        """Start fronts."""
        control = read_settings(command.control, command.names[0]) if command.control else None
        for name in command.names:
            front = LightweightFront(name, self.environment, self.sink)
            front.fill_directory(command.directory_entries)
            self.fronts[name] = RunningFront(front, command, control)
            gc.freeze()  # a full garbage collection over all fronts would delay every other greenlet
            gevent.sleep(0)

    def stop(self, name: str, graceful: bool) -> None:
        """End a front; what it applied is reported with the next report."""
        running = self.fronts.pop(name)
        running.stop(graceful)
        self.applied_by_stopped += running.front.events.drain()
        self._record_faults(running)

    def _record_faults(self, running: RunningFront) -> None:
        counts = running.front.counters.counts
        for name in [one for one in counts if one.startswith(FAULT_PREFIXES)]:
            self.faults[name] += counts.pop(name)

    def report(self, with_cached_versions: bool) -> HostReport:
        """Return what happened since the last report."""
        applied, self.applied_by_stopped = self.applied_by_stopped, []
        traffic: list[FrontTraffic] = []
        states: list[FrontState] = []
        cached: list[CachedVersion] = []
        for name, running in self.fronts.items():
            applied += running.front.events.drain()
            traffic.append(FrontTraffic(name, *running.sockets.totals()))
            states.append(running.state())
            self._record_faults(running)
            if with_cached_versions:
                cached += running.front.cached_versions()
        pid = os.getpid()
        late_s, self.late_s = self.late_s, 0.0
        return HostReport(
            cpu_of(pid), memory_of(pid), late_s, applied, traffic, states, cached, dict(self.faults)
        )


if __name__ == "__main__":
    install(discovery_watch, connection)
    serve(Ready(), LightweightHost().handle)
