"""Connections and reads that a test delays in order to control the order of events."""

from __future__ import annotations

import time
from dataclasses import dataclass

from gevent import socket
from gevent.event import Event

from tests.harness.connections import SMALL_BUFFER
from tests.harness.servers import ConnectionServer


@dataclass(frozen=True, slots=True)
class ArrivedAttempt:
    """An attempt that arrived at a cache; `began` is the arrival of its first byte in monotonic seconds."""

    request_id: str
    began: float
    sock: socket.socket


class PausableCache(ConnectionServer):
    """A cache that records attempts and health checks, and responds to none of them by itself.

    Attributes:
        health_checks: The id and the connection of each health check.
        reads: An event; while it is clear, the cache reads nothing.
    """

    def __init__(self, backlog: int) -> None:
        self.attempts: list[ArrivedAttempt] = []
        self.health_checks: list[tuple[str, socket.socket]] = []
        self.reads = Event()
        self.reads.set()
        super().__init__()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.listener.listen(backlog)

    def _read(self, sock: socket.socket) -> None:
        while True:
            self.reads.wait()
            first = sock.recv(1)
            arrived = time.monotonic()
            if not first:
                return
            fields = (first + self._read_line_end(sock)).split()
            if fields[:1] == [b"do"]:
                self.attempts.append(ArrivedAttempt(fields[1].decode(), arrived, sock))
                self._discard(sock, int(fields[3]) + 2)
            elif fields[:1] in ([b"ping"], [b"top"]):
                self.health_checks.append((fields[1].decode(), sock))

    def _read_line_end(self, sock: socket.socket) -> bytes:
        line = b""
        while not line.endswith(b"\n") and (byte := sock.recv(1)):
            line += byte
        return line

    def _discard(self, sock: socket.socket, size: int) -> None:
        while size > 0 and (data := sock.recv(min(size, 1 << 16))):
            size -= len(data)
            self.reads.wait()


class GatedNetwork:
    """Replaces the `socket` module of the connection pool, and delays connects to caches by a gate."""

    AF_INET, SOCK_STREAM = socket.AF_INET, socket.SOCK_STREAM
    IPPROTO_TCP, TCP_NODELAY = socket.IPPROTO_TCP, socket.TCP_NODELAY

    def __init__(self) -> None:
        self.refuse_one, self.waiting = False, 0
        # Readable while the gate is open, so that a greenlet waits on the event loop as for a real connect.
        self.gate, self.gate_writer = socket.socketpair()
        self.open_gate()
        network = self

        class GatedSocket(socket.socket):  # type: ignore[misc]
            def connect(self, address: tuple[str, int]) -> None:
                self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
                super().connect(address)
                network.wait_for_gate()

        self.socket = GatedSocket

    def open_gate(self) -> None:
        """Lets waiting and new connections be established."""
        self.gate_writer.send(b"x")

    def close_gate(self) -> None:
        """Makes new connections wait."""
        self.gate.recv(1 << 10)

    def wait_for_gate(self) -> None:
        """Waits until the gate is open; raises ConnectionRefusedError if this connection is to be refused."""
        self.waiting += 1
        try:
            socket.wait_read(self.gate.fileno())
        finally:
            self.waiting -= 1
        if self.refuse_one:
            self.refuse_one = False
            raise ConnectionRefusedError

    def close(self) -> None:
        """Closes the sockets of the gate."""
        for sock in (self.gate, self.gate_writer):
            sock.close()
