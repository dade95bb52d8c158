"""An in-process front that makes one attempt for each request, at a cache that the test controls."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from marbleglade.model.attempt import Attempt, AttemptResult
from marbleglade.model.parameters import Parameters
from marbleglade.model.policy_protocol import PolicyProtocol
from marbleglade.model.request import Request
from marbleglade.model.upstream import Upstream
from marbleglade.model.watch_event import Endpoint, EndpointListChange
from marbleglade.policy_driver import PolicyDriver
from marbleglade.protocols.client_protocol import ClientRequest
from marbleglade.runtime import clock
from marbleglade.settings.environment import read_environment
from marbleglade.settings.vocabulary import STATE_BY_SETTING
from marbleglade.state.decisions import AttemptOrder
from marbleglade.state.local_cache import CachedObject
from marbleglade.transport.upstream_connection import UpstreamConnection, UpstreamResult
from tests.harness.in_process_front import FrontLimits, InProcessFront
from tests.harness.messages import DEFAULT_OBJECT, ENTITY_TAG, REQUEST_ID, request_message, with_entity_fields
from tests.harness.servers import LineServer
from tests.harness.settings import FRONT_SETTINGS
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import TIMEOUT_SECONDS


class SingleCachePolicy(PolicyProtocol):
    """Makes one attempt for each request, at the first listed cache, and rejects the request if it fails."""

    def __init__(self, parameters: Parameters, host: PolicyDriver) -> None:
        self.parameters, self.host = parameters, host
        self.caches: list[Upstream] = []

    def update_endpoints(self, upstreams: list[Upstream], complete: bool) -> None:
        """Adds upstreams that were not listed before."""
        self.caches += [upstream for upstream in upstreams if upstream not in self.caches]

    def handle_request(self, request: Request) -> None:
        """Starts the only attempt of a request."""
        timeout = request.deadline - self.host.now()
        self.host.start_attempt(request, self.caches[0], self.caches[-1], timeout, 2, cache_locally=True)

    def attempt_finished(self, attempt: Attempt) -> None:
        """Rejects the request if its attempt failed."""
        if not attempt.request.finished:
            self.host.reject(attempt.request, 40 * NS_PER_MS)

    def client_disconnected(self, request: Request) -> None:
        """Cancels the attempts of the request."""
        for attempt in request.attempts:
            self.host.cancel_attempt(attempt)

    def give_up(self, request: Request, reason: str = "") -> None:
        """Rejects the request."""
        self.host.reject(request)

    def handle_purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Does nothing, since this policy has no state that a purge affects."""


class SingleCacheFront(InProcessFront):
    """A front with `SingleCachePolicy` and small limits.

    Attributes:
        cache: The stand-in for all caches that are listed without an address; the test sends its responses.
    """

    LIMITS = FrontLimits(
        body_budget=1000,
        upstream_connections=4,
        connect_timeout=200 * NS_PER_MS,
        streams_per_connection=3,
        local_cache=100,
        bytes_per_second=1000,
        clients=3,
        client_buffers=100_000,
    )

    def __init__(self) -> None:
        super().__init__(read_environment(FRONT_SETTINGS, 7), self.LIMITS, SingleCachePolicy)
        self.cache = LineServer()

    def apply_endpoints(
        self,
        *ids: str,
        state: str = "active",
        started_ms: int = 0,
        address: tuple[str, int] | None = None,
        complete: bool = False,
    ) -> list[Upstream]:
        """Applies an endpoint list with the given caches, and returns all upstreams that are then listed."""
        address = address or self.cache.address
        members = [Endpoint(id, address, "z", "box", 0, STATE_BY_SETTING[state], started_ms) for id in ids]
        self.request_handler.events.apply(EndpointListChange(1, complete, members))
        return [registered.upstream for registered in self.upstreams.by_id.values()]

    def request(
        self, tag: int, request_id: str = REQUEST_ID.decode(), timeout_ms: int = 1000, more: str = ""
    ) -> bytes:
        """The bytes of a request for part 3 of the default object."""
        return request_message(
            tag, request_id, DEFAULT_OBJECT, timeout_ms, part=3, more=more, class_name=self.class_name
        )

    def send_request(self, response: bytes, tag: int = 7, more: str = "") -> socket.socket:
        """Sends a request of a new client and the cache's response; returns the client connection."""
        sock = self.connect_client()
        sock.sendall(self.request(tag, more=more))
        self.cache.wait_for_lines(1)
        self.cache.sockets[0].sendall(with_entity_fields(response))
        return sock

    def execute_attempt(
        self,
        timeout_ms: int = 500,
        request_id: str = "t1",
        meanwhile: Callable[[AttemptOrder], object] = lambda _order: None,
        cache: Upstream | None = None,
        source: Upstream | None = None,
        tag: str = "",
        body: bytes = b"",
    ) -> UpstreamResult:
        """Executes one attempt and returns its result; `meanwhile` is called while the attempt runs."""
        cache = cache or self.upstreams.by_id["s1"].upstream
        now, timeout = clock.now(), timeout_ms * NS_PER_MS
        request = Request(self.parameters.request_classes[0], 9, 0, 4, 0.0, now, now + timeout)
        attempt = Attempt(request, cache, source or cache, now, timeout, 1)
        order = AttemptOrder(attempt, 0, False, False, False, False, AsyncResult())
        message = ClientRequest(
            1, request.request_class, self.class_name, request_id, timeout, False, "9", 0, 4, tag, body
        )
        execution = gevent.spawn(self.upstream_client.execute, message, order)
        try:
            meanwhile(order)
            result: UpstreamResult = execution.get(timeout=TIMEOUT_SECONDS)
            return result
        finally:
            execution.kill()

    def cache_responds(
        self, response: bytes, connection: int = 0, after_lines: int = 1
    ) -> Callable[[AttemptOrder], None]:
        """A callback that sends the response on a connection once `after_lines` lines have arrived."""

        def respond(_order: AttemptOrder) -> None:
            self.cache.wait_for_lines(after_lines)
            self.cache.sockets[connection].sendall(with_entity_fields(response))

        return respond

    def serve_from_local_cache(self, size: int, object_id: int = DEFAULT_OBJECT) -> None:
        """Caches an object in the front, and makes the policy serve cached objects without an attempt."""
        self.local_cache.max_bytes = 10 * size
        cached = CachedObject(b"x" * size, ENTITY_TAG, clock.now(), 17)
        self.local_cache.put(object_id, 3, cached, 0)
        self.prefer_local_cache()

    def prefer_local_cache(self) -> None:
        """Makes the policy serve cached objects without an attempt."""
        policy = self.policy_driver.policy
        attempt = policy.handle_request

        def serve_cached_first(request: Request) -> None:
            if request.cached:
                self.policy_driver.serve_cached(request)
            else:
                attempt(request)

        policy.handle_request = serve_cached_first  # type: ignore[method-assign]

    def hold_connections(self) -> Event:
        """Delays new connections to caches until the returned event is set."""
        event, pool = Event(), self.upstream_client.pool
        acquire = pool.acquire

        def acquire_later(upstream: Upstream, request_id: str) -> UpstreamConnection | AttemptResult:
            event.wait(TIMEOUT_SECONDS)
            return acquire(upstream, request_id)

        pool.acquire = acquire_later  # type: ignore[method-assign]
        return event

    def close(self) -> None:
        """Closes the front and its cache."""
        super().close()
        self.cache.close()
