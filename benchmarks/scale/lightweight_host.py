"""Worker process that runs many lightweight fronts, each with its own connections."""

from __future__ import annotations

import gc
import os
import time
from collections import Counter
from collections.abc import Callable

import gevent

from benchmarks.scale.front_sockets import FrontSockets, install
from benchmarks.scale.lightweight_front import LightweightFront, open_log_sink, shared_settings
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

TIMER_INTERVAL_S = 0.05  # interval of the timer whose lateness is measured
REFRESH_INTERVAL_S = 1.0  # between two refreshes of the local caches
FAULT_PREFIXES = ("exception.", "violated_invariant.")  # prefixes of counters of errors that must not occur


class RunningFront:
    """A lightweight front with its watch client, its optional control client, and their sockets."""

    def __init__(
        self, front: LightweightFront, command: StartFronts, control: ControlSettings | None
    ) -> None:
        self.front = front
        self.sockets = FrontSockets()
        self.control: ControlClient | None = None
        watch_client = WatchClient(
            parse_address(command.discovery),
            0,
            WatchCallbacks(self._handle_discovery_event, self._handle_discovery_heartbeat),
            front.guard,
            accept_index_restart=True,
        )
        runs = [watch_client.run]
        if control:
            self.control = make_client(
                control,
                ControlledFront(
                    name=front.name,
                    known_events=(),
                    handler=front.handler,
                    driver=front.driver,
                    discovery_watch=watch_client,
                    peers=front.peers,
                    maintenance=None,
                    guard=front.guard,
                ),
            )
            runs.append(self.control.run)
        self.greenlets = [gevent.spawn(self._run_as_owner, run) for run in runs]

    def _handle_discovery_event(self, event: EndpointListChange | Purge) -> None:
        if self.control:
            self.control.handle_discovery_event(event)
        else:
            self.front.events.apply_and_publish(event)

    def _handle_discovery_heartbeat(self, complete: bool) -> None:
        if self.control and complete:
            self.control.handle_discovery_caught_up()

    def _run_as_owner(self, run: Callable[[], None]) -> None:
        self.sockets.own_current_greenlet()
        self.front.guard.call("front", run)

    def state(self) -> FrontState:
        """Return the front's start time, its number of caches and its configuration version."""
        caches = len(self.front.upstreams.by_id)
        version = self.control.status()["version"] if self.control else 0
        if not isinstance(version, int):
            raise TypeError(f"the configuration version in the status is not an integer: {version!r}")
        return FrontState(self.front.name, self.front.start_ms, caches, version)

    def stop(self, graceful: bool) -> None:
        """Stop the front; if `graceful`, it leaves the control plane first."""
        if graceful and self.control:
            self.control.leave()
        gevent.killall(self.greenlets, block=False)
        self.sockets.cut()


class LightweightHost:
    """Executes the scale run's commands on the fronts of this process."""

    def __init__(self) -> None:
        self.environment, self.sink = shared_settings(), open_log_sink()
        self.fronts: dict[str, RunningFront] = {}
        self.applied_by_stopped_fronts: list[AppliedPurge] = []
        self.faults: Counter[str] = Counter()
        self.late_s = 0.0
        gevent.spawn(self._refresh_caches)
        gevent.spawn(self._measure_timer_lateness)

    def _refresh_caches(self) -> None:
        while True:
            gevent.sleep(REFRESH_INTERVAL_S)
            for running in list(self.fronts.values()):
                running.front.refresh_cache()
                gevent.sleep(0)

    def _measure_timer_lateness(self) -> None:
        while True:
            began = time.monotonic()
            gevent.sleep(TIMER_INTERVAL_S)
            self.late_s = max(self.late_s, time.monotonic() - began - TIMER_INTERVAL_S)

    def handle(self, command: object) -> object | None:
        """Execute one command; return the reply, or None if it has no result."""
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
        """Start the fronts of a command, one after the other."""
        control = read_settings(command.control, command.names[0]) if command.control else None
        for name in command.names:
            front = LightweightFront(name, self.environment, self.sink)
            front.fill_directory(command.directory_entries)
            self.fronts[name] = RunningFront(front, command, control)
            gc.freeze()  # a full garbage collection over all fronts would delay every other greenlet
            gevent.sleep(0)

    def stop(self, name: str, graceful: bool) -> None:
        """Stop a front; the next report includes the purges that it applied."""
        running = self.fronts.pop(name)
        running.stop(graceful)
        self.applied_by_stopped_fronts += running.front.events.take_applied()
        self._record_faults(running)

    def _record_faults(self, running: RunningFront) -> None:
        counts = running.front.counters.counts
        for name in [counter for counter in counts if counter.startswith(FAULT_PREFIXES)]:
            self.faults[name] += counts.pop(name)

    def report(self, with_cached_versions: bool) -> HostReport:
        """Return the applied purges since the last report, and the current state and counters."""
        applied, self.applied_by_stopped_fronts = self.applied_by_stopped_fronts, []
        traffic: list[FrontTraffic] = []
        states: list[FrontState] = []
        cached: list[CachedVersion] = []
        for name, running in self.fronts.items():
            applied += running.front.events.take_applied()
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
