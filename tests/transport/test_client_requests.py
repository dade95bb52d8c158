"""Client requests, from the bytes of a message to the bytes of its response."""

import time
from contextlib import suppress

import gevent
import pytest
from gevent import socket

from marbleglade.model.watch_event import Purge
from marbleglade.state.recent_trace_ids import RecentTraceIds
from tests.harness.connections import reset
from tests.harness.messages import (
    DEFAULT_OBJECT,
    REQUEST_ID,
    numbered_id,
    resp_array,
    with_entity_fields,
)
from tests.harness.waiting import wait_until

CACHED_ETAG_FIELD = ",cached=4be0c1927d55a6f3"  # sent by a client that has a cached copy of the object


@pytest.mark.parametrize(
    ("cache_response", "response"),
    [
        (
            b"HIT report=x1:1.5,entity=4be0c1927d55a6f3,issued=5 4\r\n\r\n\0x\r\n",
            (b"7", b"ok", b"", b"\r\n\0x"),
        ),
        (b"VALID entity=4be0c1927d55a6f3,issued=5 0\r\n\r\n", (b"7", b"ok", b"keep=1", b"")),
        (b"NONE - 0\r\n\r\n", (b"7", b"full", b"pause=40", b"")),
    ],
)
def test_a_request_is_forwarded_and_the_response_returned_complete(front, cache_response, response):
    sock = front.send_request(REQUEST_ID + b" " + cache_response, more=CACHED_ETAG_FIELD)
    assert sock.recv(4096) == resp_array(*response)
    assert front.cache.lines[0].startswith(
        f"do 9b1f03aa5c7e2d41 profile={front.class_name},thing=7f3a9c21e0b4d655,nth=3,max="
    )
    assert front.cache.lines[0].endswith(",prio=2,mine=4be0c1927d55a6f3 0")
    congestion = 1.5 if b"x1" in cache_response else 0.0
    assert front.upstreams.by_id["s1"].upstream.congestion == congestion
    assert (
        len(front.policy_driver.open_requests) == 0
        and front.body_budget.free_bytes == front.body_budget.max_bytes
    )


@pytest.mark.parametrize(
    ("cached_etag_field", "response"),
    [("", (b"8", b"ok", b"", b"body")), (CACHED_ETAG_FIELD, (b"8", b"ok", b"keep=1", b""))],
)
def test_the_local_cache_serves_an_object_until_it_is_purged(front, cached_etag_field, response):
    front.prefer_local_cache()
    issued_ms = time.time() * 1000
    sock = front.send_request(
        REQUEST_ID + b" HIT entity=4be0c1927d55a6f3,issued=%d 4\r\nbody\r\n" % issued_ms
    )
    sock.recv(4096)
    sock.sendall(front.request(8, numbered_id(8), more=cached_etag_field))
    assert sock.recv(4096) == resp_array(*response) and len(front.cache.lines) == 1
    front.request_handler.events.apply(Purge(2, DEFAULT_OBJECT, 0, int(time.time() * 1000) + 5000))
    sock.sendall(front.request(9, numbered_id(9)))
    front.cache.wait_for_lines(2)


def test_a_cancelled_request_gets_no_response_and_its_attempt_is_cancelled(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    sock.sendall(resp_array(b"NEVERMIND", b"7") + resp_array(b"NEVERMIND", b"99"))
    assert front.cache.wait_for_lines(2) == "undo 9b1f03aa5c7e2d41"
    with suppress(OSError):
        front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    sock.sendall(resp_array(b"STATUS", b"8", b""))
    assert sock.recv(4096) == resp_array(b"8", b"yes", b"", b"")
    assert len(front.policy_driver.open_requests) == 0


@pytest.mark.parametrize(
    ("message", "response"),
    [
        (resp_array(b"PUT", b"5"), resp_array(b"5", b"fault", b"", b"")),
        (resp_array(b"ASK", b"5", b"unknown", b""), resp_array(b"5", b"fault", b"", b"")),
    ],
)
def test_an_unusable_message_is_answered_with_a_failure_for_its_tag(front, message, response):
    sock = front.connect_client()
    sock.sendall(message)
    assert sock.recv(4096) == response and front.cache.lines == []


def test_a_repeated_trace_id_fails_at_admission(front):
    first, second = front.connect_client(), front.connect_client()
    first.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    second.sendall(front.request(1).replace(b"7f3a", b"0000"))
    assert second.recv(4096) == resp_array(b"1", b"fault", b"", b"")
    assert len(front.cache.lines) == 1 and len(front.policy_driver.open_requests) == 1


def test_trace_ids_are_remembered_for_their_retention_whatever_their_case():
    trace_ids = RecentTraceIds(10)
    assert trace_ids.is_new("ab", 1) and not trace_ids.is_new("AB", 11) and trace_ids.is_new("ab", 12)


def test_requests_over_the_limit_of_a_connection_are_rejected_at_once(front):
    sock = front.connect_client()
    front.policy_driver.policy.handle_request = lambda _request: None
    sock.sendall(b"".join(front.request(tag, numbered_id(tag)) for tag in range(1, 34)))
    assert sock.recv(4096) == resp_array(b"33", b"full", b"", b"")


def test_rejections_in_a_long_overload_end_no_connection(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    front.request_handler.over_capacity = lambda: True
    for tag in range(100, 140):
        sock.sendall(front.request(tag, numbered_id(tag)))
        assert sock.recv(4096) == resp_array(b"%d" % tag, b"full", b"", b"")
    front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == resp_array(b"7", b"ok", b"", b"x")


def test_a_reset_connection_ends_its_requests(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    reset(sock)
    assert front.cache.wait_for_lines(2).startswith("undo")
    wait_until(lambda: not front.policy_driver.open_requests.by_request)


def test_a_half_closed_client_still_gets_the_response_of_its_attempt(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    sock.shutdown(socket.SHUT_WR)
    front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == resp_array(b"7", b"ok", b"", b"x") and sock.recv(10) == b""


def test_no_attempt_is_sent_for_a_client_that_half_closes_while_a_connection_is_opened(
    front, connection_gate
):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    wait_until(lambda: front.upstream_client.in_flight)
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(4096) == resp_array(b"7", b"full", b"pause=40", b"") and sock.recv(10) == b""
    connection_gate.set()
    wait_until(lambda: front.counters.counts["attempt.stale"] == 1)
    gevent.sleep(0.01)
    assert front.cache.lines == [] and not len(front.policy_driver.open_requests)


def test_no_attempt_is_sent_for_a_client_that_half_closes_right_after_its_request(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(4096) == resp_array(b"7", b"full", b"pause=40", b"") and sock.recv(10) == b""
    gevent.sleep(0.01)
    assert front.cache.lines == []


@pytest.mark.parametrize("after_attempt", [False, True])
def test_an_exception_in_the_policy_fails_only_its_own_request(front, after_attempt):
    policy = front.policy_driver.policy
    handle_request, attempt_finished = policy.handle_request, policy.attempt_finished

    def handle_and_raise(request):
        if after_attempt:
            handle_request(request)
            policy.attempt_finished = lambda _attempt: 1 // 0
        raise ZeroDivisionError

    policy.handle_request = handle_and_raise
    sock = front.connect_client()
    sock.sendall(front.request(7))
    assert sock.recv(4096) == resp_array(b"7", b"fault", b"", b"")
    assert not len(front.policy_driver.open_requests) and not front.policy_driver.in_call
    policy.handle_request, policy.attempt_finished = handle_request, attempt_finished
    sock.sendall(front.request(8, numbered_id(8)))
    front.cache.wait_for_lines(1)
    assert front.counters.counts["exception.request"] == 1
