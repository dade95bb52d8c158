"""A front as a process: reload, graceful shutdown, and the end of open requests before the kill."""

import json
import signal
from types import SimpleNamespace

import gevent
import orjson
import pytest
from gevent import socket

from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.runtime.loop_monitor import TICK_PERIOD_NS, LoopMonitor
from marbleglade.runtime.shutdown import GracefulShutdown
from marbleglade.service import front_process
from tests.harness.messages import GROUP_PURGE_LINE, numbered_request, resp_array, with_entity_fields
from tests.harness.servers import LineServer
from tests.harness.units import NS_PER_MS, SECOND_NS
from tests.harness.waiting import wait_until


class SteppedLoop:
    """Components of a front with one open request, on a clock that advances only while the front sleeps.

    Args:
        period: Time between two timers of the policy, ns.
        phase: Offset of the timers, ns.
    """

    def __init__(self, period: int, phase: int) -> None:
        self.period, self.phase = period, phase
        self.now, self.must_give_up_at, self.gave_up_at = 1000 * SECOND_NS, 0, 0
        counters = Counters()
        log = Log("n1", counters, sink=2)
        self.monitor = LoopMonitor(lambda: self.now, log)
        self.monitor._last_tick = self.now
        self.shutdown = GracefulShutdown(5 * SECOND_NS)
        self.driver = SimpleNamespace(
            run_timers=self.run_timers, give_up_all=self.give_up_all, open_requests=[1]
        )
        connections = SimpleNamespace(sweep=list, has_pending_work=False)
        clients = SimpleNamespace(connections=connections, drain_backlog=lambda _listener: False)
        caches = SimpleNamespace(close_idle=list)
        environment = SimpleNamespace(parameters=SimpleNamespace(clock_resolution=2 * NS_PER_MS))
        self.components = SimpleNamespace(
            configuration=SimpleNamespace(fixed_settings={}, deployment=b"", environment=environment),
            process=SimpleNamespace(
                guard=ErrorGuard(counters, log), shutdown=self.shutdown, loop=self.monitor
            ),
            request_path=SimpleNamespace(driver=self.driver, client_listener=clients, upstream_client=caches),
            maintenance=None,
            peers=None,
            fleet=None,
            discovery_watch=None,
        )

    def run_timers(self) -> int:
        return self.now + self.period - (self.now - self.phase) % self.period

    def give_up_all(self) -> None:
        self.check_shutdown()
        self.gave_up_at = self.now
        self.driver.open_requests.clear()

    def tick(self) -> None:
        self.monitor._tick()
        self.check_shutdown()

    def check_shutdown(self) -> None:
        """Record the first time at which open requests must be ended."""
        if not self.must_give_up_at and self.shutdown.must_end_requests(
            self.now, self.monitor.recent_delay()
        ):
            self.must_give_up_at = self.now

    def sleep(self, seconds: float) -> None:
        until = self.now + max(1, round(seconds * SECOND_NS))
        while self.monitor.last_tick + TICK_PERIOD_NS <= until:
            self.now = self.monitor.last_tick + TICK_PERIOD_NS
            self.tick()
        self.now = until


@pytest.mark.parametrize("phase", range(0, 125, 5))
def test_giving_up_open_requests_does_not_wait_for_a_timer_of_the_policy(monkeypatch, phase):
    """Each loop tick may move the time at which requests must end; they end at most one tick later."""
    loop = SteppedLoop(125 * NS_PER_MS, phase * NS_PER_MS)
    monkeypatch.setattr(LoopMonitor, "watching", True)
    monkeypatch.setattr(front_process, "clock", SimpleNamespace(now=lambda: loop.now))
    monkeypatch.setattr(front_process, "gevent", SimpleNamespace(sleep=loop.sleep))
    front = front_process.FrontProcess(loop.components)
    loop.now += 400 * NS_PER_MS  # the process was stopped while SIGTERM arrived
    loop.tick()
    loop.shutdown.request(loop.now)
    front.serve()
    assert 0 < loop.must_give_up_at <= loop.gave_up_at <= loop.must_give_up_at + TICK_PERIOD_NS


def test_a_reload_applies_another_discovery_address_and_an_invalid_one_changes_nothing(program, tmp_path):
    process, client_address, cache, discovery = program
    file, other = tmp_path / "c.json", LineServer()
    text, lines = file.read_text(), []

    def reload(text):
        file.write_text(text)
        process.send_signal(signal.SIGHUP)
        while not lines or lines[-1]["event"] != "configuration_reload":
            lines.append(orjson.loads(process.stderr.readline()))
        return lines.pop()

    for bad in ("{", "[]", json.dumps(json.loads(text) | {"coordinator": "x"})):
        assert "invalid" in reload(bad)
    new = json.loads(text) | {
        "coordinator": f"{other.address[0]}:{other.address[1]}",
        "seed": "1",
        "name": "n9",
    }
    new["known"]["updates"].append({"index": 3, "evict": {"shard": 9, "unix_ms": 5}})
    assert reload(json.dumps(new))["not_changed"] == ["name", "seed"]
    assert other.wait_for_lines(1) == "follow 3"
    sock = socket.create_connection(client_address)
    sock.sendall(numbered_request(2, 2))
    cache.wait_for_lines(1)
    process.send_signal(signal.SIGTERM)
    assert reload(text)["last_event"] == 3  # a reload is also applied during the shutdown
    assert discovery.wait_for_lines(2) == "follow 3" and discovery.lines == ["follow 2", "follow 3"]
    cache.sockets[0].sendall(with_entity_fields(cache.lines[0].split()[1].encode() + b" HIT - 2\r\nok\r\n"))
    assert sock.recv(4096) == resp_array(b"2", b"ok", b"", b"ok")
    wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0
    other.close()


def test_a_front_exits_once_all_requests_are_answered(program):
    process, client_address, cache, discovery = program
    assert discovery.lines == ["follow 2"]
    discovery.sockets[0].sendall(GROUP_PURGE_LINE % (3, 9) + b"3\n")
    sock = socket.create_connection(client_address)
    sock.sendall(resp_array(b"STATUS", b"1", b"") + numbered_request(2, 2))
    assert sock.recv(4096) == resp_array(b"1", b"yes", b"", b"")
    assert cache.wait_for_lines(1).startswith(
        "do 0000000000000002 profile=page,thing=7f3a9c21e0b4d655,nth=0,max="
    )
    assert ",miss=h1,prio=1 0" in cache.lines[0]
    process.send_signal(signal.SIGTERM)
    gevent.sleep(0.1)
    late = socket.create_connection(client_address)  # the front still accepts clients
    late.sendall(numbered_request(1, 3))
    cache.wait_for_lines(2)
    gevent.sleep(0.8)
    assert process.poll() is None  # two requests are open
    for position, line in enumerate(cache.lines):
        cache.sockets[position].sendall(with_entity_fields(line.split()[1].encode() + b" HIT - 2\r\nok\r\n"))
    assert late.recv(4096) == resp_array(b"1", b"ok", b"", b"ok")
    assert sock.recv(4096) == resp_array(b"2", b"ok", b"", b"ok")
    wait_until(lambda: process.poll() is not None)
    lines = [orjson.loads(line) for line in process.stderr.read().splitlines()]
    counts = lines[-1]["counts"]
    assert process.returncode == 0 and [line["event"] for line in lines[-2:]] == ["stopping", "counters"]
    assert (counts["request.received"], counts["request.served"], counts["answer.ok"]) == (2, 2, 2)
    assert not [name for name in counts if name.startswith(("exception", "violated_invariant"))]
