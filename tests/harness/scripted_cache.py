"""A cache that handles each attempt as the test scripts it, and records the effects of attempts."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket

from marbleglade.protocols.cache_protocol import CacheStatus, UpstreamRequest
from marbleglade.protocols.cache_server_protocol import HealthCheck, RequestDecoder, encode_response
from tests.harness.connections import reset
from tests.harness.messages import ENTITY_TAG
from tests.harness.servers import ConnectionServer, fill_connection_queue
from tests.harness.settings import PAGE

CONNECTION_QUEUE = 256


@dataclass(slots=True)
class EffectLog:
    """Effects of attempts: caches of a group drop attempts whose key had an effect in the group recently.

    Attributes:
        window: The deduplication window in seconds.
        effects: The number of effects for each key.
        first: The time of the last effect by group and key, in monotonic seconds.
    """

    window: float
    effects: Counter[str] = field(default_factory=Counter)
    first: dict[tuple[int, str], float] = field(default_factory=dict)

    def apply(self, group: int, key: str) -> None:
        """Runs an attempt at a cache of a group, unless its key had an effect there within the window."""
        now = time.monotonic()
        if now - self.first.get((group, key), -self.window) >= self.window:
            self.effects[key] += 1
            self.first[group, key] = now


@dataclass(slots=True)
class ReceivedAttempt:
    """An attempt that a cache has received completely; `received_at` is in monotonic seconds."""

    request: UpstreamRequest
    sock: socket.socket
    received_at: float = field(default_factory=time.monotonic)
    received_unix_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)


class ScriptedCache(ConnectionServer):
    """A cache that records attempts and health checks, and handles each attempt as scripted.

    For each attempt, the first entry of `script` is removed and called with it. If `script` is empty, the
    cache responds.
    """

    def __init__(self, name: str, cell: int = 0, effect_log: EffectLog | None = None) -> None:
        self.name, self.cell, self.effect_log = name, cell, effect_log or EffectLog(3600.0)
        self.attempts: list[ReceivedAttempt] = []
        self.health_checks = 0
        self.script: list[Callable[[ReceivedAttempt], None]] = []
        self.fillers: list[socket.socket] = []
        super().__init__()
        self.listener.listen(CONNECTION_QUEUE)

    def _read(self, sock: socket.socket) -> None:
        decoder = RequestDecoder()
        while data := sock.recv(1 << 16):
            for message in decoder.feed(data):
                self._handle(message, sock)

    def _handle(self, message: object, sock: socket.socket) -> None:
        if isinstance(message, HealthCheck):
            self.health_checks += 1
            sock.sendall(encode_response(message.id, CacheStatus.HEALTHY, {"report": "x1:0.1"}))
        elif isinstance(message, UpstreamRequest):
            attempt = ReceivedAttempt(message, sock)
            self.attempts.append(attempt)
            if message.class_name != PAGE:
                self.effect_log.apply(self.cell, message.idempotency_key or message.id)
            action = self.script.pop(0) if self.script else self.respond
            action(attempt)

    def attempts_for(self, request_id: str) -> list[ReceivedAttempt]:
        """The attempts of one request."""
        return [attempt for attempt in self.attempts if attempt.request.id == request_id]

    # Actions for `script`.

    def respond(self, attempt: ReceivedAttempt, body: bytes | None = None) -> None:
        """Responds with a body; the default is the name of the cache."""
        entity = {"entity": ENTITY_TAG, "issued": f"{time.time_ns() // 1_000_000}"}
        fields = entity if attempt.request.class_name == PAGE else {}
        body = self.name.encode() if body is None else body
        attempt.sock.sendall(encode_response(attempt.request.id, CacheStatus.SERVED, fields, body))

    def reset(self, attempt: ReceivedAttempt) -> None:
        """Resets the connection, so that the attempt may have run."""
        reset(attempt.sock)

    def hold(self, attempt: ReceivedAttempt) -> None:
        """Leaves the attempt without a response; the test may respond later."""

    # Connections.

    def hold_connections(self) -> None:
        """Fills the accept queue: new connections are neither established nor refused."""
        self.accept_loop.kill()
        self.listener.listen(0)
        self.fillers = fill_connection_queue(self.address)

    def release_connections(self) -> None:
        """Accepts connections again, including held ones after their peer retransmits its SYN (about 1 s)."""
        for filler in self.fillers:
            filler.close()
        self.listener.listen(CONNECTION_QUEUE)
        self.accept_loop = gevent.spawn(self._accept)

    def refuse_connections(self) -> None:
        """Closes the listener, as if the process had died: new connections are refused."""
        self.accept_loop.kill()
        self.listener.close()

    def close(self) -> None:
        """Kills the greenlets of the cache and closes all sockets."""
        super().close()
        for filler in self.fillers:
            filler.close()


def scripted_caches(count: int = 2) -> list[ScriptedCache]:
    """Caches that are named c0, c1 and so on."""
    return [ScriptedCache(f"c{number}") for number in range(count)]
