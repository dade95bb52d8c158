"""Writing to slow clients: one response at a time, within the time limit and the buffer limit."""

import gevent
from gevent import socket

from tests.harness.connections import SMALL_BUFFER, read_bytes
from tests.harness.messages import REQUEST_ID, numbered_id, resp_array, with_entity_fields
from tests.harness.waiting import wait_until

CACHED_SIZE = 60_000  # size of the front's cached object, bytes; exceeds a slow client's socket buffers
CACHED_RESPONSE = resp_array(b"7", b"ok", b"", b"x" * CACHED_SIZE)


def request_for_another_object(front, tag, timeout_ms=1000):
    """Return a request for an object that is not in the front's local cache."""
    request = front.request(tag, numbered_id(tag), timeout_ms=timeout_ms)
    return request.replace(b"entity=7f", b"entity=00")


def test_a_client_that_does_not_read_is_closed_in_time(front, connections):
    front.body_budget.max_bytes = front.body_budget.free_bytes = 1 << 20
    sock = front.connect_client()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    for tag in range(1, 31):
        sock.sendall(front.request(tag, request_id=numbered_id(tag), timeout_ms=300))
    wait_until(lambda: len(front.cache.lines) >= 4)
    client = next(iter(connections.open))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    for number, cache_sock in enumerate(front.cache.sockets):
        request_id = front.cache.lines[number].split()[1].encode()
        response = request_id + b" HIT - 200000\r\n" + b"x" * 200_000 + b"\r\n"
        cache_sock.sendall(with_entity_fields(response))
    wait_until(lambda: not connections.open)
    wait_until(lambda: not front.policy_driver.open_requests.by_request)
    assert front.body_budget.free_bytes == front.body_budget.max_bytes


def test_a_cancel_is_handled_while_responses_wait_for_their_reader(front):
    front.serve_from_local_cache(CACHED_SIZE)
    sock, client = front.connect_slow_client()
    sock.sendall(front.request(7))
    wait_until(lambda: client.flush_done)
    sock.sendall(request_for_another_object(front, 8))
    front.cache.wait_for_lines(1)
    sock.sendall(resp_array(b"NEVERMIND", b"8"))
    assert front.cache.wait_for_lines(2) == f"undo {numbered_id(8)}"
    assert client.flush_done
    assert read_bytes(sock, len(CACHED_RESPONSE)) == CACHED_RESPONSE


def test_a_response_that_is_late_since_it_waited_for_the_lock_ends_no_connection(front):
    """Immediate responses hold the lock; a late response behind them must not close the connection."""
    front.serve_from_local_cache(CACHED_SIZE)
    sock, client = front.connect_slow_client()
    sock.sendall(front.request(7))
    wait_until(lambda: client.flush_done)
    sock.sendall(request_for_another_object(front, 8, timeout_ms=20))
    front.cache.wait_for_lines(1)
    front.cache.sockets[0].sendall(with_entity_fields(numbered_id(8).encode() + b" HIT - 1\r\ny\r\n"))
    gevent.sleep(0.15)  # until after the deadline and its slack; the client has not read yet
    assert not client.closed and front.counters.counts["client.slow_reader"] == 0
    for tag in (9, 10):  # further immediate responses are written after the waiting one
        sock.sendall(front.request(tag, numbered_id(tag)))
    wait_until(lambda: client.immediate_responses)
    responses = [
        CACHED_RESPONSE,
        resp_array(b"8", b"ok", b"", b"y"),
        resp_array(b"9", b"full", b"", b"") + resp_array(b"10", b"full", b"", b""),
    ]
    assert read_bytes(sock, sum(map(len, responses))) == b"".join(responses)


def test_a_large_response_over_the_buffer_limit_waits_and_ends_no_connection(front, connections):
    front.body_budget.max_bytes = front.body_budget.free_bytes = 1 << 20
    sock, _ = front.connect_slow_client()
    sock.sendall(front.request(7) + front.request(8, numbered_id(8)))
    front.cache.wait_for_lines(2)
    connections.buffers.used += 99_999
    for line, cache_sock in zip(front.cache.lines, front.cache.line_sockets, strict=True):
        size = 60_000 if REQUEST_ID.decode() in line else 1
        head = line.split()[1].encode() + b" HIT - %d\r\n" % size
        cache_sock.sendall(with_entity_fields(head + b"x" * size + b"\r\n"))
    large, small = resp_array(b"7", b"ok", b"", b"x" * 60_000), resp_array(b"8", b"ok", b"", b"x")
    assert read_bytes(sock, len(large) + len(small)) in (large + small, small + large)
    assert front.counters.counts["client.slow_reader"] == 0


def test_a_cached_object_over_the_buffer_limit_is_rejected_and_the_connection_stays(front, connections):
    front.serve_from_local_cache(CACHED_SIZE)
    connections.buffers.used = 50_000
    sock = front.connect_client()
    for tag in (7, 8):
        sock.sendall(front.request(tag, numbered_id(tag)))
        assert sock.recv(4096) == resp_array(b"%d" % tag, b"full", b"", b"")
