"""Worker process: many hollow fronts, each with its own connections."""

from __future__ import annotations

import gc
import os
from collections import Counter

import gevent

from marbleglade.wire.coordinator import Follower

from .hollow_front import HollowFront, discard, shared_settings
from .messages import (
    Collect,
    CutFronts,
    FrontState,
    FrontTraffic,
    HealFronts,
    HostReport,
    Ready,
    StartFronts,
    StopFronts,
)
from .traffic import TrafficMeter
from .worker import cpu_of, memory_of, serve

LOOK_INTERVAL = 0.25  # seconds between two looks at the connections' counters
REFRESH_INTERVAL = 1.0  # seconds between two rounds of copies
FILL_TIMEOUT = 30.0  # seconds within which the first list of caches must come
REFUSED = ("127.0.0.1", 1)  # nobody listens there
TROUBLE = ("trouble.", "broken.")  # counters of what must not happen


class HollowFrontHandle:
    """A hollow front with its watch client and the bytes of its connections."""

    def __init__(self, front: HollowFront, discovery: tuple[str, int], directory: int) -> None:
        self.front, self.discovery, self.directory = front, discovery, directory
        self.meter, self.filled = TrafficMeter(), False
        self.client = Follower(discovery, 0, front.apply, front.guard, anew=True)
        self.greenlets = [gevent.spawn(self.client.run), gevent.spawn(self._fill)]

    def _fill(self) -> None:
        with gevent.Timeout(FILL_TIMEOUT, False):
            while not self.front.places.by_id:
                gevent.sleep(0.05)
        self.front.fill_directory(self.directory)
        self.filled = True

    def look(self) -> None:
        """Reads the counters of its connections."""
        self.meter.look([sock for sock in (self.client.sock,) if sock])

    def caches(self) -> int:
        """Caches that it has heard of; 0 until its directory is filled."""
        return len(self.front.places.by_id) if self.filled else 0

    def cut(self) -> None:
        """Its connections are closed and refused."""
        self.look()
        self.client.move(REFUSED)

    def heal(self) -> None:
        """It may connect again."""
        self.client.move(self.discovery)

    def stop(self) -> None:
        """Ends it."""
        self.look()
        gevent.killall(self.greenlets)


class HollowHost:
    """Carries out the scale run's commands at the fronts of this process."""

    def __init__(self) -> None:
        self.around, self.sink = shared_settings(), discard()
        self.handles: dict[str, HollowFrontHandle] = {}
        self.left_behind: list = []
        self.troubles: Counter[str] = Counter()
        gevent.spawn(self._every, LOOK_INTERVAL, lambda one: one.look())
        gevent.spawn(self._every, REFRESH_INTERVAL, lambda one: one.front.refresh_copies())

    def _every(self, interval: float, work) -> None:
        while True:
            gevent.sleep(interval)
            for handle in list(self.handles.values()):
                work(handle)
                gevent.sleep(0)

    def handle(self, command: object) -> object | None:
        """Carries out one command; what it gives is the reply."""
        match command:
            case StartFronts():
                self.start(command)
            case StopFronts(names, _):
                for name in names:
                    self.stop(name)
            case CutFronts(names):
                for name in names:
                    self.handles[name].cut()
            case HealFronts(names):
                for name in names:
                    self.handles[name].heal()
            case Collect(copies):
                return self.report(copies)
            case _:
                raise ValueError(f"unknown command: {command!r}")
        return None

    def start(self, command: StartFronts) -> None:
        """Starts fronts."""
        for name in command.names:
            front = HollowFront(name, self.around, self.sink)
            self.handles[name] = HollowFrontHandle(front, tuple(command.discovery), command.directory)
            gevent.sleep(0)
        gc.collect()
        gc.freeze()

    def stop(self, name: str) -> None:
        """Ends a front; what it applied is reported with the next report."""
        handle = self.handles.pop(name)
        handle.stop()
        self.left_behind += handle.front.drain()
        self._note_troubles(handle)

    def _note_troubles(self, handle: HollowFrontHandle) -> None:
        counts = handle.front.counters.counts
        for name in [one for one in counts if one.startswith(TROUBLE)]:
            self.troubles[name] += counts.pop(name)

    def report(self, copies: bool) -> HostReport:
        """All that came since the last report."""
        applied, self.left_behind = self.left_behind, []
        traffic, states, held = [], [], []
        for name, handle in self.handles.items():
            handle.look()
            applied += handle.front.drain()
            traffic.append(FrontTraffic(name, *handle.meter.totals()))
            states.append(FrontState(name, handle.front.start_ms, handle.caches(), 0))
            self._note_troubles(handle)
            if copies:
                held += handle.front.held()
        pid = os.getpid()
        return HostReport(cpu_of(pid), memory_of(pid), applied, traffic, states, held, dict(self.troubles))


if __name__ == "__main__":
    serve(Ready(), HollowHost().handle)
