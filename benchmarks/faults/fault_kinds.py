"""Kinds of faults; each injection runs until its greenlet is killed."""

from __future__ import annotations

import errno
import random
import signal
import subprocess
import time
from collections.abc import Callable
from pathlib import Path

import gevent

from .clients import FLOOD_INTERVAL, Clients, Crowd, send_malformed_input
from .records import Records
from .shim import FaultControl
from .upstream import FaultyCache, FaultyDiscovery

CLOCK_STEPS = (0.0, 3600.0, -3600.0, 4.0, -4.0, 900.0, -2.0)  # errors of the wall clock in seconds
ACCEPT_ERRNOS = (errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_ERRNOS = (errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
REFERENCE_FRONTS = 24  # the interval of stops scales with it, so each front of any fleet is stopped as often
FAULTS = (
    "stops",
    "clock",
    "skew",
    "calls",
    "discovery",
    "caches",
    "clients",
    "signals",
    "crowd",
    "flood",
    "end",
)
CROWD_SIZE = 150  # idle connections to a front, more than its descriptor limit in such a run allows
CROWD_DESCRIPTOR_LIMIT = 150  # descriptor limit of each front in a run with "crowd"
SIGNAL_PAUSE = (0.002, 0.03)  # seconds between two signals of a series


def send_signal_series(
    process: subprocess.Popen[bytes],
    numbers: tuple[signal.Signals, ...],
    random_source: random.Random,
    until: Callable[[], object],
) -> None:
    """Send random signals to a process until `until` returns true or the process has ended."""
    while process.poll() is None and not until():
        process.send_signal(random_source.choice(numbers))
        gevent.sleep(random_source.uniform(*SIGNAL_PAUSE))


class FaultInjector:
    """Injects faults during a run. "skew" and "end" are absent, since they act only at its start and its end.

    Args:
        random_source: Random source of all faults.
        processes: Processes of the fronts.
        controls: Controls of the preloaded library, by front.
        configurations: Paths of the configuration files, by front.
        caches: All caches; the first one drains during the run and is not made to hang.
        discovery: Discovery service of all fronts.
        clients: Clients, by front.
        records: Records to which stops of fronts are added.
    """

    def __init__(
        self,
        random_source: random.Random,
        processes: list[subprocess.Popen[bytes]],
        controls: list[FaultControl],
        configurations: list[Path],
        caches: list[FaultyCache],
        discovery: FaultyDiscovery,
        clients: list[Clients],
        records: Records,
    ) -> None:
        self._random, self._records = random_source, records
        self._processes, self._controls, self._configurations = processes, controls, configurations
        self._caches, self._discovery, self._clients = caches, discovery, clients
        self._injections: dict[str, Callable[[], None]] = {
            "stops": self._stop_fronts,
            "clock": self._step_clocks,
            "calls": self._fail_calls,
            "discovery": self._disturb_discovery,
            "caches": self._disturb_caches,
            "clients": self._disturb_clients,
            "signals": self._send_signals,
            "crowd": self._open_crowds,
            "flood": self._flood_fronts,
        }
        self.crowds: list[Crowd] = []

    def active(self, faults: tuple[str, ...]) -> list[str]:
        """Return the faults among these that are injected throughout the run."""
        return [fault for fault in faults if fault in self._injections]

    def start(self, active: list[str]) -> list[gevent.Greenlet]:
        """Start the injection of these faults, each in its own greenlet."""
        return [gevent.spawn(self._injections[fault]) for fault in active]

    def _stop_fronts(self) -> None:
        while True:
            gevent.sleep(self._random.uniform(0.01, 0.1) * REFERENCE_FRONTS / len(self._processes))
            number = self._random.randrange(len(self._processes))
            gevent.spawn(self._stop_front, number, self._random.uniform(0.15, 0.4))

    def _stop_front(self, number: int, seconds: float) -> None:
        process = self._processes[number]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(seconds)
            process.send_signal(signal.SIGCONT)
            self._records.front_stops.append((number, time.monotonic(), seconds))

    def _step_clocks(self) -> None:
        while True:
            gevent.sleep(0.5)
            for control in self._controls:
                control.step_clock(self._random.choice(CLOCK_STEPS))

    def _fail_calls(self) -> None:
        while True:
            gevent.sleep(0.05)
            control = self._random.choice(self._controls)
            control.set("accept_errno", self._random.choice(ACCEPT_ERRNOS))
            control.set("accept_failures", self._random.randint(1, 4))
            control.set("setsockopt_failures", self._random.randint(0, 2))
            for call in ("send", "recv"):
                control.set(f"{call}_errno", self._random.choice(TRANSIENT_ERRNOS))
                control.set(f"{call}_failures", self._random.randint(0, 3))

    def _disturb_discovery(self) -> None:
        self._discovery.delay = self._random.uniform(2.5, 4.5)
        while True:
            self._random.choice((self._discovery.break_watches, self._discovery.fall_silent))()
            gevent.sleep(6.0)

    def _disturb_caches(self) -> None:
        for cache in self._caches:
            cache.is_faulty = True
        while True:
            gevent.sleep(self._random.uniform(0.3, 1.0))
            cache = self._random.choice(self._caches[1:])
            cache.hangs = True
            gevent.sleep(self._random.uniform(0.2, 0.8))
            cache.hangs = False

    def _disturb_clients(self) -> None:
        for clients in self._clients:
            clients.slow_writers = True
        while True:
            gevent.sleep(0.01)
            gevent.spawn(send_malformed_input, self._random.choice(self._clients).address, self._random)

    def _open_crowds(self) -> None:
        self.crowds = [Crowd(clients.address, CROWD_SIZE) for clients in self._clients]

    def _flood_fronts(self) -> None:
        while True:
            gevent.sleep(self._random.uniform(*FLOOD_INTERVAL))
            gevent.spawn(self._random.choice(self._clients).send_flood)

    def _send_signals(self) -> None:
        """Send reload signals, also while the configuration file is incomplete, and requests for counters."""
        while True:
            gevent.sleep(0.02)
            number = self._random.randrange(len(self._processes))
            path, process = self._configurations[number], self._processes[number]
            text = path.read_text()
            if process.poll() is None:
                path.write_text(text[: self._random.randrange(len(text))])
                process.send_signal(signal.SIGHUP)
                gevent.sleep(self._random.uniform(0, 0.02))
                path.write_text(text)
                process.send_signal(self._random.choice((signal.SIGHUP, signal.SIGUSR1)))
