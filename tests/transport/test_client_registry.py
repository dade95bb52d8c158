"""The registry of client connections: idle timeouts, the connection limit, and graceful close."""

import gevent
import pytest

from marbleglade.runtime import clock
from tests.harness.messages import REQUEST_ID, numbered_id, resp_array, with_entity_fields
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until

STATUS_QUERY = resp_array(b"STATUS", b"1")


@pytest.mark.parametrize(
    ("sent", "after_ms", "closed"),
    [
        (b"", 2100, True),
        (b"", 1900, False),
        (b"*3\r\n$6\r\nSTATUS\r\n", 2100, True),
        (STATUS_QUERY, 2100, False),
        (STATUS_QUERY, 5100, True),
        (STATUS_QUERY + b"*", 2100, True),
    ],
)
def test_a_silent_or_unfinished_connection_is_closed_after_its_time_out(
    front, connections, sent, after_ms, closed
):
    sock, now = front.connect_client(), clock.now()
    front.client_clock = lambda: now
    wait_until(lambda: connections.open)
    client = next(iter(connections.open))
    sock.sendall(sent)
    wait_until(lambda: not sent or client.has_sent_message or client.frames.has_partial_frame)
    gevent.sleep(0.01)
    front.client_clock = lambda: now + after_ms * NS_PER_MS
    connections.sweep()
    assert client.closed == closed


def test_a_connection_with_an_open_request_is_not_idle(front, connections):
    sock, now = front.connect_client(), clock.now()
    sock.sendall(front.request(7) + b"*")
    front.cache.wait_for_lines(1)
    front.client_clock = lambda: now + 60_000 * NS_PER_MS
    connections.sweep()
    assert len(connections.open) == 1


@pytest.mark.parametrize("closed_by", ["sweep", "limit"])
def test_a_connection_with_an_unread_request_is_not_idle(front, connections, closed_by):
    socks = [front.connect_client() for _ in range(3)]
    wait_until(lambda: len(connections.open) == 3)
    gevent.sleep(0.01)
    now = clock.now()
    front.client_clock = lambda: now + 6000 * NS_PER_MS
    socks[0].sendall(front.request(7))  # the front reads it only once this test yields
    if closed_by == "sweep":
        connections.sweep()
    else:
        front.connect_client()
        sock, _ = front.listener.accept()
        front.client_listener._start_connection(sock, clock.now())
    front.cache.wait_for_lines(1)
    front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    assert socks[0].recv(4096) == resp_array(b"7", b"ok", b"", b"x") and socks[1].recv(10) == b""


def test_over_the_limit_a_silent_connection_is_closed_before_one_that_sent_no_request(front):
    requesting, querying, silent = [front.connect_client() for _ in range(3)]
    front.policy_driver.policy.handle_request = front.policy_driver.reject
    for sock, message in ((requesting, front.request(1)), (querying, STATUS_QUERY)):
        sock.sendall(message)
        sock.recv(4096)
    now = clock.now()
    front.client_clock = lambda: now + 300 * NS_PER_MS
    for number, closed in enumerate((silent, querying)):
        front.connect_client().sendall(front.request(1, numbered_id(number)))
        assert closed.recv(10) == b""
    wait_until(lambda: front.counters.counts["client.over_share"] == 2)
    requesting.sendall(resp_array(b"STATUS", b"2"))
    assert requesting.recv(4096) == resp_array(b"2", b"yes", b"", b"")


def test_a_client_that_does_not_close_after_a_graceful_close_is_closed(front, connections):
    sock = front.connect_client()
    sock.sendall(b"garbage\r\n")
    assert sock.recv(10) == b"" and len(connections.closing) == 1
    now = clock.now()
    front.client_clock = lambda: now + 400 * NS_PER_MS
    connections.sweep()
    assert not connections.closing


def test_closing_connections_count_toward_the_limit_and_are_closed_first(front, connections):
    """Each closing connection holds a descriptor, so the limit has to include the closing ones."""
    for number in range(4):
        sock = front.connect_client()
        sock.sendall(b"garbage\r\n")
        assert sock.recv(10) == b""
        assert len(connections.open) + len(connections.closing) == min(number + 1, 3)
    socks = [front.connect_client() for _ in range(3)]
    for sock in socks:
        sock.sendall(resp_array(b"STATUS", b"8", b""))
        assert sock.recv(4096) == resp_array(b"8", b"yes", b"", b"")
    assert len(connections.open) == 3 and not connections.closing
    assert front.counters.counts["client.over_share"] == 4


def test_an_exception_for_a_new_connection_does_not_end_accepting(front):
    start_connection = front.client_listener._start_connection
    front.client_listener._start_connection = lambda *_arguments: 1 // 0
    front.connect_client()
    wait_until(lambda: front.counters.counts["exception.accept"])
    front.client_listener._start_connection = start_connection
    sock = front.connect_client()
    sock.sendall(STATUS_QUERY)
    assert sock.recv(4096) == resp_array(b"1", b"yes", b"", b"")
