"""Time limits do not count the time for which the process was stalled, and loop delays include it."""

from marbleglade.runtime.counters import Counters
from marbleglade.runtime.json_log import Log
from marbleglade.runtime.loop_monitor import TICK_PERIOD_NS, LoopMonitor
from marbleglade.runtime.timeouts import TimeLimit
from tests.harness.stalled_loop import FakeLoopMonitor


def test_a_time_limit_does_not_count_the_time_for_which_the_process_was_stalled():
    loop = FakeLoopMonitor()
    loop.delay = 50  # before the time limit began, so not counted
    limit = TimeLimit(loop, 1000)
    loop.time, loop.delay = 1199, 250
    assert not limit.expired()
    assert limit.seconds_left() == 1e-9
    loop.time = 1200
    assert limit.expired()


def test_a_delay_of_the_loop_counts_before_the_overdue_tick_runs():
    now = [1_000_000_000]
    monitor = LoopMonitor(lambda: now[0], Log("t", Counters(), sink=2))
    assert monitor.total_delay_until(now[0] + 10**9) == 0  # not monitored yet
    monitor.start()
    try:
        now[0] += 400_000_000
        assert monitor.total_delay_until(now[0]) == 400_000_000 - TICK_PERIOD_NS
        monitor._tick()
        assert monitor.total_delay_until(now[0]) == 400_000_000 - TICK_PERIOD_NS == monitor.total_delay
    finally:
        monitor.stop()
