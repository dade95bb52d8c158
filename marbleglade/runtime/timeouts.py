"""Timeouts that expire only after all data that arrived in time has been read.

The event loop runs due timers before it reads sockets, and reads nothing in an iteration whose poll was
interrupted by a stop of the process (EINTR). Callbacks, including `gevent.sleep(0)`, run before the next
poll. So a process that was delayed would handle timeouts before the data that had arrived in time.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from .loop_monitor import LoopMonitor
from .units import SECOND_NS

MIN_SLEEP_S = 1e-6  # not 0: the loop polls before a timer is due, but not before a callback


class Awaitable(Protocol):
    """Object that a greenlet can wait for: an `AsyncResult` or an `Event`."""

    def ready(self) -> bool:
        """Return whether the object is set."""

    def wait(self, timeout: float) -> object:
        """Block until the object is set, for at most `timeout` seconds."""


def read_arrived_data() -> None:
    """Let all arrived data be read, and the greenlets that it wakes run, before the caller resumes.

    The first sleep ends in an iteration that polls, before the readers of that iteration run. The second
    sleep ends after these readers and the callbacks that they scheduled have run.
    """
    gevent.sleep(MIN_SLEEP_S)
    gevent.sleep(MIN_SLEEP_S)


def wait_until_ready(awaited: Awaitable, seconds: float) -> bool:
    """Wait at most `seconds`, read data that arrived by then, and return whether `awaited` is set."""
    awaited.wait(max(0.0, seconds))
    if not awaited.ready():
        read_arrived_data()
    return awaited.ready()


class TimeLimit:
    """A time limit for other processes, extended by the delay of this process itself.

    It expires even if this process is always delayed, because a delay is shorter than the gap between two
    ticks in which it is measured.

    Args:
        loop: The monitor of the event loop.
        deadline: Time on the loop's clock at which the limit expires if there are no delays, ns.
    """

    def __init__(self, loop: LoopMonitor, deadline: int) -> None:
        self._loop = loop
        self._deadline = deadline
        self._total_delay = loop.total_delay_until(loop.now())

    def seconds_left(self) -> float:
        """Return the time until `expired` should be called, in seconds."""
        return max(0, self._deadline - self._loop.now()) / SECOND_NS

    def expired(self) -> bool:
        """Return whether the limit has expired, after letting arrived data be read. Switches greenlets."""
        read_arrived_data()
        now = self._loop.now()
        total_delay = self._loop.total_delay_until(now)
        self._deadline += total_delay - self._total_delay
        self._total_delay = total_delay
        return now >= self._deadline
