"""States of a request in which its client leaves: how a test sets each state up and resolves it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from gevent import socket

from marbleglade.policy.policy import Policy
from tests.harness.connections import reset
from tests.harness.departure_front import CACHED_OBJECT, DepartureFront, ReportFirstPolicy
from tests.harness.gated_network import ArrivedAttempt
from tests.harness.messages import with_entity_fields
from tests.harness.waiting import wait_until

TAG, REQUEST_ID = 7, "9b1f03aa5c7e2d41"
LARGE_BODY = b"x" * 200_000  # far more than the socket buffers between the front and a cache hold


def respond(attempt: ArrivedAttempt, text: bytes) -> None:
    """Send a response on the connection of an attempt, which may have been closed."""
    with suppress(OSError):
        attempt.sock.sendall(attempt.request_id.encode() + text)


@dataclass(frozen=True)
class State:
    """One state of a request, and how many attempts follow its resolution if the client stays."""

    name: str
    arrange: Callable[[DepartureFront, socket.socket], None]
    resolve: Callable[[DepartureFront], None]
    attempts_after: int = 1
    policy: type[Policy] = Policy

    def __str__(self) -> str:
        return self.name


def send_request(front: DepartureFront, sock: socket.socket, body: bytes = b"") -> None:
    sock.sendall(front.request(TAG, REQUEST_ID, body=body))


def is_write_blocked(front: DepartureFront) -> bool:
    """Return whether a write to some client is blocked because the client does not read."""
    return any(connection.flush_done for connection in front.client_listener.connections.open)


def block_writes(front: DepartureFront, sock: socket.socket, responses: int) -> None:
    """Block the writes to this client with more responses than it reads."""
    front.cache_object()
    for number in range(responses):
        sock.sendall(front.request(50 + number, f"{number + 1:016x}", CACHED_OBJECT))
    wait_until(lambda: is_write_blocked(front))


def waits_for_connection(front: DepartureFront, sock: socket.socket) -> None:
    front.network.close_gate()
    send_request(front, sock)
    wait_until(lambda: front.network.waiting)


def connection_opens(front: DepartureFront) -> None:
    front.network.open_gate()


def connection_refused(front: DepartureFront) -> None:
    front.network.refuse_one = True
    front.network.open_gate()


def waits_for_report(front: DepartureFront, sock: socket.socket) -> None:
    send_request(front, sock)
    wait_until(lambda: any(cache.health_checks for cache in front.caches))


def report_arrives(front: DepartureFront) -> None:
    for cache in front.caches:
        for tag, sock in cache.health_checks:
            sock.sendall(b"%b PONG report=x1:0 0\r\n\r\n" % tag.encode())


def between_attempts(front: DepartureFront, sock: socket.socket) -> None:
    """The first attempt has failed; the second one waits for its connection."""
    send_request(front, sock)
    first = front.wait_for_attempts(REQUEST_ID, 1)
    front.network.close_gate()
    # A partial response and a reset end this connection, so the next attempt needs a new one.
    first.sock.sendall(REQUEST_ID.encode() + b" NO")
    reset(first.sock)
    wait_until(lambda: front.network.waiting)


def in_flight(front: DepartureFront, sock: socket.socket) -> None:
    send_request(front, sock)
    front.wait_for_attempts(REQUEST_ID, 1)


def attempt_rejected(front: DepartureFront) -> None:
    respond(front.attempts(REQUEST_ID)[0], b" SHED - 0\r\n\r\n")


def connection_reset(front: DepartureFront) -> None:
    reset(front.attempts(REQUEST_ID)[0].sock)


def half_written(front: DepartureFront, sock: socket.socket) -> None:
    for cache in front.caches:
        cache.reads.clear()
    send_request(front, sock, LARGE_BODY)
    wait_until(lambda: any(cache.sockets for cache in front.caches))
    wait_until(lambda: front.counters.counts["attempt.sent"])


def caches_reset_half_written(front: DepartureFront) -> None:
    """The caches reset the connections with partly read requests, and read later connections."""
    for cache in front.caches:
        for sock in cache.sockets:
            reset(sock)
        cache.sockets.clear()
        cache.reads.set()


def response_half_read(front: DepartureFront, sock: socket.socket) -> None:
    in_flight(front, sock)
    respond(front.attempts(REQUEST_ID)[0], with_entity_fields(b" HIT - 50000\r\n" + b"x" * 100))
    front.run_loop_turns(5)


def response_waits_for_lock(front: DepartureFront, sock: socket.socket) -> None:
    """The cache's response is complete, but waits for the write of a cached object that is not read."""
    in_flight(front, sock)
    block_writes(front, sock, 1)
    respond(front.attempts(REQUEST_ID)[0], with_entity_fields(b" HIT - 9\r\n" + b"x" * 9 + b"\r\n"))
    wait_until(lambda: front.counters.counts["attempt.ok"])


def cached_object_being_written(front: DepartureFront, sock: socket.socket) -> None:
    """A cached object is being written to a client that does not read."""
    front.cache_object()
    sock.sendall(front.request(TAG, REQUEST_ID, CACHED_OBJECT))
    wait_until(lambda: is_write_blocked(front))


def do_nothing(front: DepartureFront) -> None:
    """There is nothing to resolve, since the client itself holds up the request."""


STATES = [
    State("waits for a connection that comes up", waits_for_connection, connection_opens),
    State("waits for a connection that is refused", waits_for_connection, connection_refused),
    State("waits for a report", waits_for_report, report_arrives, policy=ReportFirstPolicy),
    State("between two attempts", between_attempts, connection_opens),
    State("in flight, then rejected", in_flight, attempt_rejected),
    State("in flight, then reset", in_flight, connection_reset),
    State("half written, then reset", half_written, caches_reset_half_written),
    State("response half read, then reset", response_half_read, connection_reset),
    State("the response waits for the write lock", response_waits_for_lock, do_nothing, attempts_after=0),
    State("a cached object is being written", cached_object_being_written, do_nothing, attempts_after=0),
]
