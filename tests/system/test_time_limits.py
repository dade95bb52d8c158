"""Time limits that expire while a process is stalled: data that arrived in time counts, no cache is blamed.

After a stop, the event loop runs expired timers before it reads received data. In the iteration whose poll
was interrupted by the stop, it reads nothing at all.
"""

from __future__ import annotations

import time

import gevent
import pytest
from gevent import socket
from gevent.event import AsyncResult

from benchmarks.faults.clients import cut_response
from marbleglade.protocols.client_protocol import MAX_BODY_BYTES
from marbleglade.state.decisions import AttemptOrder, Decision, RequestOutcome
from marbleglade.testing.cache_client import CacheClient
from marbleglade.transport.client_timeouts import GRACEFUL_CLOSE_TIMEOUT_NS
from tests.harness.faulty_front import FaultyFront
from tests.harness.messages import numbered_id
from tests.harness.region_requests import WEST, WEST_GATEWAYS, start_order
from tests.harness.scripted_cache import ReceivedAttempt, ScriptedCache, scripted_caches
from tests.harness.waiting import wait_until
from tests.scripted_policy import new_request

STALL_SECONDS = 0.4
REQUESTS = 6
MANY_REQUESTS = 32  # requests whose responses, of maximum size, exceed the kernel's buffers
TIMEOUT_MS = 2000
REMAINING_SECONDS = 0.25  # of their timeout that requests have left when `send_requests` returns
FIRST_OBJECT = 1 << 20  # greater than the id of any object requested before


def read_responses(sock: socket.socket, count: int) -> dict[int, tuple[bytes, bytes]]:
    """Reads `count` responses; returns status and body by tag. Fails if the connection is closed earlier."""
    buffer, found = b"", {}
    while len(found) < count:
        data = sock.recv(1 << 20)
        assert data, f"connection closed after the responses to tags {sorted(found)}"
        buffer += data
        while (cut := cut_response(buffer)) is not None:
            parts, buffer = cut
            found[int(parts[0])] = (parts[1], parts[3])
    return found


def respond(front: FaultyFront, attempt: ReceivedAttempt, size: int) -> None:
    """Responds to an attempt with a body of `size` bytes."""
    front.caches[0].respond(attempt, b"x" * size)


def send_requests(
    front: FaultyFront, timeout_ms: int, count: int = REQUESTS, remaining: float = REMAINING_SECONDS
) -> tuple[socket.socket, list[ReceivedAttempt]]:
    """Sends requests of one client; returns its connection and their attempts, which have no response yet.

    With the timeout TIMEOUT_MS, it returns when `remaining` seconds of the timeout are left.
    """
    front.open_idle_connections(min(count, REQUESTS))
    for cache in front.caches:
        cache.script = [cache.hold] * 100
    sock = front.connect()
    sent_at = time.monotonic()
    for number in range(1, count + 1):
        sock.sendall(front.request(number, numbered_id(number), FIRST_OBJECT + number, timeout_ms))
    found = []
    for number in range(1, count + 1):
        wait_until(lambda number=number: front.attempts(numbered_id(number)), 5.0)
        found += front.attempts(numbered_id(number))
    if timeout_ms == TIMEOUT_MS:
        gevent.sleep(max(0.0, sent_at + TIMEOUT_MS / 1000 - remaining - time.monotonic()))
    return sock, found


def test_a_response_that_came_in_time_is_served_though_its_time_passed_during_a_stop(start_front):
    front = start_front(*scripted_caches())
    sock, waiting = send_requests(front, TIMEOUT_MS)
    with front.stopped(STALL_SECONDS):  # the timeouts expire meanwhile
        for attempt in waiting:
            respond(front, attempt, 50_000)
    assert {tag: status for tag, (status, _) in read_responses(sock, REQUESTS).items()} == dict.fromkeys(
        range(1, REQUESTS + 1), b"ok"
    )


def test_the_body_budget_of_responses_that_arrived_during_a_stall_is_released(start_front):
    """A poll returns the responses; then the front stalls, and the timeouts expire."""
    front = start_front(*scripted_caches())
    sock, waiting = send_requests(front, TIMEOUT_MS)

    def respond_to_all() -> None:
        for attempt in waiting:
            respond(front, attempt, 50_000)

    with front.stalled_after_poll(respond_to_all):
        gevent.sleep(STALL_SECONDS)
    read_responses(sock, REQUESTS)
    wait_until(lambda: front.counters_event()["open_requests"] == 0, 5.0)
    body_budget = front.counters_event()["body_budget"]
    assert body_budget["free"] == body_budget["size"]


def test_responses_that_their_client_reads_are_not_cut_off_by_a_stop(start_front):
    """The responses exceed the kernel's buffers; the client reads all of them while the front is stopped."""
    front = start_front(*scripted_caches())
    sock, waiting = send_requests(front, TIMEOUT_MS, MANY_REQUESTS, 2 * REMAINING_SECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    before = front.counter("answer.ok")
    for attempt in waiting:
        respond(front, attempt, MAX_BODY_BYTES)
    # The buffers are full, and the remaining data waits for the client to read.
    wait_until(lambda: front.counter("answer.ok") == before + MANY_REQUESTS, 5.0)
    with front.stopped(2 * REMAINING_SECONDS):
        reading = gevent.spawn(read_responses, sock, MANY_REQUESTS)
    found = reading.get(timeout=5)
    assert [len(body) for status, body in found.values() if status == b"ok"] == [
        MAX_BODY_BYTES
    ] * MANY_REQUESTS


def test_no_cache_is_blamed_for_responses_that_arrived_during_a_stop(start_front):
    """The latency objectives expire while the front is stopped and all responses are unread."""
    front = start_front(*scripted_caches(3))
    sock, waiting = send_requests(front, 4000)
    gevent.sleep(1.8)  # the latency objective is 2 s
    with front.stopped(0.5):
        for attempt in waiting:
            respond(front, attempt, 1)
    read_responses(sock, REQUESTS)
    assert front.events("policy") == []
    assert front.counter("attempt.cancelled") == 0


def test_a_connection_that_came_up_during_a_stop_is_used(start_front):
    """The connect timeout expires while the front is stopped."""
    cache = ScriptedCache("c1")
    front = start_front(cache)
    cache.hold_connections()
    sock = front.connect()
    sock.sendall(front.request(7, numbered_id(1), 5))
    gevent.sleep(0.05)
    with front.stopped(1.5):  # the kernel retransmits the SYN after a second
        cache.release_connections()
    assert read_responses(sock, 1)[7][0] == b"ok"
    assert front.counter("upstream.connect_failed") == 0


# Tests within the test process.


def test_a_decision_made_as_the_time_limit_expires_is_executed(driver_with_policy):
    """One iteration of the event loop handles both."""
    driver, policy, clock = driver_with_policy
    request = new_request(clock, 50)
    policy.on_request = lambda _request: None
    decision = AsyncResult()
    gevent.spawn(lambda: decision.set(driver.next_step(request)))
    gevent.sleep(0.01)
    ready, other = socket.socketpair()

    def decide() -> None:
        ready.recv(1)
        driver.serve_cached(request) if request.cached else driver.reject(request)

    gevent.spawn(decide)
    gevent.sleep(0.01)
    other.send(b"x")
    time.sleep(0.1)  # the time limit expires, and the byte arrives
    assert decision.get(timeout=2) == Decision(RequestOutcome.REJECTED)
    assert not isinstance(decision.get(), AttemptOrder)


def test_links_outlast_a_process_that_is_stalled(two_regions):
    """The stall exceeds the silence limit of a link, but no peer was silent, as the process read nothing."""
    client = two_regions.client()
    gevent.sleep(0.05)
    time.sleep(0.25)
    gevent.sleep(0.003)
    assert start_order(client, 1).get(timeout=4).status == "ok"
    assert two_regions.count("link.silent") == 0
    assert two_regions.count("forwarded.received", WEST_GATEWAYS) == 1


def test_a_connection_with_unread_bytes_at_the_cache_server_is_not_idle(two_regions):
    """The client sends a request after a long pause, while the gateway is stalled."""
    gateway = two_regions.gateways["west-1"].components
    cache_client = CacheClient(("127.0.0.1", two_regions.west.ports["west-1"][1]))
    wait_until(lambda: gateway.cache_server.connections)
    gateway.cache_server.idle_timeout = 200_000_000
    requesting = gevent.spawn(cache_client.request, "menu-pages", f"{WEST | 4:016x}", 0, 1500)
    gevent.sleep(0)  # the client writes its request
    time.sleep(0.3)
    gateway.cache_server.sweep()
    assert requesting.get().status == "HIT"
    cache_client.close()


def test_a_client_that_is_being_closed_is_read_before_it_is_closed(front):
    """A close with unread bytes resets the connection, and data that the client has not read yet is lost."""
    sock = front.connect_client()
    wait_until(lambda: front.client_listener.connections.open)
    (client,) = front.client_listener.connections.open
    front.client_listener.connections.close_all_gracefully()
    assert sock.recv(1) == b""
    sock.sendall(b"x")  # sent while the front closes the connection
    time.sleep(GRACEFUL_CLOSE_TIMEOUT_NS / 1e9 + 0.05)
    front.client_listener.connections.sweep()
    assert not client.closed
    gevent.sleep(0.02)
    front.client_listener.connections.sweep()
    assert client.closed


@pytest.mark.parametrize("peer", ["cache client", "gateway"])
def test_a_socket_option_that_cannot_be_set_closes_no_later_connection(two_regions, monkeypatch, peer):
    """The option fails on the first connection, of a cache client or a gateway; all later ones are served."""
    left = [1]
    set_option = socket.socket.setsockopt

    def fail_once(sock, level, *arguments):
        if level == socket.IPPROTO_TCP and left and sock.getsockname()[1] in ports:
            left.pop()
            raise OSError(105, "no buffer space")
        return set_option(sock, level, *arguments)

    ports = two_regions.west.ports["west-1"]
    monkeypatch.setattr(socket.socket, "setsockopt", fail_once)
    if peer == "gateway":
        for proxy in two_regions.west.proxies.values():
            proxy.reset()
        gevent.sleep(0.2)
    for _ in range(2):
        cache_client = CacheClient(("127.0.0.1", ports[1]))
        response = cache_client.request("menu-pages", f"{WEST | 4:016x}", 0, 1500)
        cache_client.close()
    assert left == []
    assert response is not None and response.status == "HIT"
    wait_until(
        lambda: all(
            link.up
            for one in two_regions.gateways.values()
            for requester in one.components.requesters
            for link in requester.links
        )
    )
