"""The timeline of one request from the log, and the measured delay of the event loop."""

import json
import time

import gevent
from click.testing import CliRunner

from marbleglade.cli.timeline import timeline
from marbleglade.runtime import clock
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.json_log import Log
from marbleglade.runtime.loop_monitor import TICK_PERIOD_NS, LoopMonitor
from tests.harness.units import NS_PER_MS

TRACE = "9b1f03aa5c7e2d41"


def line(at, event, front="n1", **more):
    return json.dumps({"at": at, "front": front, "event": event} | more)


LOG = "\n".join(
    [
        line(1000, "ready"),
        line(1001, "read", trace=TRACE, client=3, tag=7),
        line(1001, "read", trace="0" * 16, client=4, tag=7),
        "not a line of the log",
        line(1002, "attempt", trace=TRACE, upstream="c1", timeout_ms=900),
        line(1003, "cancelled", client=3, tag=8),
        line(1003, "cancelled", client=4, tag=7),
        line(1004, "loop_late", gap_us=400_000),
        line(1004, "loop_late", front="n2", gap_us=400_000),
        line(1005, "client_left", client=3, open=1),
        line(1006, "withheld", trace=TRACE, upstream="c2", reason="client_left"),
        line(1007, "finished", trace=TRACE, outcome="REJECTED", reason="its client left"),
        line(1008, "client_closed", client=3, reason="reset"),
    ]
)


def test_the_timeline_of_a_request_contains_exactly_the_events_that_affect_it():
    result = CliRunner().invoke(timeline, [TRACE], input=LOG)
    fields = [text.split() for text in result.output.splitlines()]
    assert [(offset, event) for offset, _, _, event, *_ in fields] == [
        ("+0", "read"),
        ("+1", "attempt"),
        ("+3", "loop_late"),
        ("+4", "client_left"),
        ("+5", "withheld"),
        ("+6", "finished"),
    ]
    assert result.exit_code == 0 and "reason=client_left" in result.output


def test_the_timeline_of_a_request_that_is_not_in_the_log_is_an_error():
    result = CliRunner().invoke(timeline, ["f" * 16], input=LOG)
    assert result.exit_code == 1


def test_a_long_gap_between_two_polls_is_measured_and_a_busy_loop_shows_no_delay(tmp_path):
    with (tmp_path / "log").open("wb") as sink:
        monitor = LoopMonitor(clock.now, Log("n1", Counters(), sink=sink.fileno()))
        monitor.start()
        gevent.sleep(0.3)
        snapshot_before_stop = monitor.snapshot()
        age_before_stop = clock.now() - monitor.sockets_empty_at
        time.sleep(0.3)  # blocks the event loop
        gevent.sleep(0)
        age_after_stop = clock.now() - monitor.sockets_empty_at
        gevent.sleep(0.05)
        delay = monitor.mean_delay()
        monitor.stop()
    assert snapshot_before_stop["ticks"] >= 10 and age_before_stop < 5 * TICK_PERIOD_NS
    assert age_after_stop >= 300 * NS_PER_MS and monitor.longest_gap >= 300 * NS_PER_MS
    assert 1 * NS_PER_MS < delay < 10 * NS_PER_MS  # a single stop hardly changes the mean delay
    assert json.loads((tmp_path / "log").read_bytes().splitlines()[0])["event"] == "loop_late"
