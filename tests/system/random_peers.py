"""Caches that behave at random, and clients that record what they receive."""

from __future__ import annotations

import time
from contextlib import suppress

import gevent
from gevent import socket
from gevent.lock import Semaphore

from marbleglade.protocols.cache_protocol import UpstreamRequest
from marbleglade.protocols.cache_server_protocol import ServerEvent, encode_response
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.client import Client
from marbleglade.testing.object_store import hashed_fraction
from tests.harness.units import NS_PER_MS
from tests.system.script_checker import (
    AttemptReceived,
    AttemptRejected,
    Event,
    MalformedResponse,
    ResponseReceived,
    object_body,
)


class RandomCache(StandInUpstream):
    """A cache that behaves at random within the limits of its protocol, and records received attempts."""

    def __init__(self, id: str, seed: int, record: list[Event]) -> None:
        super().__init__(id, clock=time.time_ns)
        self.seed, self.record = seed, record

    def _answer(
        self,
        sock: socket.socket,
        write_lock: Semaphore,
        message: ServerEvent,
        in_flight: dict[str, gevent.Greenlet],
    ) -> None:
        if not isinstance(message, UpstreamRequest):
            super()._answer(sock, write_lock, message, in_flight)
            return
        self.record.append(AttemptReceived(time.monotonic(), self.id, message.id))
        draw = hashed_fraction(self.seed, f"{self.id} {message.id}")
        issued_ms = time.time_ns() // NS_PER_MS
        gevent.sleep(0.03 * hashed_fraction(self.seed, f"wait {message.id}"))
        with suppress(OSError):
            self._respond_by_chance(draw, sock, write_lock, message, str(issued_ms))

    def _respond_by_chance(
        self, draw: float, sock: socket.socket, write_lock: Semaphore, request: UpstreamRequest, issued: str
    ) -> None:
        fields = {"entity": "4be0c1927d55a6f3", "issued": issued}
        data = encode_response(request.id, "HIT", fields, object_body(request.object_id, issued))
        if draw < 0.12:  # no response at all
            return
        if draw < 0.18:
            sock.close()
            return
        if draw < 0.22:  # closes the connection in the middle of its response
            sock.sendall(data[:-50])
            sock.close()
            return
        if draw < 0.34:
            data = encode_response(request.id, "SHED" if draw < 0.28 else "NONE", {}, b"")
            self.record.append(AttemptRejected(time.monotonic(), self.id, request.id))
        with write_lock:
            sock.sendall(data * (2 if draw > 0.95 else 1))  # sometimes a second response


class RecordingClient(Client):
    """A client that records the responses that it receives.

    Attributes:
        unanswered: The ids of requests without a response, by tag.
        has_left: Whether the client sends nothing more, since its connection is to be closed.
    """

    def __init__(self, address: tuple[str, int], number: int, record: list[Event]) -> None:
        self.number, self.record, self.has_left = number, record, False
        self.unanswered: dict[int, str] = {}
        super().__init__(address)

    def _handle_response(self, parts: list[bytes]) -> None:
        tag = int(parts[0])
        self.unanswered.pop(tag, None)
        response = ResponseReceived(time.monotonic(), self.number, tag, parts[1].decode(), parts[3])
        self.record.append(response)

    def _read(self) -> None:
        super()._read()
        if self.malformed_responses:
            self.record.append(MalformedResponse(time.monotonic(), self.number))

    def send(self, data: bytes) -> None:
        """Sends bytes; ignores the error of a closed connection."""
        with suppress(OSError):
            self.sock.sendall(data)
