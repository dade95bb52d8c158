"""Measures the delay of the event loop of this process.

A process that is stopped, or that shares its core with other processes, reads incoming data only when it runs
again. A timer of the loop ticks every `TICK_PERIOD_NS`; the excess of a longer gap between two ticks is a
delay. Only ticks are recorded. Polls are not, because there are thousands of them per second.

`transport.arrival` uses the ticks to bound arrival times, `runtime.timeouts.TimeLimit` does not count delays,
the policy adds the mean delay to its predictions, and a shutdown ends open requests earlier by the recent
delay.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from .json_log import Log
from .units import MICROSECOND_NS, MILLISECOND_NS, SECOND_NS

TICK_PERIOD_NS = 10 * MILLISECOND_NS
MIN_LOGGED_GAP_NS = 100 * MILLISECOND_NS  # longer gaps between two ticks are logged
MIN_LOG_INTERVAL_NS = SECOND_NS  # minimum time between two log events `loop_late`
RECENT_GAP_DECAY_NS = 5 * SECOND_NS  # time constant with which a long gap decays in the recent delay
MEAN_DELAY_WEIGHT = 1 / 64  # weight of one tick, so low that a single stop hardly changes the mean delay


class LoopMonitor:
    """Records when the event loop runs and how long incoming data waits to be read.

    Before `start`, no delays are reported.

    Args:
        clock: The monotonic clock, ns.
        log: Receives an event `loop_late` for gaps longer than `MIN_LOGGED_GAP_NS`.

    Attributes:
        ticks: Number of ticks.
        longest_gap: The longest time between two ticks since the start, ns.
        total_delay: Sum of all delays of ticks since the start, ns.
    """

    def __init__(self, clock: Callable[[], int], log: Log) -> None:
        self.now = clock
        self._log = log
        self.ticks = 0
        self._last_tick = 0
        self._second_last_tick = 0
        self._third_last_tick = 0
        self._fourth_last_tick = 0
        self._mean_delay = 0.0
        self._recent_gap = 0.0  # longest gap between two ticks, ns, which decays over time
        self._logged_at = 0
        self.longest_gap = 0
        self.total_delay = 0
        self._timer: Any = None

    def start(self) -> None:
        """Start monitoring the event loop of the calling thread."""
        now = self.now()
        self._last_tick = self._second_last_tick = self._third_last_tick = self._fourth_last_tick = now
        period_s = TICK_PERIOD_NS / SECOND_NS
        self._timer = gevent.get_hub().loop.timer(period_s, period_s, ref=False)
        self._timer.start(self._tick)

    def stop(self) -> None:
        """Stop monitoring."""
        if self._timer:
            self._timer.stop()
            self._timer.close()
        self._timer = None

    @property
    def watching(self) -> bool:
        """Whether the loop is monitored."""
        return self._timer is not None

    @property
    def last_tick(self) -> int:
        """Time of the last tick, ns; the current time if the loop is not monitored."""
        return self._last_tick if self.watching else self.now()

    @property
    def sockets_empty_at(self) -> int:
        """Time, ns, at which every socket whose reader is still waiting is known to have been empty.

        Any data that is read next arrived after this time. The loop polls between every two ticks, and runs
        the readers of a poll after the tick that follows the poll. So at the last tick, the readers of the
        poll before the second last tick have run. A socket that this poll did not report was empty at the
        tick before the poll, which is the third last. A signal may have interrupted that poll, so the one
        before it is used, which gives the fourth last tick.
        """
        return self._fourth_last_tick if self.watching else self.now()

    def total_delay_until(self, now: int) -> int:
        """Return the sum of all delays, ns, including the delay at `now` of a tick that is overdue."""
        if not self.watching:
            return self.total_delay
        return self.total_delay + max(0, now - self._last_tick - TICK_PERIOD_NS)

    def mean_delay(self) -> int:
        """Return the mean delay of a tick, ns, which is also the mean delay of incoming data."""
        return int(self._mean_delay)

    def recent_delay(self) -> int:
        """Return the longest recent delay, ns, which decays over time."""
        return max(0, int(self._recent_gap) - TICK_PERIOD_NS)

    def snapshot(self) -> dict[str, int]:
        """Return the measurements that the log event `counters` contains."""
        return {
            "ticks": self.ticks,
            "mean_delay_us": self.mean_delay() // MICROSECOND_NS,
            "longest_gap_us": self.longest_gap // MICROSECOND_NS,
            "total_delay_us": self.total_delay // MICROSECOND_NS,
        }

    def _tick(self) -> None:
        now = self.now()
        gap = now - self._last_tick
        self._fourth_last_tick = self._third_last_tick
        self._third_last_tick = self._second_last_tick
        self._second_last_tick = self._last_tick
        self._last_tick = now
        self.ticks += 1
        delay = max(0, gap - TICK_PERIOD_NS)
        self.total_delay += delay
        self._mean_delay += (delay - self._mean_delay) * MEAN_DELAY_WEIGHT
        self._recent_gap = max(gap, self._recent_gap * max(0.0, 1 - gap / RECENT_GAP_DECAY_NS))
        self.longest_gap = max(self.longest_gap, gap)
        if gap > MIN_LOGGED_GAP_NS:
            self._log_late_tick(gap, now)

    def _log_late_tick(self, gap: int, now: int) -> None:
        self._log.counters.add("loop.late")
        if now - self._logged_at > MIN_LOG_INTERVAL_NS:
            self._logged_at = now
            self._log.info(
                "loop_late", gap_us=gap // MICROSECOND_NS, mean_delay_us=self.mean_delay() // MICROSECOND_NS
            )
