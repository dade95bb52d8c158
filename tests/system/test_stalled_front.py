"""A stalled front: its process gets no CPU time while its clients and caches continue.

An event that ends or forbids work, such as a close or a drain, applies from its arrival at the machine, no
matter when the front can read it.
"""

import signal
import time

import gevent
import pytest
from gevent import socket

from marbleglade.testing.control_node import StandInControlNode
from tests.harness.connections import reset
from tests.harness.control_plane import control_settings, free_address
from tests.harness.faulty_front import FaultyFront
from tests.harness.messages import numbered_id, resp_array
from tests.harness.objects import object_with_ranking
from tests.harness.scripted_cache import scripted_caches
from tests.harness.settings import UNUSED_ADDRESS, endpoint_entry
from tests.harness.waiting import wait_until

GRACE_SECONDS = 0.1  # after a client has left or a drain was announced; no attempt may start later
DEADLINE_SLACK_MS = 150  # by which a deadline sent to a cache may exceed the client's remaining time
STALL_SECONDS = 0.4
CLIENTS = 6
LEAVE_ACTIONS = {
    "close": lambda sock, _tag: sock.close(),
    "reset": lambda sock, _tag: reset(sock),
    "half close": lambda sock, _tag: sock.shutdown(socket.SHUT_WR),
    "cancel": lambda sock, tag: sock.sendall(resp_array(b"NEVERMIND", b"%d" % tag)),
}
LEAVE_FUNCTIONS = list(LEAVE_ACTIONS.values())


def late_attempts(front: FaultyFront, left: dict[str, float]) -> list[float]:
    """Seconds from the departure of a client to each attempt that came after the grace time."""
    delays = [
        attempt.received_at - left_at
        for request_id, left_at in left.items()
        for attempt in front.attempts(request_id)
    ]
    return [delay for delay in delays if delay > GRACE_SECONDS]


@pytest.mark.parametrize("way", LEAVE_ACTIONS)
def test_no_retry_for_a_client_that_left_while_the_front_was_stalled(start_front, way):
    """A poll returns a cache's rejection; then the front stalls, and the client leaves."""
    front = start_front(*scripted_caches())
    front.open_idle_connections(4)
    for cache in front.caches:
        cache.script = [cache.hold] * 100
    sock, request_id = front.connect(), numbered_id(1)
    sock.sendall(front.request(7, request_id, 5))
    wait_until(lambda: front.attempts(request_id), 5.0)
    with front.stalled_after_poll(lambda: front.reject_attempt(request_id)):
        LEAVE_ACTIONS[way](sock, 7)
        left_at = time.monotonic()
        gevent.sleep(STALL_SECONDS)
    gevent.sleep(STALL_SECONDS)
    assert late_attempts(front, {request_id: left_at}) == []


@pytest.mark.parametrize("way", LEAVE_ACTIONS)
def test_no_attempt_for_a_request_whose_client_left_before_it_was_read(start_front, way):
    """A poll returns a request; then the front stalls, and the client leaves before the request is read."""
    front = start_front(*scripted_caches())
    front.open_idle_connections(4)
    sock, request_id = front.connect(), numbered_id(1)
    sock.sendall(resp_array(b"STATUS", b"1", b""))
    sock.recv(100)
    with front.stalled_after_poll(lambda: sock.sendall(front.request(7, request_id, 5))):
        LEAVE_ACTIONS[way](sock, 7)
        left_at = time.monotonic()
        gevent.sleep(STALL_SECONDS)
    gevent.sleep(STALL_SECONDS)
    assert late_attempts(front, {request_id: left_at}) == []


def test_no_attempt_for_clients_that_left_while_the_front_was_stopped(start_front):
    """Rejections, closes and cancels arrive in any order while the process is stopped by SIGSTOP."""
    front = start_front(*scripted_caches())
    front.open_idle_connections(2 * CLIENTS)
    for cache in front.caches:
        cache.script = [cache.hold] * 100
    late = []
    for round_ in range(4):
        socks = [front.connect() for _ in range(CLIENTS)]
        request_ids = [numbered_id(round_ * CLIENTS + number + 1) for number in range(CLIENTS)]
        for sock, request_id in zip(socks, request_ids, strict=True):
            sock.sendall(front.request(7, request_id, int(request_id, 16)))
        wait_until(lambda ids=request_ids: all(front.attempts(request_id) for request_id in ids), 5.0)
        left = {}
        with front.stopped(STALL_SECONDS):
            for number, (sock, request_id) in enumerate(zip(socks, request_ids, strict=True)):
                order = [
                    lambda t=request_id: front.reject_attempt(t),
                    lambda s=sock, n=number: LEAVE_FUNCTIONS[n % 4](s, 7),
                ]
                for act in order if (number + round_) % 2 else reversed(order):
                    act()
                left[request_id] = time.monotonic()
        gevent.sleep(GRACE_SECONDS)
        late += late_attempts(front, left)
        for sock in socks:
            sock.close()
    assert late == []


def excess_deadlines(front: FaultyFront, sent: dict[str, float]) -> list[float]:
    """Excess in ms of deadlines sent to caches over the client's remaining time, if above the slack."""
    found = []
    for request_id, sent_at in sent.items():
        for attempt in front.attempts(request_id):
            left = front.REQUEST_TIMEOUT_MS - (attempt.received_at - sent_at) * 1000
            if attempt.request.timeout_ms > left + DEADLINE_SLACK_MS:
                found.append(attempt.request.timeout_ms - left)
    return found


@pytest.mark.parametrize("connection", ["open", "new"])
def test_the_deadline_sent_to_a_cache_counts_from_the_arrival_of_the_request(start_front, connection):
    """The time in which the process is stopped counts as part of the timeout of a request."""
    front, sent = start_front(*scripted_caches()), {}
    socks = [front.connect() for _ in range(CLIENTS)]
    for sock in socks:
        sock.sendall(resp_array(b"STATUS", b"1", b""))
        sock.recv(100)
    with front.stopped(STALL_SECONDS):
        if connection == "new":
            socks += [front.connect() for _ in range(CLIENTS)]
            socks = socks[CLIENTS:]
        for number, sock in enumerate(socks, 1):
            sock.sendall(front.request(7, numbered_id(number), number))
            sent[numbered_id(number)] = time.monotonic()
    wait_until(lambda: all(front.attempts(request_id) for request_id in sent), 5.0)
    assert excess_deadlines(front, sent) == []


def test_the_deadline_of_a_request_behind_a_flood_counts_from_its_arrival(start_front):
    """While a connection holds more unread data than one read returns, it does not count as empty."""
    front, request_id = start_front(*scripted_caches()), numbered_id(1)
    sock = front.connect()
    flood = resp_array(b"NEVERMIND", b"99") * 12_000
    gevent.spawn(sock.sendall, flood)
    gevent.sleep(0.02)
    with front.stopped(STALL_SECONDS):
        sock.sendall(front.request(7, request_id, 5))
        sent_at = time.monotonic()
    wait_until(lambda: front.attempts(request_id), 5.0)
    assert excess_deadlines(front, {request_id: sent_at}) == []


def test_an_idle_front_subtracts_no_time_from_a_request(start_front):
    """A front with CPU time subtracts almost nothing from the timeout of a request after a pause."""
    front, sent = start_front(*scripted_caches()), {}
    sock = front.connect()
    for number in range(1, 11):
        gevent.sleep(0.3)
        sent[numbered_id(number)] = time.monotonic()
        sock.sendall(front.request(number, numbered_id(number), number))
        sock.recv(1 << 16)
    deductions_ms = [
        front.REQUEST_TIMEOUT_MS - (attempt.received_at - sent_at) * 1000 - attempt.request.timeout_ms
        for request_id, sent_at in sent.items()
        for attempt in front.attempts(request_id)
    ]
    assert excess_deadlines(front, sent) == [] and sorted(deductions_ms)[len(deductions_ms) // 2] < 5.0


def test_a_drain_announced_while_the_front_was_stalled_is_kept(start_front):
    """A poll returns a request; the drain of its cache is announced before the front reads the request."""
    draining, other = scripted_caches()
    front = start_front(draining, other)
    front.open_idle_connections(4)
    sock, request_id = front.connect(), numbered_id(1)
    request = front.request(7, request_id, object_with_ranking(draining.name, other.name))
    sock.sendall(resp_array(b"STATUS", b"1", b""))
    sock.recv(100)
    with front.stalled_after_poll(lambda: sock.sendall(request)):
        front.discovery.announce_draining(draining)
        gevent.sleep(STALL_SECONDS)
    wait_until(lambda: front.attempts(request_id), 5.0)
    assert not draining.attempts_for(request_id)


def test_a_drain_sent_by_control_nodes_while_the_front_was_stalled_is_applied(start_front, tmp_path):
    """The same as the test above, with control nodes instead of the discovery service."""
    draining, other = scripted_caches()
    nodes = [StandInControlNode(name, "d", f"s-{name}") for name in ("c1", "c2")]
    addresses = {node.name: (node.address, free_address()) for node in nodes}
    settings = control_settings(UNUSED_ADDRESS, "n1", addresses)
    (tmp_path / "control.textproto").write_text(settings)
    front = start_front(
        draining, other, environment={"MARBLEGLADE_CONTROL": str(tmp_path / "control.textproto")}
    )
    for node in nodes:
        node.announce([endpoint_entry(cache.name, cache.address) for cache in front.caches], full_list=True)
    wait_until(lambda: all(node["current"] for node in front.counters_event()["control"]["nodes"]), 10.0, 0.1)
    front.open_idle_connections(4)
    sock, request_id = front.connect(), numbered_id(1)
    request = front.request(7, request_id, object_with_ranking(draining.name, other.name))
    sock.sendall(resp_array(b"STATUS", b"1", b""))
    sock.recv(100)
    with front.stalled_after_poll(lambda: sock.sendall(request)):
        for node in nodes:
            node.announce([endpoint_entry(draining.name, draining.address, state="leaving")])
        gevent.sleep(STALL_SECONDS)
    wait_until(lambda: front.attempts(request_id), 5.0)
    assert not draining.attempts_for(request_id)
    for node in nodes:
        node.close()


KILLED_AFTER_SECONDS = 3.7  # after SIGTERM: the longest deadline that is honored, 3 s, plus 0.7 s


@pytest.mark.parametrize("stopped_after", [0.0, KILLED_AFTER_SECONDS - STALL_SECONDS])
def test_a_front_that_receives_sigterm_while_stalled_responds_before_it_is_killed(start_front, stopped_after):
    """No cache responds; the process is stopped as SIGTERM arrives, or shortly before it would be killed."""
    front = start_front(*scripted_caches())
    for cache in front.caches:
        cache.script = [cache.hold] * 100
    sock = front.connect()
    for number in range(1, 5):
        sock.sendall(front.request(number, numbered_id(number), number, 15_000))
    wait_until(lambda: all(front.attempts(numbered_id(number)) for number in range(1, 5)), 5.0)
    if stopped_after:  # the process has already had too little CPU time
        for _ in range(3):
            with front.stopped(STALL_SECONDS):
                pass
            gevent.sleep(0.1)
    signalled_at, answered = time.monotonic(), []

    def read() -> None:
        while data := sock.recv(1 << 16):
            answered.extend([time.monotonic() - signalled_at] * data.count(b"*4\r\n"))

    gevent.spawn(read)
    if stopped_after:
        front.process.send_signal(signal.SIGTERM)
        gevent.sleep(stopped_after)
    with front.stopped(STALL_SECONDS):
        front.process.send_signal(signal.SIGTERM)
    wait_until(lambda: len(answered) == 4, 5.0, interval=0.01)
    assert max(answered) < KILLED_AFTER_SECONDS
