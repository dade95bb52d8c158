"""Clients of the fault benchmark: they send requests, cancel, close and reset, and record the responses."""

from __future__ import annotations

import itertools
import math
import random
import struct
import time
from contextlib import suppress

import gevent
from gevent import socket
from gevent.lock import Semaphore

from .records import NON_IDEMPOTENT_CLASS, Records, Request
from .upstream import padding_of

OBJECTS = 60
SKEW = 3  # exponent of the draw of object ids; most requests are for a few objects
CLASSES = ("dish-media", "menu-pages", NON_IDEMPOTENT_CLASS)
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which close() resets the connection
SHORT_TIMEOUT = (0.025, 0.2)  # seconds
USUAL_TIMEOUT = (0.8, 2.0)  # seconds
ABANDONED_SHARE = 0.25  # share of requests whose client cancels, closes or resets
PAUSED_READ_SHARE = 0.1  # share of requests after which the client stops reading for a while
MAX_READ_PAUSE = 0.15  # seconds
SHARED_CONNECTIONS = 3  # number of shared connections to a front
SINGLE_USE_SHARE = 0.15  # share of requests that use a connection of their own


class Connection:
    """One connection to a front, which pauses reads until `reads_paused_until`, a monotonic time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, 2)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tags, self.closed = itertools.count(1), False
        self.requests: dict[int, Request] = {}
        self.write_lock = Semaphore()
        self.reads_paused_until = 0.0
        self.reader = gevent.spawn(self._read)

    def send(self, request: Request, pause: float = 0.0) -> int:
        """Write a request, in two pieces if `pause` seconds are given between them; return its tag."""
        tag = next(self.tags)
        request.opens_connection = not self.requests
        self.requests[tag] = request
        fields = (
            f"trace={request.trace},patience={int(request.timeout_s * 1000)},"
            f"entity={request.object_id:016x},block=0,family={request.object_id % 200}"
        )
        words = (b"ASK", b"%d" % tag, request.class_name.encode(), fields.encode(), b"")
        data = _encode_command(words)
        with self.write_lock:
            if pause:
                self.sock.sendall(data[: len(data) // 2])
                gevent.sleep(pause)
                data = data[len(data) // 2 :]
            self.sock.sendall(data)
        request.sent_at = time.monotonic()
        return tag

    def cancel(self, tag: int) -> None:
        """Cancel a request."""
        with self.write_lock:
            self.sock.sendall(_encode_command((b"NEVERMIND", b"%d" % tag)))
        self.requests[tag].client_left_at = time.monotonic()

    def close(self, reset: bool) -> None:
        """Close or reset the connection, which abandons all open requests on it."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.closed = True
        self.reader.kill(block=False)
        self.sock.close()
        for request in self.requests.values():
            if not request.answered_at:
                request.client_left_at = request.client_left_at or time.monotonic()

    def _read(self) -> None:
        buffer = b""
        with suppress(OSError):
            while data := self.sock.recv(1 << 16):
                buffer += data
                gevent.sleep(max(0.0, self.reads_paused_until - time.monotonic()))
                while (cut := cut_response(buffer)) is not None:
                    words, buffer = cut
                    self._handle_response(words)
        self.closed = True
        for request in self.requests.values():
            if not request.answered_at and not request.client_left_at:
                request.closed_at = time.monotonic()

    def _handle_response(self, words: list[bytes]) -> None:
        request = self.requests.get(int(words[0]))
        if request is None:
            return
        request.answers += 1
        request.answered_at = request.answered_at or time.monotonic()
        request.status = words[1].decode()
        if request.status == "ok":
            object_id, issued, rest = [*words[3].decode().split(" "), ""][:3]
            has_padding = len(rest) == padding_of(request.object_id)
            is_complete = has_padding or request.class_name == NON_IDEMPOTENT_CLASS
            request.malformed = object_id != f"{request.object_id:x}" or not is_complete
            request.issued_ms = int(issued)
        elif request.status not in ("full", "fault"):
            request.malformed = True


def _encode_command(words: tuple[bytes, ...]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in words)


def cut_response(buffer: bytes) -> tuple[list[bytes], bytes] | None:
    """Return the parts of the first response and the rest of the buffer; None while it is incomplete."""
    head, _, rest = buffer.partition(b"\r\n")
    if not _:
        return None
    words = []
    for _number in range(int(head[1:])):
        size, found, rest = rest.partition(b"\r\n")
        if not found or len(rest) < int(size[1:]) + 2:
            return None
        words.append(rest[: int(size[1:])])
        rest = rest[int(size[1:]) + 2 :]
    return words, rest


MALFORMED_INPUTS = (
    b"*3\r\n$3\r\nASK\r\n$1\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$99999999\r\n",
    b"$" * 70_000,
    b"",
)


def send_malformed_input(address: tuple[str, int], random_source: random.Random) -> None:
    """Send malformed data or nothing, stay connected for up to a second, then close or reset."""
    with suppress(OSError):
        sock = socket.create_connection(address, 2)
        sock.sendall(random_source.choice(MALFORMED_INPUTS))
        gevent.sleep(random_source.uniform(0, 1.0))
        if random_source.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()


CROWD_CONNECT_INTERVAL = 0.002  # seconds between two new idle connections
CROWD_RETRY_INTERVAL = 0.05  # seconds of delay after a failed connection, or while all are open
FLOOD_REQUESTS = 32  # limit of the protocol for open requests on one connection
FLOOD_INTERVAL = (0.3, 1.0)  # seconds between two floods


class Crowd:
    """Idle connections to one front, which are replaced as the front closes them, until `stopped`."""

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self.address, self.size, self.stopped = address, size, False
        self.open: set[socket.socket] = set()
        self.loop = gevent.spawn(self._run)

    def _run(self) -> None:
        while not self.stopped:
            gevent.sleep(CROWD_CONNECT_INTERVAL if len(self.open) < self.size else CROWD_RETRY_INTERVAL)
            if len(self.open) < self.size:
                try:
                    sock = socket.create_connection(self.address, 2)
                except OSError:
                    gevent.sleep(CROWD_RETRY_INTERVAL)
                    continue
                self.open.add(sock)
                gevent.spawn(self._hold_open, sock)

    def _hold_open(self, sock: socket.socket) -> None:
        """Keep an idle connection open until the front closes it."""
        with suppress(OSError):
            sock.settimeout(None)
            while sock.recv(1 << 12):
                pass
        self.open.discard(sock)
        sock.close()

    def stop(self) -> None:
        """Stop opening connections; open ones stay until the front closes them."""
        self.stopped = True


class Clients:
    """Clients of one front, which send `rate` requests per second on average until `stopped`.

    Once the front shuts down, new connections are opened only until `connects_until`, and reads are no longer
    paused, so that the recorded time of a closed connection is exact.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, front: int, address: tuple[str, int], rate: float, records: Records, seed: int
    ) -> None:
        self.front, self.address, self.rate, self.records = front, address, rate, records
        self.random_source = random.Random(f"{seed} {front}")
        self.shared: list[Connection] = []
        self.stopped = self.slow_writers = False
        self.connects_until = math.inf
        self.loop = gevent.spawn(self._run)

    def _run(self) -> None:
        while not self.stopped:
            gevent.sleep(self.random_source.expovariate(self.rate))
            gevent.spawn(self._send_request)

    def _send_request(self) -> None:
        rng = self.random_source
        request = self._draw_request()
        single_use = rng.random() < SINGLE_USE_SHARE and self._may_connect()
        with suppress(OSError):
            connection = Connection(self.address) if single_use else self._connection()
            if connection is None:
                return
            self.records.requests[request.trace] = request
            tag = connection.send(request, rng.uniform(0, 0.1) if self.slow_writers else 0.0)
            if rng.random() < PAUSED_READ_SHARE and self.connects_until == math.inf:
                connection.reads_paused_until = time.monotonic() + rng.uniform(0, MAX_READ_PAUSE)
            if rng.random() < ABANDONED_SHARE:
                gevent.sleep(rng.choice((0.0, rng.uniform(0, 0.05), rng.uniform(0, 0.5))))
                self._abandon(connection, tag, request, single_use)
            if single_use:
                gevent.sleep(request.timeout_s + 1.0)
                connection.close(False)

    def send_flood(self) -> None:
        """Send the maximum number of concurrent requests on one new connection."""
        if not self._may_connect():
            return
        with suppress(OSError):
            connection = Connection(self.address)
            for _ in range(FLOOD_REQUESTS):
                request = self._draw_request()
                self.records.requests[request.trace] = request
                connection.send(request)
            gevent.sleep(USUAL_TIMEOUT[1] + 1.0)
            connection.close(False)

    def _draw_request(self) -> Request:
        rng = self.random_source
        timeout_range = SHORT_TIMEOUT if rng.random() < 0.15 else USUAL_TIMEOUT
        return Request(
            f"{next(self._numbers):016x}",
            self.front,
            rng.choices(CLASSES, (5, 4, 1))[0],
            1 + int(OBJECTS * rng.random() ** SKEW),
            int(rng.uniform(*timeout_range) * 1000) / 1000,
        )

    def _abandon(self, connection: Connection, tag: int, request: Request, single_use: bool) -> None:
        if request.answered_at or connection.closed:
            return
        if single_use:
            connection.close(self.random_source.random() < 0.5)
        else:
            connection.cancel(tag)

    def _may_connect(self) -> bool:
        return time.monotonic() < self.connects_until

    def _connection(self) -> Connection | None:
        """Return an open shared connection or a new one; None if there is neither."""
        self.shared = [one for one in self.shared if not one.closed]
        if len(self.shared) >= SHARED_CONNECTIONS:
            return self.random_source.choice(self.shared)
        if not self._may_connect():
            return self.random_source.choice(self.shared) if self.shared else None
        connection = Connection(self.address)
        self.shared.append(connection)
        return connection
