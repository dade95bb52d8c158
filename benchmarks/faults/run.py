"""One run of the fault benchmark: a fleet of fronts under some kinds of faults."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import gevent

from marbleglade.testing.front_settings import front_configuration, front_settings
from marbleglade.testing.sockets import reserve_address

from .clients import OBJECTS, SKEW, Clients
from .fault_kinds import CLOCK_STEPS, CROWD_DESCRIPTOR_LIMIT, FaultInjector, send_signal_series
from .records import BrokenRule, Records, broken_rules
from .shim import FaultControl
from .upstream import FaultyCache, FaultyDiscovery

LONGEST_DEADLINE = 3.0  # seconds; the longest deadline of the request classes in the settings
KILL_MARGIN = 0.7  # seconds that a front has for its shutdown in addition to the longest deadline
READY_TIMEOUT = 60.0  # seconds
DRAIN_AT = 1.0  # seconds from the start of a run; slow discovery then has 7 s to publish it
PURGE_INTERVAL = 0.3  # seconds
FRESHNESS_MS = 20_000.0
DEFAULT_DESCRIPTOR_LIMIT = 600
CONNECT_PERIOD = (0.2, 0.4)  # seconds after SIGTERM for which clients still open connections
GROUP_PAUSE = (0.2, 1.0)  # seconds between the shutdowns of two groups of fronts
RELOAD_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
ALL_SIGNALS = (*RELOAD_SIGNALS, signal.SIGTERM)
POLL_INTERVAL = 0.005  # seconds between two checks for delays of this process


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of a run.

    Attributes:
        seed: Seed of faults, requests and clock errors.
        fronts: Number of fronts.
        cores: CPU cores on which the fronts run.
        caches: Number of caches.
        rate: Requests per second and front.
        seconds: Duration of the run.
        clients_stay: Whether clients stay active until each front is killed, as early as is allowed.
        group_size: With `clients_stay`, number of fronts that shut down together; 0 for all.
    """

    seed: int = 1
    fronts: int = 24
    cores: frozenset[int] = field(default=frozenset({0, 1, 2, 3}))
    caches: int = 6
    rate: float = 8.0
    seconds: float = 10.0
    clients_stay: bool = False
    group_size: int = 0


@contextmanager
def early_signals_ignored() -> Iterator[None]:
    """Start processes with reload signals ignored until their Python code runs, as the deploy file does."""
    handlers = {number: signal.signal(number, signal.SIG_IGN) for number in RELOAD_SIGNALS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


class FaultRun:
    """One fleet under some kinds of faults.

    Args:
        options: Options of the run.
        faults: Names of the kinds of faults.
        folder: Folder for configuration files and logs.
        shim: Path of the preloaded library.
    """

    def __init__(self, options: RunOptions, faults: tuple[str, ...], folder: Path, shim: Path) -> None:
        self._options, self._faults, self._folder, self._shim = options, faults, folder, shim
        self._random = random.Random(f"{options.seed} {faults}")
        self.records = Records(is_crowded="crowd" in faults)
        self.killed: set[int] = set()
        self._caches = [
            FaultyCache(f"box{number}", "box", self.records, self._random) for number in range(options.caches)
        ]
        self._sources = [FaultyCache(kind, kind, self.records, self._random) for kind in ("hub", "root")]
        self._discovery = FaultyDiscovery(self.records)
        self._discovery.announce_caches([*self._caches, *self._sources])
        self._reserved_sockets = [reserve_address() for _ in range(options.fronts)]
        self._controls = [FaultControl(folder / f"control{number}") for number in range(options.fronts)]
        for control in self._controls if "skew" in faults else ():
            control.step_clock(self._random.choice(CLOCK_STEPS))
        self._processes = [self._start(number) for number in range(options.fronts)]
        gevent.spawn(self._record_harness_stalls)

    def _configuration_path(self, number: int) -> Path:
        return self._folder / f"f{number}.json"

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        settings: dict[str, Any] = front_settings(self._options.fronts, {"Cold": 2000.0}, PeerMessages=False)
        settings["Specifics"] |= {"MaxAge": [FRESHNESS_MS, FRESHNESS_MS, 0.0], "ClearedWithin": 1000.0}
        configuration = front_configuration(
            f"f{number}",
            self._reserved_sockets[number].getsockname(),
            self._discovery.address,
            settings,
            f"{self._options.seed + number:x}",
            self._discovery.event_lines[:1],
            descriptors=CROWD_DESCRIPTOR_LIMIT if self.records.is_crowded else DEFAULT_DESCRIPTOR_LIMIT,
        )
        configuration |= {"flow_bytes_per_s": 1_000_000, "link_bytes_per_s": 4_000_000}
        path = self._configuration_path(number)
        path.write_text(json.dumps(configuration))
        environment = os.environ | {"GW_CONFIG": str(path)} | self._controls[number].environment(self._shim)
        command = [sys.executable, "-O", "-m", "marbleglade"]
        with (self._folder / f"f{number}.log").open("wb") as log, early_signals_ignored():
            process = subprocess.Popen(command, stderr=log, env=environment)
        os.sched_setaffinity(process.pid, self._options.cores)
        return process

    def _log_events(self, number: int, name: str) -> list[dict[str, Any]]:
        events = []
        for line in (self._folder / f"f{number}.log").read_bytes().splitlines():
            with suppress(ValueError):
                events.append(json.loads(line))
        return [event for event in events if event["event"] == name]

    def _record_harness_stalls(self) -> None:
        """Record when this process did not run, since times that it recorded then are late as well."""
        last = time.monotonic()
        while True:
            gevent.sleep(POLL_INTERVAL)
            now = time.monotonic()
            if now - last > 4 * POLL_INTERVAL:
                self.records.harness_stalls.append((now, now - last))
            last = now

    def run(self) -> list[BrokenRule]:
        """Run to the end; return the broken rules."""
        self._wait_until_ready()
        clients = [
            Clients(number, sock.getsockname(), self._options.rate, self.records, self._options.seed)
            for number, sock in enumerate(self._reserved_sockets)
        ]
        configurations = [self._configuration_path(number) for number in range(self._options.fronts)]
        injector = FaultInjector(
            self._random,
            self._processes,
            self._controls,
            configurations,
            self._caches,
            self._discovery,
            clients,
            self.records,
        )
        active = injector.active(self._faults)
        injections = injector.start(active)
        gevent.sleep(DRAIN_AT)
        self._discovery.drain(self._caches[0])
        purging = gevent.spawn(self._purge_objects)
        gevent.sleep(self._options.seconds - DRAIN_AT)
        if self._options.clients_stay:
            # A front can't make up for a stop in its last half second, so none occur during the shutdown.
            gevent.killall([each for each, fault in zip(injections, active, strict=True) if fault == "stops"])
            self._signal_all(signal.SIGCONT)
            self._shut_down_under_load(clients)
            gevent.killall([purging, *injections])
        else:
            gevent.killall([purging, *injections])
            self._signal_all(signal.SIGCONT)
            for each in clients:
                each.stopped = True
            self._shut_down()
        for crowd in injector.crowds:
            crowd.stop()
        return broken_rules(self.records) + self._front_failures()

    def _wait_until_ready(self) -> None:
        """Wait until all fronts are ready; with "signals", send signals to them meanwhile."""
        with gevent.Timeout(READY_TIMEOUT):
            for number, process in enumerate(self._processes if "signals" in self._faults else ()):
                gevent.spawn(
                    send_signal_series, process, RELOAD_SIGNALS, self._random, partial(self._is_ready, number)
                )
            while not all(map(self._is_ready, range(self._options.fronts))):
                gevent.sleep(0.1)

    def _is_ready(self, number: int) -> bool:
        return b'"event":"ready"' in (self._folder / f"f{number}.log").read_bytes()

    def _shut_down_under_load(self, clients: list[Clients]) -> None:
        """Shut down the fronts group by group while their clients stay active."""
        size = self._options.group_size or self._options.fronts
        endings = []
        for first in range(0, self._options.fronts, size):
            if first:
                gevent.sleep(self._random.uniform(*GROUP_PAUSE))
            group = range(first, min(first + size, self._options.fronts))
            endings += [gevent.spawn(self._shut_down_front, number, clients[number]) for number in group]
        gevent.joinall(endings, raise_error=True)
        gevent.sleep(0.2)

    def _shut_down_front(self, number: int, clients: Clients) -> None:
        """Send SIGTERM to a front, with "signals" further signals, and SIGKILL as early as is allowed."""
        process = self._processes[number]
        if "end" in self._faults:
            for cache in self._caches:
                cache.hangs = True
        process.send_signal(signal.SIGTERM)
        now = time.monotonic()
        self.records.kill_due_at[number] = kill_due_at = now + LONGEST_DEADLINE + KILL_MARGIN
        clients.connects_until = now + self._random.uniform(*CONNECT_PERIOD)
        if "signals" in self._faults:
            gevent.spawn(send_signal_series, process, ALL_SIGNALS, self._random, lambda: False)
        while process.poll() is None and time.monotonic() < kill_due_at:
            gevent.sleep(POLL_INTERVAL)
        if process.poll() is None:
            self.killed.add(number)
            process.kill()
            process.wait()
        clients.stopped = True

    def _purge_objects(self) -> None:
        while True:
            gevent.sleep(PURGE_INTERVAL)
            object_id = 1 + int(OBJECTS * self._random.random() ** SKEW)
            for cache in (*self._caches, *self._sources):
                cache.purge(object_id)
            self._discovery.purge_object(object_id)

    def _shut_down(self) -> None:
        """Send SIGTERM to all fronts; with "end", while the fronts are stopped and all caches hang."""
        has_fault = "end" in self._faults
        if has_fault:
            for cache in (*self._caches, *self._sources):
                cache.hangs = True
            gevent.sleep(0.1)
            self._signal_all(signal.SIGSTOP)
        kill_due_at = time.monotonic() + LONGEST_DEADLINE + KILL_MARGIN
        self.records.kill_due_at = dict.fromkeys(range(self._options.fronts), kill_due_at)
        self._signal_all(signal.SIGTERM)
        if has_fault:
            gevent.sleep(0.3)
            self._signal_all(signal.SIGCONT)
        while time.monotonic() < kill_due_at + 1.0 and any(one.poll() is None for one in self._processes):
            gevent.sleep(0.02)
        gevent.sleep(0.2)

    def _signal_all(self, number: int) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(number)

    def _front_failures(self) -> list[BrokenRule]:
        found = []
        for number, process in enumerate(self._processes):
            code = process.poll()
            if code is None:
                process.kill()
                process.wait()
                found.append(BrokenRule("crash", f"f{number} did not exit in time after SIGTERM"))
            elif code and number not in self.killed:
                found.append(BrokenRule("crash", f"f{number} exited with status {code}, expected 0"))
            for counters in self._log_events(number, "counters")[-1:]:
                found += _counted_faults(number, counters)
        return found

    def close(self) -> None:
        """Kill remaining processes and close all sockets."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for cache in (*self._caches, *self._sources):
            cache.listener.close()
        self._discovery.close()
        for sock in self._reserved_sockets:
            sock.close()


def _counted_faults(number: int, counters: dict[str, Any]) -> list[BrokenRule]:
    prefixes = ("exception.", "violated_invariant.")
    found = [
        BrokenRule("crash", f"f{number} {name}") for name in counters["counts"] if name.startswith(prefixes)
    ]
    if counters["body_budget"]["free"] != counters["body_budget"]["size"]:
        found.append(BrokenRule("leak", f"f{number} leaked body budget: {counters['body_budget']}"))
    return found
