"""Races over loopback at the end of a connection to a cache; `docs/crossings.md` has a line for each.

Stub servers that hold back bytes and direct calls to the front force the order of events.
"""

import os
from contextlib import suppress

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from marbleglade.model.attempt import AttemptResult
from marbleglade.transport import connection_pool
from tests.harness.connections import is_silent
from tests.harness.messages import REQUEST_ID, resp_array, with_entity_fields
from tests.harness.servers import LineServer
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until


@pytest.fixture
def stalled_cache(front):
    """A cache that stops reading from the only connection allowed, after one attempt.

    Yields the greenlet of that attempt, the cache's socket, and a function that reads up to some bytes.
    """
    front.upstream_client.pool.max_connections = 1
    front.body_budget.max_bytes = front.body_budget.free_bytes = 1 << 20
    front.cache.accept_loop.kill()
    first = gevent.spawn(front.execute_attempt, 1500, "first")
    sock, _ = front.cache.listener.accept()
    wait_until(lambda: sock.recv(1 << 16).startswith(b"do first"))

    def read_until(end):
        received = b""
        while end not in received and (data := sock.recv(1 << 20)):
            received += data
        return received

    yield first, sock, read_until
    sock.close()


LARGE_BODY = b"x" * (12 << 20)  # far more than the socket buffers of both sides hold


@pytest.mark.parametrize("end", ["client left", "time-out"])
def test_an_attempt_that_ends_half_written_fails_no_other_on_its_connection(front, stalled_cache, end):
    first, sock, _read_until = stalled_cache
    half = gevent.spawn(front.execute_attempt, 100 if end == "time-out" else 1500, "half", body=LARGE_BODY)
    wait_until(lambda: front.counters.counts["upstream.connection_shared"] == 1)
    gevent.sleep(0.01)
    if end == "client left":
        half.kill()
    else:
        assert half.get(timeout=TIMEOUT_SECONDS).result is AttemptResult.TIMEOUT
    sock.sendall(with_entity_fields(b"first HIT - 1\r\nx\r\n"))
    assert first.get(timeout=TIMEOUT_SECONDS).response.body == b"x"
    # The connection is closed, as no request is in flight on it and the rest of the request is useless.
    wait_until(lambda: not front.upstream_client.connection_count)


def test_a_half_written_request_is_completed_before_its_cancel(front, stalled_cache):
    first, sock, read_until = stalled_cache
    half = gevent.spawn(front.execute_attempt, 1500, "half", body=LARGE_BODY)
    wait_until(lambda: front.counters.counts["upstream.connection_shared"] == 1)
    half.kill()
    assert read_until(b"undo").endswith(b"x\r\nundo half\r\n")
    sock.sendall(with_entity_fields(b"first HIT - 1\r\nx\r\n"))
    assert first.get(timeout=TIMEOUT_SECONDS).response.body == b"x"


@pytest.mark.usefixtures("stalled_cache")
def test_no_request_is_queued_behind_a_half_written_one(front):
    half = gevent.spawn(front.execute_attempt, 1500, "half", body=LARGE_BODY)
    wait_until(lambda: front.counters.counts["upstream.connection_shared"] == 1)
    assert front.execute_attempt(request_id="third").result is AttemptResult.NOT_STARTED
    half.kill()


def test_a_response_to_a_half_written_request_closes_the_connection(front, stalled_cache):
    first, sock, _read_until = stalled_cache
    sock.sendall(with_entity_fields(b"first HIT - 1\r\nx\r\n"))
    first.get(timeout=TIMEOUT_SECONDS)
    half = gevent.spawn(front.execute_attempt, 1500, "half", body=LARGE_BODY)
    wait_until(lambda: front.counters.counts["attempt.sent"] == 2)
    sock.sendall(b"half SHED - 0\r\n\r\n")
    assert half.get(timeout=TIMEOUT_SECONDS).result is AttemptResult.REJECTED
    wait_until(lambda: not front.upstream_client.connection_count)


@pytest.mark.parametrize(
    "change, server_name",
    [({"started_ms": 5}, "cache"), ({"address": True}, "other"), ({"state": "left"}, None)],
)
def test_a_connection_to_an_outdated_address_or_start_is_not_used(front, change, server_name):
    other, connected, proceed = LineServer(), Event(), Event()
    acquire = front.upstream_client.pool.acquire

    def hold_first(cache, id):
        connection = acquire(cache, id)
        if not connected.is_set():
            connected.set()
            proceed.wait(TIMEOUT_SECONDS)
        return connection

    front.upstream_client.pool.acquire = hold_first
    attempt = gevent.spawn(front.execute_attempt, 1500)
    connected.wait(TIMEOUT_SECONDS)
    front.apply_endpoints(
        "s1", **{key: other.address if key == "address" else value for key, value in change.items()}
    )
    proceed.set()
    if server_name:
        server = other if server_name == "other" else front.cache
        assert server.wait_for_lines(1).startswith("do t1") and front.upstream_client.connection_count == 1
        assert (len(front.cache.sockets), server.line_sockets[0]) == (
            1 + (server_name == "cache"),
            server.sockets[-1],
        )  # nothing was written to the first connection
        server.line_sockets[0].sendall(with_entity_fields(b"t1 HIT - 1\r\nx\r\n"))
        assert attempt.get(timeout=TIMEOUT_SECONDS).response.body == b"x"
        assert len(front.cache.lines) + len(other.lines) == 1
    else:
        assert attempt.get(timeout=TIMEOUT_SECONDS).result is AttemptResult.CANCELLED
        assert not front.cache.lines
    other.close()


def test_body_budget_that_a_lost_attempt_waited_for_goes_to_the_next(front):
    front.body_budget.reserve(600)
    lost = gevent.spawn(front.execute_attempt, 1500, "a")
    front.cache.wait_for_lines(1)
    front.cache.sockets[0].sendall(with_entity_fields(b"a HIT - 900\r\n"))
    wait_until(lambda: front.body_budget.has_waiters)
    served = gevent.spawn(front.execute_attempt, 1500, "b")
    front.cache.wait_for_lines(2)
    front.cache.sockets[1].sendall(with_entity_fields(b"b HIT - 300\r\n"))
    wait_until(lambda: len(front.body_budget.waiting) == 2)
    lost.kill()  # as if its client left: the connection closes, which ends the wait for budget
    wait_until(lambda: not front.body_budget.has_waiters)
    front.cache.sockets[1].sendall(b"x" * 300 + b"\r\n")
    assert (
        len(served.get(timeout=TIMEOUT_SECONDS).response.body) == 300 and front.body_budget.free_bytes == 100
    )


def test_a_connection_that_is_opened_after_its_load_report_request_timed_out_becomes_idle(
    front, connection_gate
):
    cache = front.upstreams.by_id["s1"].upstream
    assert front.upstream_client.request_load_report(cache, 20 * NS_PER_MS) == {}
    connection_gate.set()
    wait_until(lambda: front.upstream_client.connection_count == 1)
    gevent.sleep(0.01)
    assert len(front.upstream_client.pool.by_upstream[cache].idle) == 1 and not front.cache.lines


def create_idle_connection(front):
    """Return an idle connection that was used for one attempt, and the cache's socket of it."""
    ended = front.execute_attempt(meanwhile=front.cache_responds(b"t1 HIT - 1\r\nx\r\n"))
    assert ended.response.body == b"x"
    (connection,) = front.upstream_client.pool.by_upstream[front.upstreams.by_id["s1"].upstream].idle
    return connection, front.cache.sockets[0]


@pytest.mark.parametrize("end", ["closed", "reset"])
def test_a_connection_that_the_cache_has_just_closed_is_not_reused(front, end):
    connection, cache_sock = create_idle_connection(front)
    if end == "reset":
        cache_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        os.close(cache_sock.detach())
    else:
        cache_sock.shutdown(socket.SHUT_WR)
    # No other greenlet has run since, so the reader of the connection has not read the end yet.
    ended = front.execute_attempt(
        request_id="t2", meanwhile=front.cache_responds(b"t2 HIT - 1\r\ny\r\n", 1, 2)
    )
    assert ended.result is AttemptResult.OK and ended.response.body == b"y" and connection.closed


def test_an_attempt_of_which_no_byte_was_written_counts_as_not_run(front, monkeypatch):
    """The connection ends after the pool has checked for its end and before the write."""
    _connection, cache_sock = create_idle_connection(front)
    monkeypatch.setattr(connection_pool, "has_ended", lambda _sock: False)
    cache_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    os.close(cache_sock.detach())
    orders = []
    assert front.execute_attempt(request_id="t2", meanwhile=orders.append).result is AttemptResult.RESET
    assert orders[0].written is False and len(front.cache.lines) == 1


def test_responses_that_arrive_after_the_cancel_are_dropped(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    sock.sendall(resp_array(b"NEVERMIND", b"7"))
    with suppress(OSError):
        for _ in range(2):
            front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    sock.sendall(resp_array(b"STATUS", b"8", b""))
    assert sock.recv(4096) == resp_array(b"8", b"yes", b"", b"") and is_silent(sock)
    wait_until(
        lambda: (
            front.body_budget.free_bytes == front.body_budget.max_bytes
            and not len(front.policy_driver.open_requests)
        )
    )
