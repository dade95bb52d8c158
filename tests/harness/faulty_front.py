"""A front process under faults: a preloaded library makes its system calls fail, and signals stop it."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
from gevent import socket

from benchmarks.faults.shim import FaultControl, build_shim
from marbleglade.protocols.cache_protocol import CacheStatus
from marbleglade.protocols.cache_server_protocol import encode_response
from marbleglade.testing.client import Client, ClientResponse
from tests.harness.front_with_caches import FrontWithCaches
from tests.harness.messages import numbered_id, request_message
from tests.harness.objects import object_with_ranking
from tests.harness.scripted_cache import ReceivedAttempt, ScriptedCache
from tests.harness.settings import PAGE, front_settings
from tests.harness.waiting import wait_until


class FaultyFront(FrontWithCaches):
    """A front with scripted caches, run with the preloaded fault library.

    Args:
        folder: The directory of its files.
        caches: The caches that its discovery service lists.
        faults: Control fields of the fault library that are set before the front starts.
        environment: Further environment variables of the process.
    """

    REQUEST_TIMEOUT_MS = 4000
    # A latency objective that a request still meets after half of its timeout has passed.
    SETTINGS = front_settings(page={"Aim": 2000.0})

    def __init__(
        self,
        folder: Path,
        *caches: ScriptedCache,
        faults: dict[str, int] | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.control = FaultControl(folder / "control")
        for field, value in (faults or {}).items():
            self.control.set(field, value)
        environment = self.control.environment(build_shim(folder)) | (environment or {})
        super().__init__(folder, self.SETTINGS, *caches, environment=environment)

    @contextmanager
    def stalled_after_poll(self, trigger: Callable[[], object]) -> Iterator[None]:
        """Stalls the front, until the body ends, right after the poll that returns the effect of `trigger`.

        `trigger` is called only once the front polls, since a read that is already due would otherwise
        receive the data without a poll.
        """
        wait_until(lambda: self.control.get("polling"), 5.0)
        self.control.set("hold", 1)
        trigger()
        wait_until(lambda: self.control.get("held"), 5.0)
        try:
            yield
        finally:
            self.control.set("hold", 0)

    @contextmanager
    def stopped(self, seconds: float) -> Iterator[None]:
        """Stops the process with SIGSTOP, and continues it `seconds` after the end of the body."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
            gevent.sleep(seconds)
        finally:
            self.process.send_signal(signal.SIGCONT)

    def request(
        self, tag: int, request_id: str, object_id: int, timeout_ms: int = REQUEST_TIMEOUT_MS
    ) -> bytes:
        """The bytes of a request."""
        return request_message(tag, request_id, object_id, timeout_ms)

    def attempts(self, request_id: str) -> list[ReceivedAttempt]:
        """The attempts that all caches have received for one request."""
        return [attempt for cache in self.caches for attempt in cache.attempts_for(request_id)]

    def attempt_count(self) -> int:
        """The number of attempts that all caches have received."""
        return sum(len(cache.attempts) for cache in self.caches)

    def reject_attempt(self, request_id: str) -> None:
        """Rejects the first attempt of a request at its cache, so that the front makes another attempt."""
        attempt = self.attempts(request_id)[0]
        attempt.sock.sendall(encode_response(request_id, CacheStatus.REJECTED, {}))

    def open_idle_connections(self, count: int = 1) -> None:
        """Opens `count` idle connections to each cache, so that later attempts need no connect."""
        objects: list[int] = []
        for cache in self.caches:
            others = [other.name for other in self.caches if other is not cache]
            objects += [
                object_with_ranking(cache.name, *others, skip=skip) for skip in range(1000, 1000 + count)
            ]
            cache.script = [cache.hold] * count + cache.script
        sock = self.connect()  # after the search for objects, which may exceed the idle timeout of clients
        for tag, object_id in enumerate(objects, 1):
            sock.sendall(self.request(tag, numbered_id(0xF000 + tag), object_id))
        wait_until(lambda: all(len(cache.attempts) == count for cache in self.caches), 5.0)
        for cache in self.caches:
            for attempt in cache.attempts:
                cache.respond(attempt)
        wait_until(lambda: self.counters_event()["open_requests"] == 0, 5.0)

    def connect(self) -> socket.socket:
        """A client connection that the test reads and writes itself."""
        sock = socket.create_connection(self.listen_address, 2)
        sock.settimeout(5.0)
        return sock

    def send_page_request(self, client: Client, object_id: int) -> ClientResponse | None:
        """Sends a client's request for a page and waits for its response."""
        return self.send_request(client, PAGE, object_id, self.REQUEST_TIMEOUT_MS)
