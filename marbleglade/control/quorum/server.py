"""Accepts connections from other nodes and from operators on a node's `quorum_address`."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
from gevent import socket

from ...runtime.error_guard import ErrorGuard
from ...transport.sockets import accept_forever, open_listener, read_chunks
from ..configuration import document as configuration
from ..settings import ControlSettings
from .codec import MAX_LINE_BYTES, InvalidMessageError, decode, encode
from .messages import Message, ProposalInvalid, ProposalOutcome, ProposalRequest, ReplicaHello
from .peer_connection import SEND_TIMEOUT_S
from .replica_driver import ReplicaDriver

HELLO_TIMEOUT_S = 5.0  # limit until the first line of a connection is complete
IDLE_TIMEOUT_S = 60.0  # closes the connection of a node that sends nothing for so long; it reconnects
ACCEPT_RETRY_PAUSE_S = 0.2
MAX_CONNECTIONS = 64
BACKLOG = 64


class QuorumServer:
    """The listener of one node, and its accepted connections.

    Args:
        address: The node's `quorum_address`.
        settings: The settings of the control plane, against which proposed documents are checked.
        driver: The driver of the node's replica; it receives messages and proposals.
        guard: Counts and logs exceptions.

    Raises:
        OSError: The server can't listen on the address.
    """

    def __init__(
        self, address: tuple[str, int], settings: ControlSettings, driver: ReplicaDriver, guard: ErrorGuard
    ) -> None:
        self.settings = settings
        self.driver = driver
        self.guard = guard
        self.connections: set[socket.socket] = set()
        self.listener = open_listener(address, BACKLOG, guard.log)

    def run(self) -> None:
        """Accept connections until the greenlet is killed."""
        accept_forever(
            self.listener, ACCEPT_RETRY_PAUSE_S, self._count_failed_accept, self.guard, self._start_connection
        )

    def close(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        for sock in list(self.connections):
            sock.close()

    def _count_failed_accept(self) -> None:
        self.guard.counters.add("quorum.accept_failed")

    def _start_connection(self, sock: socket.socket) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            self.guard.counters.add("quorum.connection_limit")
            sock.close()
            return
        self.connections.add(sock)
        gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        """Serve one connection from another node or from an operator until it ends."""
        try:
            self._serve_first_line(sock)
        except InvalidMessageError as error:
            self.guard.counters.add("quorum.invalid_message")
            self.guard.log.info("quorum", invalid_message=str(error))
        except OSError:
            self.guard.counters.add("quorum.connection_lost")
        except Exception as error:
            self.guard.record("quorum", error)
        finally:
            self.connections.discard(sock)
            sock.close()

    def _serve_first_line(self, sock: socket.socket) -> None:
        lines = _read_lines(sock)
        with gevent.Timeout(HELLO_TIMEOUT_S, TimeoutError("no complete first line in time")):
            first = decode(next(lines, b""))
        if isinstance(first, ReplicaHello):
            self._receive_messages(sock, first, lines)
        elif isinstance(first, ProposalRequest):
            sock.settimeout(SEND_TIMEOUT_S)
            sock.sendall(encode(self._propose(first)))
        else:
            raise InvalidMessageError(
                f"first line is {type(first).__name__}, expected ReplicaHello or ProposalRequest"
            )

    def _receive_messages(self, sock: socket.socket, hello: ReplicaHello, lines: Iterator[bytes]) -> None:
        if hello.deployment != self.settings.deployment or hello.node not in self.driver.peers:
            raise InvalidMessageError(
                f"ReplicaHello from unknown node {hello.node} of deployment {hello.deployment}"
            )
        sock.settimeout(IDLE_TIMEOUT_S)
        for line in lines:
            message = decode(line)
            if not isinstance(message, Message):
                raise InvalidMessageError(
                    f"{hello.node} sent {type(message).__name__}, which is not a replica message"
                )
            if not self.driver.submit_message(hello.node, message):
                self.guard.counters.add("quorum.message_dropped")
                gevent.sleep(0)

    def _propose(self, request: ProposalRequest) -> ProposalOutcome | ProposalInvalid:
        """Return the outcome of an operator's proposal. An invalid document is not passed to the replica."""
        try:
            document = configuration.read(request.text, self.settings)
        except configuration.InvalidDocumentError as error:
            return ProposalInvalid(tuple(error.errors))
        return self.driver.propose(document.base_version, request.proposal_id, request.text)


def _read_lines(sock: socket.socket) -> Iterator[bytes]:
    """Yield complete lines. Raises `InvalidMessageError` if a line is too long, or OSError."""
    buffer = bytearray()
    for data in read_chunks(sock):
        buffer += data
        *lines, buffer = buffer.split(b"\n")
        if any(len(line) > MAX_LINE_BYTES for line in (*lines, buffer)):
            raise InvalidMessageError(f"line is longer than {MAX_LINE_BYTES} bytes")
        yield from map(bytes, lines)
