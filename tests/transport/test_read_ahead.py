"""Reading ahead from a client that does not read its responses, so that its cancels are noticed."""

from __future__ import annotations

from dataclasses import dataclass

import gevent
import pytest
from gevent import socket

from marbleglade.transport.client_connection import ClientConnection
from marbleglade.transport.sockets import READ_BUFFER
from tests.harness.connections import read_bytes
from tests.harness.departure_front import CACHED_OBJECT, CACHED_SIZE, UNKNOWN_CANCEL, DepartureFront
from tests.harness.messages import REQUEST_ID, numbered_id, resp_array, with_entity_fields
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until

TAG = 7
FLOOD = UNKNOWN_CANCEL * 4500  # 135 KB: more than one read buffer


@dataclass(frozen=True)
class BlockedClient:
    """A client that does not read while the front writes a response to it.

    Attributes:
        front: The front.
        sock: The client's socket.
        connection: The front's state of the connection.
        response: The complete bytes of that response.
    """

    front: DepartureFront
    sock: socket.socket
    connection: ClientConnection
    response: bytes

    def request(self) -> bytes:
        return self.front.request(TAG, REQUEST_ID.decode())

    def read_response(self) -> None:
        assert read_bytes(self.sock, len(self.response)) == self.response


@pytest.fixture
def client(start_front):
    front = start_front()
    front.cache_object()
    sock, connection = front.connect_slow_client()
    sock.sendall(front.request(1, numbered_id(1), CACHED_OBJECT))
    wait_until(lambda: connection.flush_done)
    return BlockedClient(front, sock, connection, resp_array(b"1", b"ok", b"", b"x" * CACHED_SIZE))


def test_messages_read_ahead_are_handled_once_the_client_has_read_its_responses(client):
    client.sock.sendall(client.request())
    wait_until(lambda: client.connection.pending_messages)
    recorded, connections = [], client.front.client_listener.connections
    close_if_finished = connections.close_if_finished

    def record_and_close(connection: ClientConnection) -> None:
        recorded.append((len(connection.pending_messages), connection.has_pending_work))
        close_if_finished(connection)

    # Called once the responses were written, before pending messages are handled.
    connections.close_if_finished = record_and_close
    assert not client.front.attempts(REQUEST_ID.decode())
    client.read_response()
    client.front.wait_for_attempts(REQUEST_ID.decode(), 1)
    assert (1, True) in recorded


def test_no_more_is_read_ahead_than_one_buffer_holds(client):
    sending = gevent.spawn(client.sock.sendall, FLOOD)
    pending, most = client.connection.pending_messages, len(READ_BUFFER) // len(UNKNOWN_CANCEL)
    wait_until(lambda: len(pending) >= most - 1)
    client.front.run_loop_turns()
    assert len(pending) <= most
    client.read_response()
    sending.get(timeout=TIMEOUT_SECONDS)
    wait_until(lambda: not client.connection.pending_messages)


@pytest.mark.parametrize("sent_separately", [False, True])
@pytest.mark.parametrize("invalid_frame", [b"GET / HTTP/1.1\r\n\r\n", resp_array(b"NEVERMIND", b"x")])
def test_requests_before_an_invalid_frame_are_answered_before_the_connection_ends(
    client, invalid_frame, sent_separately
):
    connection = client.connection
    if sent_separately:
        client.sock.sendall(client.request())
        wait_until(lambda: connection.pending_messages)
        client.sock.sendall(invalid_frame)
    else:
        client.sock.sendall(client.request() + invalid_frame)
    wait_until(lambda: connection.frames.error or len(connection.pending_messages) == 2)
    client.read_response()
    attempt = client.front.wait_for_attempts(REQUEST_ID.decode(), 1)
    attempt.sock.sendall(REQUEST_ID + with_entity_fields(b" HIT - 2\r\nok\r\n"))
    last_response = resp_array(b"%d" % TAG, b"ok", b"", b"ok")
    assert read_bytes(client.sock, len(last_response) + 1) == last_response  # then the stream ends
