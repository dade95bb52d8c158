"""Reading of client connections: invalid frames, floods, and the limit on buffered bytes."""

from contextlib import suppress

import pytest

from tests.harness.messages import REQUEST_ID, numbered_id, resp_array, with_entity_fields
from tests.harness.waiting import wait_until

# The beginning of a request that announces a body of 200,000 bytes, up to that body.
LARGE_REQUEST_HEADER = b"*5\r\n$3\r\nASK\r\n$1\r\n%d\r\n$4\r\npage\r\n$1\r\nx\r\n$200000\r\n"


def test_an_invalid_frame_ends_only_its_own_connection(front):
    invalid, valid = front.connect_client(), front.connect_client()
    invalid.sendall(b"GET / HTTP/1.1\r\n\r\n")
    assert invalid.recv(10) == b""
    valid.sendall(resp_array(b"STATUS", b"1"))
    assert valid.recv(4096) == resp_array(b"1", b"yes", b"", b"")


@pytest.mark.parametrize(
    "invalid_frame",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 100_000,
        resp_array(b"ASK", b"x"),
        resp_array(b"ASK", b"7", b"page", b""),
    ],
)
def test_requests_before_an_invalid_frame_are_answered_before_the_connection_ends(
    front, connections, invalid_frame
):
    sock = front.connect_client()
    sock.sendall(front.request(7) + invalid_frame)
    front.cache.wait_for_lines(1)
    sock.sendall(front.request(8, numbered_id(8)))  # nothing after the invalid frame is processed
    front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == resp_array(b"7", b"ok", b"", b"x") and sock.recv(10) == b""
    sock.close()
    wait_until(lambda: not connections.closing and not connections.open)
    assert len(front.cache.lines) == 1 and connections.buffers.used == 0


def test_a_client_that_sends_only_unusable_messages_is_closed(front, connections):
    sock, received = front.connect_client(), b""
    sock.sendall(resp_array(b"PUT", b"5") * 100)
    with suppress(ConnectionError):
        while data := sock.recv(65536):
            received += data
    assert received == resp_array(b"5", b"fault", b"", b"") * 33 and not connections.open


def test_other_clients_are_served_during_a_flood(front, connections):
    front.policy_driver.policy.handle_request = lambda request: front.policy_driver.reject(request)
    flooding_sock, other_sock = front.connect_client(), front.connect_client()
    wait_until(lambda: len(connections.open) == 2)
    by_address = {client.sock.getpeername(): client for client in connections.open}
    flooding = by_address[flooding_sock.getsockname()]
    dispatcher, from_flooding = front.client_listener.reader._dispatcher, []
    dispatch = dispatcher.dispatch

    def record_and_dispatch(client, received):
        from_flooding.append(client is flooding)
        dispatch(client, received)

    dispatcher.dispatch = record_and_dispatch
    flooding_sock.sendall(b"".join(front.request(tag, numbered_id(tag)) for tag in range(1, 200)))
    other_sock.sendall(front.request(1))
    assert other_sock.recv(4096) == resp_array(b"1", b"full", b"", b"")
    assert from_flooding.count(False) == 1 and from_flooding.index(False) <= 4 * 32


def test_a_partial_frame_over_the_buffer_limit_ends_its_connection(front, connections):
    sock = front.connect_client()
    with suppress(OSError):
        sock.sendall(LARGE_REQUEST_HEADER % 1 + b"x" * 150_000)
        sock.recv(4096)
    wait_until(lambda: front.counters.counts["client.no_room"])
    assert connections.open == {}


def test_a_request_whose_body_exceeds_the_buffer_limit_is_rejected(front, connections):
    sock = front.connect_client()
    connections.buffers.used = 99_000
    sock.sendall(front.request(7).replace(b"$0\r\n\r\n", b"$2000\r\n" + b"x" * 2000 + b"\r\n"))
    assert sock.recv(4096) == resp_array(b"7", b"full", b"", b"")
    assert front.counters.counts["request.rejected_at_admission"] and connections.open


def test_for_partial_frames_over_the_limit_a_connection_without_pending_responses_is_closed(
    front, connections
):
    partial_request = LARGE_REQUEST_HEADER % 9 + b"x" * 60_000
    idle, busy = front.connect_client(), front.connect_client()
    idle.sendall(partial_request)
    wait_until(lambda: connections.buffers.used > 50_000)
    busy.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    busy.sendall(partial_request)
    assert idle.recv(10) == b""
    assert front.counters.counts["client.no_room"] == 1
    front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    assert busy.recv(4096) == resp_array(b"7", b"ok", b"", b"x")
