"""A front in this process without sockets, for measurements of purges and list changes."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.request import Request
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Endpoint, EndpointListChange
from marbleglade.policy.policy import Policy
from marbleglade.policy_driver import PolicyDriver
from marbleglade.protocols.client_protocol import ClientRequest
from marbleglade.request_handler import HandlerComponents, RequestHandler
from marbleglade.runtime import clock
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.settings.environment import Environment, read_environment
from marbleglade.state.body_budget import BodyBudget
from marbleglade.state.decisions import AttemptOrder
from marbleglade.state.local_cache import CachedObject, LocalCache
from marbleglade.state.purge_history import PurgeHistory, purge_retention
from marbleglade.state.upstream_registry import UpstreamRegistry
from marbleglade.testing.front_settings import ZONE, front_settings
from marbleglade.transport.connection_pool import PoolLimits
from marbleglade.transport.upstream_client import UpstreamClient

NS_PER_S = 1_000_000_000
PROFILE, TRACE = "menu-pages", "0" * 16
PURGE_GROUPS = 256
FLOW_BYTES_PER_S = 2_000_000  # rate of one transfer from the local cache
LOCAL_CACHE_BYTES = 1 << 30
OBJECT_ID_STEP = 0x9E3779B97F4A7C15  # spreads object IDs over all 64-bit numbers


def nth_object_id(number: int) -> int:
    """Return the ID of the object with this number, counted from 0; it is never 0."""
    return (number + 1) * OBJECT_ID_STEP & 0xFFFF_FFFF_FFFF_FFFF


def endpoint_list(count: int, state: UpstreamState = UpstreamState.ACTIVE) -> list[Endpoint]:
    """Return the endpoints of `count` caches, a parent and an origin, as the discovery service lists them."""
    caches = [
        Endpoint(f"box{n}", ("127.0.0.1", 1024 + n), ZONE, "box", 0, state, 1_700_000_000_000)
        for n in range(count)
    ]
    return [
        *caches,
        Endpoint("hub0", ("127.0.0.1", 1022), ZONE, "hub", 0, UpstreamState.ACTIVE, 1),
        Endpoint("root", ("127.0.0.1", 1023), ZONE, "root", 0, UpstreamState.ACTIVE, 1),
    ]


class SocketlessFront:
    """The policy, local cache and request handler of a front, built as in `service.request_path_wiring`."""

    def __init__(self, caches: int = 8) -> None:
        environment: Environment = read_environment(
            front_settings(1, PeerMessages=False), 1, local_link_capacity=4.0
        )
        parameters, counters = environment.parameters, Counters(strict=False)
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        guard = ErrorGuard(counters, Log("measured", counters, sink=self.log_fd))
        upstreams, purges = (
            UpstreamRegistry(environment, clock.from_unix_ms),
            PurgeHistory(purge_retention(parameters)),
        )
        self.request_class = environment.request_classes[PROFILE]
        self.driver = PolicyDriver(parameters, Policy, clock.now, 0, counters, lambda _action: None)
        connections = UpstreamClient(
            upstreams.by_upstream,
            BodyBudget(1 << 28),
            PoolLimits(
                64, environment.connect_timeout, environment.idle_timeout, environment.streams_per_connection
            ),
            clock.now,
            guard,
            lambda _request, _since: False,
        )
        self.local_cache = LocalCache(LOCAL_CACHE_BYTES)
        components = HandlerComponents(
            self.driver, connections, upstreams, purges, self.local_cache, FLOW_BYTES_PER_S, guard
        )
        self.handler = RequestHandler(components)
        self.handler.events.apply(EndpointListChange(1, True, endpoint_list(caches)))

    def close(self) -> None:
        """Close the file descriptor of the log."""
        os.close(self.log_fd)

    def request(self, number: int, group: int) -> tuple[ClientRequest, Request]:
        """Return a client's request of an object, as the listener would pass it on, and its admitted form."""
        client_request = ClientRequest(
            number,
            self.request_class,
            PROFILE,
            TRACE,
            2 * NS_PER_S,
            False,
            f"{number:016x}",
            0,
            group,
            "",
            b"",
        )
        return client_request, self.handler.admit(client_request)

    def serve(self, number: int) -> None:
        """Serve one request from a cache that answers at once, so that the directory lists its object."""
        _, request = self.request(nth_object_id(number), number % PURGE_GROUPS)
        step = self.driver.next_step(request)
        while isinstance(step, AttemptOrder):
            self.driver.report_result(step, AttemptResult.OK)
            step = self.driver.next_step(request)
        self.driver.forget(request)

    def cache_object(self, number: int, body: bytes, age: int = 0) -> None:
        """Put an object that was issued `age` ns ago into the local cache."""
        copy = CachedObject(body, f"{number:016x}", clock.now() - age, number % PURGE_GROUPS)
        self.local_cache.put(nth_object_id(number), 0, copy, 0)

    def open_request(self, number: int) -> Request:
        """Return a request that waits for a cache, with a cached response that is too old to be served."""
        self.request_class.freshness_lifetime = NS_PER_S
        self.cache_object(number, b"x", age=2 * NS_PER_S)
        client_request, request = self.request(nth_object_id(number), number % PURGE_GROUPS)
        if self.handler.answer_immediately(client_request, request) is not None or request.cached is None:
            raise RuntimeError("expected an open request with a cached response")
        return request


def mean_processor_seconds(work: Callable[[int], object], call_count: int) -> float:
    """Return the mean processor time (s) of calls of `work`, which is passed the number of the call."""
    started_at = time.process_time_ns()
    for number in range(call_count):
        work(number)
    return (time.process_time_ns() - started_at) / call_count / NS_PER_S
