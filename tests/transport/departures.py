"""The ways in which a client leaves: what happens before, and how it closes, resets or cancels."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from marbleglade.transport.client_connection import ClientConnection, ReceivedMessage
from marbleglade.transport.sockets import send_now
from tests.harness.connections import reset
from tests.harness.departure_front import UNKNOWN_CANCEL, DepartureFront
from tests.harness.messages import resp_array
from tests.harness.waiting import wait_until
from tests.transport.departure_states import TAG, block_writes

FLOOD = UNKNOWN_CANCEL * 1500  # 45 KB, which fit the socket buffers; the front handles them one by one
HANDLED_BEFORE_PAUSE = 100  # messages of a flood that are handled before the test pauses the front
HALF_MESSAGE = b"*3\r\n$6\r\nSTATUS\r\n$1"
FLOODING_CLIENTS = 4  # number of other clients that send a flood
OTHER_CLIENTS, OPEN_REQUESTS_EACH = 7, 30  # other clients, and the open requests of each


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def cancel(sock: socket.socket) -> None:
    sock.sendall(resp_array(b"NEVERMIND", b"%d" % TAG))


def without_other_traffic(front: DepartureFront, sock: socket.socket) -> None:
    """Nothing special happens before the client leaves."""


def during_writes(front: DepartureFront, sock: socket.socket) -> None:
    block_writes(front, sock, 3)
    front.run_loop_turns()


def over_the_buffer_limit(front: DepartureFront, sock: socket.socket) -> None:
    """The front stops reading this client, as the buffer limit is exceeded."""
    front.client_listener.connections.buffers.limit = 0
    sock.sendall(HALF_MESSAGE)
    wait_until(
        lambda: any(
            connection.frames.has_partial_frame for connection in front.client_listener.connections.open
        )
    )


def behind_unread_bytes(front: DepartureFront, sock: socket.socket) -> None:
    """The front is paused while it handles a flood, behind which the end of the connection is unread."""
    dispatcher, handled = front.client_listener.reader._dispatcher, itertools.count(1)
    dispatch = dispatcher.dispatch

    def dispatch_some(client: ClientConnection, message: ReceivedMessage) -> None:
        if next(handled) > HANDLED_BEFORE_PAUSE:
            front.reads_permitted.wait()
        dispatch(client, message)

    dispatcher.dispatch = dispatch_some
    assert send_now(sock, FLOOD) == len(FLOOD)


def during_floods_of_other_clients(front: DepartureFront, _sock: socket.socket) -> None:
    """The front is busy with floods of other clients when the client leaves."""
    others = [front.connect_client() for _ in range(FLOODING_CLIENTS)]
    for other in others:
        assert send_now(other, FLOOD) == len(FLOOD)


def while_hundreds_of_requests_are_open(front: DepartureFront, _sock: socket.socket) -> None:
    for client in range(OTHER_CLIENTS):
        other = front.connect_client()
        for tag in range(1, OPEN_REQUESTS_EACH + 1):
            other.sendall(front.request(tag, f"{client + 1:08x}{tag:08x}"))
    wait_until(lambda: len(front.policy_driver.open_requests) >= OTHER_CLIENTS * OPEN_REQUESTS_EACH // 2)


@dataclass(frozen=True)
class Departure:
    """One way to leave: what happens before, and what the client does."""

    before: Callable[[DepartureFront, socket.socket], None]
    leave: Callable[[socket.socket], None]

    def __str__(self) -> str:
        return f"{self.leave.__name__} {self.before.__name__}"


DEPARTURES = [
    *(Departure(without_other_traffic, leave) for leave in (close, half_close, reset, cancel)),
    *(Departure(during_writes, leave) for leave in (close, half_close, reset, cancel)),
    *(Departure(behind_unread_bytes, leave) for leave in (close, half_close, reset)),
    *(Departure(over_the_buffer_limit, leave) for leave in (close, half_close, reset)),
    *(Departure(during_floods_of_other_clients, leave) for leave in (close, half_close, reset, cancel)),
    *(Departure(while_hundreds_of_requests_are_open, leave) for leave in (close, half_close, reset, cancel)),
]
