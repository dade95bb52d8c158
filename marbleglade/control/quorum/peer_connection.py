"""The outgoing connection from a node to one other node, for quorum messages."""

from __future__ import annotations

from collections import deque

import gevent
from gevent import socket
from gevent.event import Event

from ...runtime.error_guard import ErrorGuard
from ...transport.sockets import has_ended, set_options
from .codec import encode
from .messages import ReplicaHello

CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 2.0  # limit for one write to the socket
USER_TIMEOUT_MS = 5_000  # the kernel drops the connection if data stays unacknowledged for longer
RECONNECT_PAUSE_S = 0.2
MAX_QUEUED_MESSAGES = 64
CONNECTION_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class PeerConnection:
    """Sends messages to another node, and reconnects when the connection breaks.

    Args:
        hello: The message that opens each connection.
        address: The `quorum_address` of the other node.
        guard: Counts dropped messages and failed writes.
    """

    def __init__(self, hello: ReplicaHello, address: tuple[str, int], guard: ErrorGuard) -> None:
        self.hello = hello
        self.address = address
        self.guard = guard
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)  # drops the oldest message when full
        self._queued = Event()
        self._socket: socket.socket | None = None

    def send(self, line: bytes) -> None:
        """Queue an encoded message without waiting; drop the oldest one if the queue is full."""
        if len(self._queue) == MAX_QUEUED_MESSAGES:
            self.guard.counters.add("quorum.message_dropped")
        self._queue.append(line)
        self._queued.set()

    def run(self) -> None:
        """Write queued messages until the greenlet is killed."""
        while True:
            self._queued.wait()
            self._queued.clear()
            while self._queue:
                try:
                    self._write(self._queue.popleft())
                except OSError:
                    self.guard.counters.add("quorum.send_failed")
                    self.close()
                    self._queue.clear()  # the replica repeats unanswered requests
                    gevent.sleep(RECONNECT_PAUSE_S)

    def close(self) -> None:
        """Close the connection; the next write opens a new one."""
        if self._socket:
            self._socket.close()
            self._socket = None

    def _write(self, line: bytes) -> None:
        if self._socket and has_ended(self._socket):
            self.close()
        if not self._socket:
            self._socket = _connect(self.address)
            self._socket.sendall(encode(self.hello))
        self._socket.sendall(line)


def _connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(address)
        sock.settimeout(SEND_TIMEOUT_S)
        set_options(sock, CONNECTION_OPTIONS, lambda: None)
    except OSError:
        sock.close()
        raise
    return sock
