"""Stand-in caches and discovery service of the fault benchmark, which record attempts and events."""

from __future__ import annotations

import random
import time
from contextlib import suppress

import gevent
from gevent import socket

from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.sockets import address_text, listening_socket

from .records import NON_IDEMPOTENT_CLASS, Arrival, PublishedEvent, Records

DEFAULT_MAX_AGE_MS = 20_000  # maximum age of a served copy if the request does not state one
SERVICE_TIME = (0.002, 0.04)  # seconds until a response
PURGE_DELAY = 0.5  # seconds after which a cache drops a purged object
MISSING_BYTES = 10  # number of bytes missing at the end of a truncated response
LARGE_EVERY = 4  # one object in this many is large
LARGE_BYTES = 200_000


def accept_connection(listener: socket.socket) -> socket.socket | None:
    """Return the next connection, or None once the listener is closed."""
    try:
        return listener.accept()[0]
    except OSError:
        return None


def padding_of(object_id: int) -> int:
    """Return the number of padding bytes at the end of an object's body."""
    return 0 if object_id % LARGE_EVERY else LARGE_BYTES


def cut_request(buffer: bytes) -> tuple[list[str], bytes] | None:
    """Return the words of the first request and the rest of the buffer; None while it is incomplete."""
    line, end, rest = buffer.partition(b"\r\n")
    words = line.decode().split(" ")
    size = int(words[3]) + 2 if end and words[0] == "do" else 0
    return (words, rest[size:]) if end and len(rest) >= size else None


class FaultyCache:
    """Serves attempts; if `is_faulty`, some are rejected, fail, hang, are truncated or answered twice."""

    def __init__(self, name: str, kind: str, records: Records, random_source: random.Random) -> None:
        self.name, self.kind, self.records, self.random_source = name, kind, records, random_source
        self.is_faulty = self.hangs = False
        self.issued_ms: dict[int, int] = {}
        self.listener = listening_socket()
        self.address = self.listener.getsockname()
        self.accept_loop = gevent.spawn(self._accept)

    def entry(self, state: str = "active", started_ms: int = 0) -> dict[str, object]:
        """Return the cache's entry for the endpoint list."""
        zone = "z" if self.kind == "box" else "hubs"
        return {
            "id": self.name,
            "addr": address_text(self.address),
            "zone": zone,
            "kind": self.kind,
            "cell": 0,
            "state": state,
            "weight": 1,
            "started_ms": started_ms,
        }

    def purge(self, object_id: int) -> None:
        """Drop an object after `PURGE_DELAY`."""
        gevent.spawn_later(PURGE_DELAY, self.issued_ms.pop, object_id, None)

    def _accept(self) -> None:
        while (sock := accept_connection(self.listener)) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.spawn(self._read, sock)

    def _read(self, sock: socket.socket) -> None:
        buffer = b""
        with suppress(OSError, ValueError):
            while data := sock.recv(1 << 16):
                buffer += data
                while (cut := cut_request(buffer)) is not None:
                    words, buffer = cut
                    self._handle_line(words, sock)
        sock.close()

    def _handle_line(self, words: list[str], sock: socket.socket) -> None:
        if words[0] in ("ping", "top"):
            gevent.spawn(self._write, sock, f"{words[1]} PONG report=x1:0.1 0\r\n\r\n".encode())
        elif words[0] == "do":
            fields = dict(pair.split("=", 1) for pair in words[2].split(","))
            arrival = Arrival(words[1], self.name, time.monotonic(), int(fields["max"]) / 1000)
            self.records.arrivals.append(arrival)
            gevent.spawn(self._serve, words[1], fields, sock)

    def _serve(self, trace: str, fields: dict[str, str], sock: socket.socket) -> None:
        gevent.sleep(self.random_source.uniform(*SERVICE_TIME))
        draw = self.random_source.random() if self.is_faulty else 1.0
        if self.hangs or draw < 0.03:
            return
        if draw < 0.06:
            sock.close()
            return
        if draw < 0.14:
            status = "SHED" if draw < 0.12 else "FAULT"
            self._write(sock, f"{trace} {status} - 0\r\n\r\n".encode())
            return
        response = self._encode_response(trace, fields)
        if draw < 0.2:  # the rest is never sent
            self._write(sock, response[:-MISSING_BYTES])
            if draw >= 0.17:
                sock.close()
            return
        self._write(sock, response * (2 if draw < 0.22 else 1))

    def _encode_response(self, trace: str, fields: dict[str, str]) -> bytes:
        now_ms, object_id = time.time_ns() // 1_000_000, int(fields["thing"], 16)
        if fields["profile"] == NON_IDEMPOTENT_CLASS:
            self.records.effects[trace] += 1
            body = f"{object_id:x} {now_ms}"
            return f"{trace} HIT - {len(body)}\r\n{body}\r\n".encode()
        max_age_ms = int(fields.get("within", "0")) or DEFAULT_MAX_AGE_MS
        issued = self.issued_ms.get(object_id, 0)
        if now_ms - issued > max_age_ms:
            issued = self.issued_ms[object_id] = now_ms
        body = f"{object_id:x} {issued} {'x' * padding_of(object_id)}"
        head = f"{trace} HIT entity={issued:016x},issued={issued} {len(body)}\r\n"
        return f"{head}{body}\r\n".encode()

    def _write(self, sock: socket.socket, data: bytes) -> None:
        with suppress(OSError):
            sock.sendall(data)


class FaultyDiscovery(DiscoveryService):
    """A discovery service that can be slow or silent.

    Attributes:
        delay: Seconds before a new watcher receives its first line.
    """

    def __init__(self, records: Records) -> None:
        self._records, self.delay = records, 0.0
        super().__init__()

    def drain(self, cache: FaultyCache) -> None:
        """Publish that a cache drains; it does not return to service."""
        event = self._new_event(cache=cache.name)
        self._publish_list([cache.entry("leaving")], full_list=False)
        self._records.published.append(event)

    def purge_object(self, object_id: int) -> None:
        """Publish the purge of an object."""
        event = self._new_event(object_id=object_id)
        self.purge(object_id, 0, event.unix_ms)
        self._records.published.append(event)

    def announce_caches(self, caches: list[FaultyCache]) -> None:
        """Publish the full endpoint list."""
        self._publish_list([cache.entry() for cache in caches], full_list=True)

    def break_watches(self) -> None:
        """Close the connections of all watchers."""
        for sock in list(self.watchers):
            sock.close()
        self.watchers.clear()

    def fall_silent(self) -> None:
        """Stop sending to current watchers, whose connections stay open."""
        self.watchers.clear()

    def _new_event(self, cache: str = "", object_id: int = 0) -> PublishedEvent:
        is_slow = bool(self.delay) or any(event.slow for event in self._records.published)
        return PublishedEvent(time.monotonic(), time.time_ns() // 1_000_000, cache, object_id, is_slow)

    def _send_first_events(self, sock: socket.socket, last_index: int) -> None:
        gevent.sleep(self.delay)
        super()._send_first_events(sock, last_index)
