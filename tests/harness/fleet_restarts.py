"""Starts and stops all fronts of a fleet at once."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import gevent

from marbleglade.testing.front_fleet import FrontFleet

POLL_SECONDS = 0.05


def seconds_without_core(pid: int) -> float:
    """Seconds for which a runnable process waited for a core; 0 if the system does not report this."""
    with suppress(OSError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    return 0.0


@dataclass(frozen=True, slots=True)
class StartDuration:
    """Time from the start of one process until it was ready, in seconds."""

    elapsed: float
    without_core: float  # part of `elapsed` in which the process waited for a core of a busy machine

    @property
    def own_seconds(self) -> float:
        """`elapsed` without the time in which the process waited for a core, in seconds."""
        return self.elapsed - self.without_core


def start_all(fleet: FrontFleet, seconds: float) -> list[StartDuration]:
    """Starts all fronts at once; waits until each reports that it is ready, for at most `seconds`."""
    starts = [StartDuration(seconds, 0.0)] * fleet.count

    def start(number: int) -> None:
        started_at = time.monotonic()
        fleet.start(number)
        with gevent.Timeout(seconds, False):
            while not fleet.is_ready(number):
                gevent.sleep(POLL_SECONDS)
            starts[number] = StartDuration(
                time.monotonic() - started_at, seconds_without_core(fleet.processes[number].pid)
            )

    gevent.joinall([gevent.spawn(start, number) for number in range(fleet.count)], raise_error=True)
    return starts


def stop_all(fleet: FrontFleet, signal_number: int, seconds: float) -> None:
    """Sends a signal to all processes, and waits until they have ended."""
    for number in fleet.processes:
        fleet.signal(number, signal_number)
    with gevent.Timeout(seconds):
        while any(process.poll() is None for process in fleet.processes.values()):
            gevent.sleep(POLL_SECONDS)
    fleet.processes.clear()
