"""TCP proxy that resets or half-closes connections, or blocks, delays, throttles or corrupts their data."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import Literal, NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from gevent.queue import Queue

from .sockets import ANY_PORT, listening_socket

READ_SIZE = 16_384
MIN_READ_SIZE, READS_PER_SECOND = 256, 32  # used while the rate is limited
MAX_QUEUED_READS = 64
CONNECT_TIMEOUT_SECONDS = 1
RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"  # SO_LINGER with a timeout of zero

ProxyMode = Literal["pass", "reset", "silent", "up", "down", "half"]
Direction = Literal["up", "down"]  # up: from the connecting client to the target
BLOCKING_MODES: dict[Direction, tuple[ProxyMode, ...]] = {"up": ("silent", "down"), "down": ("silent", "up")}


class _QueuedRead(NamedTuple):
    """Bytes in flight and the monotonic time of their arrival; empty data marks the end of the stream."""

    arrives_at: float
    data: bytes


class TcpProxy:
    """Forwards connections to a target, with faults that tests set while it runs.

    Args:
        target: Address to which connections are forwarded.
        address: Listen address.

    Attributes:
        mode: "pass" forwards everything; "reset" resets all connections and closes new ones; "silent" blocks
            both directions; "up" and "down" block the other direction; "half" shuts down the sending side
            of all current connections once.
        rate: Rate limit in bytes per second, for each direction of a connection; 0 for unlimited.
        delay: Delay of all data in seconds.
        corrupt_every: Interval in bytes at which a byte is corrupted; 0 for no corruption.
        reset_after_bytes: Total of bytes "down" at which all connections are reset, once; 0 for never.
        bytes_passed: Number of bytes forwarded, by direction.
    """

    def __init__(self, target: tuple[str, int], address: tuple[str, int] = ANY_PORT) -> None:
        self.target = target
        self.mode: ProxyMode = "pass"
        self.rate, self.delay, self.corrupt_every, self.reset_after_bytes = 0, 0.0, 0, 0
        self.bytes_passed: dict[Direction, int] = {"up": 0, "down": 0}
        self._connections: set[socket.socket] = set()
        self._mode_changed = Event()
        self._listener = listening_socket(address)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._accept_loop = gevent.spawn(self._accept)

    def set_fault(
        self, mode: ProxyMode = "pass", rate: int = 0, delay: float = 0.0, corrupt_every: int = 0
    ) -> None:
        """Set the faults for open and new connections; see the attributes of the class."""
        self.mode, self.rate, self.delay, self.corrupt_every = mode, rate, delay, corrupt_every
        if mode == "reset":
            self.reset()
        elif mode == "half":
            for sock in list(self._connections):
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_WR)
        self._mode_changed.set()
        self._mode_changed = Event()

    def reset(self) -> None:
        """Reset all connections."""
        for sock in list(self._connections):
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
        self._connections.clear()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            if self.mode == "reset":
                sock.close()
                continue
            gevent.spawn(self._serve, sock)

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self.target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = {client, server}
        self._connections |= pair
        gevent.joinall(
            [gevent.spawn(self._read, client, server, "up"), gevent.spawn(self._read, server, client, "down")]
        )
        self._connections -= pair
        for sock in pair:
            sock.close()

    def _read(self, source: socket.socket, sink: socket.socket, direction: Direction) -> None:
        queue: Queue[_QueuedRead] = Queue(MAX_QUEUED_READS)
        writer = gevent.spawn(self._write, queue, sink, direction)
        with suppress(OSError):
            while data := source.recv(self._read_size()):
                if self.rate:
                    gevent.sleep(len(data) / self.rate)
                queue.put(_QueuedRead(time.monotonic() + self.delay, data))
        queue.put(_QueuedRead(0, b""))
        writer.join()

    def _read_size(self) -> int:
        return max(MIN_READ_SIZE, self.rate // READS_PER_SECOND) if self.rate else READ_SIZE

    def _write(self, queue: Queue[_QueuedRead], sink: socket.socket, direction: Direction) -> None:
        with suppress(OSError):
            while (read := queue.get()).data:
                gevent.sleep(max(0, read.arrives_at - time.monotonic()))
                while self.mode in BLOCKING_MODES[direction]:
                    self._mode_changed.wait()
                sink.sendall(self._corrupted(read.data, direction))
                self.bytes_passed[direction] += len(read.data)
                if direction == "down" and 0 < self.reset_after_bytes <= self.bytes_passed["down"]:
                    self.reset_after_bytes = 0
                    self.reset()
                    return
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _corrupted(self, data: bytes, direction: Direction) -> bytes:
        if self.corrupt_every and self.bytes_passed[direction] % self.corrupt_every < len(data):
            return data[:-1] + bytes([data[-1] ^ 0x55])
        return data

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._accept_loop.kill()
        self._listener.close()
        self.reset()
