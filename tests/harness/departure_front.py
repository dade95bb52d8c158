"""An in-process front for tests in which clients disconnect while their requests are held in one state."""

from __future__ import annotations

import time
from dataclasses import replace

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from marbleglade.model.parameters import Parameters
from marbleglade.model.policy_protocol import PolicyHost
from marbleglade.model.request import Request
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Endpoint, EndpointListChange
from marbleglade.policy.policy import Policy
from marbleglade.runtime import clock
from marbleglade.settings.environment import read_environment
from marbleglade.state.local_cache import CachedObject
from marbleglade.transport import connection_pool
from tests.harness.gated_network import ArrivedAttempt, GatedNetwork, PausableCache
from tests.harness.in_process_front import FrontLimits, InProcessFront
from tests.harness.messages import ENTITY_TAG, request_message, resp_array
from tests.harness.settings import FRONT_SETTINGS
from tests.harness.waiting import wait_until

GRACE_SECONDS = 0.1  # after a client has disconnected; no attempt may start for it later than this
LOOP_TURNS = 10  # event loop turns in addition to the grace time, so that a stalled machine fails no test
MAX_CONNECTIONS = 400  # from clients, and likewise to caches
CACHE_IDS = ("s1", "s2", "s3")
TIMEOUT_MS = 10_000  # timeout of each request and deadline of its class
# A latency objective that is met even on a busy machine: once it has passed, the policy starts no attempt.
OBJECTIVE = {"Aim": 3000.0, "Deadline": float(TIMEOUT_MS)}
SETTINGS = FRONT_SETTINGS | {"Classes": [FRONT_SETTINGS["Classes"][0] | OBJECTIVE]}
LIMITS = FrontLimits(
    body_budget=8 << 20,
    upstream_connections=MAX_CONNECTIONS,
    local_cache=1 << 20,
    bytes_per_second=10_000_000,
    clients=MAX_CONNECTIONS,
    client_buffers=4 << 20,
)
CACHED_OBJECT = 0x00000000000000AA  # id of the object that `cache_object` puts into the front's cache
CACHED_SIZE = 100_000  # bytes: more than an unread connection buffers and than one read returns
UNKNOWN_CANCEL = resp_array(b"NEVERMIND", b"99")  # a cancel for an unknown tag, which gets no response


class ReportFirstPolicy(Policy):
    """A policy that requests a load report before the first attempt of each request."""

    def __init__(self, parameters: Parameters, host: PolicyHost) -> None:
        self.pending: list[Request] = []
        super().__init__(parameters, host)

    def handle_request(self, request: Request) -> None:
        """Serves a cached object, or requests a load report before the first attempt."""
        if request.cached:
            super().handle_request(request)
            return
        self.pending.append(request)
        self.host.probe_load(self.upstreams.zone_caches[0])

    def client_disconnected(self, request: Request) -> None:
        """Removes the request from the pending ones."""
        self._forget(request)
        super().client_disconnected(request)

    def give_up(self, request: Request, reason: str = "") -> None:
        """Removes the request from the pending ones."""
        self._forget(request)
        super().give_up(request, reason)

    def _forget(self, request: Request) -> None:
        if request in self.pending:
            self.pending.remove(request)

    def on_timer(self) -> None:
        """Handles the pending requests once a load report has arrived."""
        super().on_timer()
        if self.upstreams.zone_caches[0].reported_at:
            pending, self.pending = self.pending, []
            for request in pending:
                super().handle_request(request)


class DepartureFront(InProcessFront):
    """A front with the real policy, whose connections to caches are established when the test permits it.

    Attributes:
        network: Delays connections to caches until the test opens its gate.
        reads_permitted: An event on which a test may make the reads of the front wait; `close` sets it.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, policy: type[Policy] = Policy) -> None:
        self.network, self.reads_permitted = GatedNetwork(), Event()
        monkeypatch.setattr(connection_pool, "socket", self.network)
        self.caches = [PausableCache(MAX_CONNECTIONS) for _ in CACHE_IDS]
        environment = read_environment(SETTINGS, 7)
        parameters = replace(environment.parameters, local_link_capacity=8.0)
        super().__init__(replace(environment, parameters=parameters), LIMITS, policy)
        members = [
            Endpoint(id, cache.address, "z", "box", 0, UpstreamState.ACTIVE, 0)
            for id, cache in zip(CACHE_IDS, self.caches, strict=True)
        ]
        self.request_handler.events.apply(EndpointListChange(1, True, members))
        self.loops += [gevent.spawn(self._run_timers), gevent.spawn(self.request_handler.monitor.run_probes)]

    def _run_timers(self) -> None:
        while True:
            self.policy_driver.run_timers()
            gevent.sleep(0.002)

    def connect_client(self) -> socket.socket:
        """Connects a client, and waits until the front has accepted the connection."""
        known = set(self.client_listener.connections.open)
        sock = super().connect_client()
        wait_until(lambda: set(self.client_listener.connections.open) - known)
        return sock

    def request(self, tag: int, request_id: str, object_id: int = 0, body: bytes = b"") -> bytes:
        """The bytes of a request; if `object_id` is 0, the object id is the request id."""
        object_id = object_id or int(request_id, 16)
        return request_message(tag, request_id, object_id, TIMEOUT_MS, class_name=self.class_name, body=body)

    def cache_object(self) -> None:
        """Puts an object into the front's cache, which is then served at admission."""
        cached = CachedObject(b"x" * CACHED_SIZE, ENTITY_TAG, clock.now(), 17)
        self.local_cache.put(CACHED_OBJECT, 0, cached, 0)

    def attempts(self, request_id: str) -> list[ArrivedAttempt]:
        """The attempts for a request at all caches, in the order in which they arrived."""
        arrived = [attempt for cache in self.caches for attempt in cache.attempts]
        matching = [attempt for attempt in arrived if attempt.request_id == request_id]
        return sorted(matching, key=lambda attempt: attempt.began)

    def wait_for_attempts(self, request_id: str, count: int) -> ArrivedAttempt:
        """Waits until `count` attempts have arrived for a request, and returns the last of these."""
        wait_until(lambda: len(self.attempts(request_id)) >= count)
        return self.attempts(request_id)[count - 1]

    def late_attempt_count(self, request_id: str, left_at: float) -> int:
        """The number of attempts that started more than `GRACE_SECONDS` after the client had disconnected."""
        return sum(attempt.began - left_at > GRACE_SECONDS for attempt in self.attempts(request_id))

    def is_open(self, request_id: str) -> bool:
        """Whether the front has not decided on a request yet."""
        open_requests = self.policy_driver.open_requests.by_request.items()
        object_id = int(request_id, 16)
        return any(request.object_id == object_id and not one.decided for request, one in open_requests)

    def run_loop_turns(self, turns: int = LOOP_TURNS) -> None:
        """Runs the event loop for a number of turns, in which it also reads sockets."""
        for _ in range(turns):
            gevent.sleep(0.001)

    def wait_for_grace_period(self, left_at: float) -> None:
        """Waits until the grace time after the disconnect has passed, and then runs the event loop."""
        gevent.sleep(max(0.0, left_at + GRACE_SECONDS + 0.001 - time.monotonic()))
        self.run_loop_turns()

    def close(self) -> None:
        """Closes the front, its caches and the network."""
        self.network.open_gate()
        self.reads_permitted.set()
        super().close()
        for cache in self.caches:
            cache.close()
        self.run_loop_turns(1)
        self.network.close()
