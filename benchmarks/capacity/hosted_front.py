"""The parts of a front in this process, without sockets, to apply purges and list changes to."""

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

SECOND = 1_000_000_000  # ns
PROFILE, TRACE = "menu-pages", "0" * 16
GROUPS = 256  # of purges
FLOW_BYTES_PER_S = 2_000_000  # of one transfer from the local cache
COPIES_BYTES = 1 << 30
OBJECT_STEP = 0x9E3779B97F4A7C15  # spreads objects over all numbers


def object_number(number: int) -> int:
    """The object of that number in a row; never 0."""
    return (number + 1) * OBJECT_STEP & 0xFFFF_FFFF_FFFF_FFFF


def members(count: int, state: UpstreamState = UpstreamState.ACTIVE) -> list[Endpoint]:
    """So many caches as the discovery service lists them, and a parent and an origin."""
    caches = [
        Endpoint(f"box{n}", ("127.0.0.1", 1024 + n), ZONE, "box", 0, state, 1_700_000_000_000)
        for n in range(count)
    ]
    return [
        *caches,
        Endpoint("hub0", ("127.0.0.1", 1022), ZONE, "hub", 0, UpstreamState.ACTIVE, 1),
        Endpoint("root", ("127.0.0.1", 1023), ZONE, "root", 0, UpstreamState.ACTIVE, 1),
    ]


class HostedFront:
    """One front's policy, local cache and open requests, put together as in `service.request_path_wiring`."""

    def __init__(self, caches: int = 8) -> None:
        environment: Environment = read_environment(
            front_settings(1, PeerMessages=False), 1, local_link_capacity=4.0
        )
        parameters, counters = environment.parameters, Counters(strict=False)
        self.sink = os.open(os.devnull, os.O_WRONLY)
        guard = ErrorGuard(counters, Log("measured", counters, sink=self.sink))
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
        self.local_cache = LocalCache(COPIES_BYTES)
        parts = HandlerComponents(
            self.driver, connections, upstreams, purges, self.local_cache, FLOW_BYTES_PER_S, guard
        )
        self.front = RequestHandler(parts)
        self.front.events.apply(EndpointListChange(1, True, members(caches)))

    def close(self) -> None:
        """Close the log's descriptor."""
        os.close(self.sink)

    def request(self, number: int, group: int) -> tuple[ClientRequest, Request]:
        """A client's request of an object, as the listener passes it on."""
        client_request = ClientRequest(
            number,
            self.request_class,
            PROFILE,
            TRACE,
            2 * SECOND,
            False,
            f"{number:016x}",
            0,
            group,
            "",
            b"",
        )
        return client_request, self.front.admit(client_request)

    def serve(self, number: int) -> None:
        """One request that a cache answers at once: the directory lists its object from then on."""
        _, request = self.request(object_number(number), number % GROUPS)
        step = self.driver.next_step(request)
        while isinstance(step, AttemptOrder):
            self.driver.report_result(step, AttemptResult.OK)
            step = self.driver.next_step(request)
        self.driver.forget(request)

    def cache_object(self, number: int, body: bytes, age: int = 0) -> None:
        """Put an object into the local cache that was issued `age` ns ago."""
        copy = CachedObject(body, f"{number:016x}", clock.now() - age, number % GROUPS)
        self.local_cache.put(object_number(number), 0, copy, 0)

    def open_request(self, number: int) -> Request:
        """Return a request that waits for a cache, with a cached response that is too old to be served."""
        self.request_class.freshness_lifetime = SECOND
        self.cache_object(number, b"x", age=2 * SECOND)
        client_request, request = self.request(object_number(number), number % GROUPS)
        if self.front.answer_immediately(client_request, request) is not None or request.cached is None:
            raise RuntimeError("the request is not open with a copy")
        return request


def seconds_of(work: Callable[[int], object], times: int) -> float:
    """Return the mean processor time (s) of so many calls of `work`, which gets the number of the call."""
    began = time.process_time_ns()
    for number in range(times):
        work(number)
    return (time.process_time_ns() - began) / times / SECOND
