"""A lightweight front: the control code of a real front on real sockets, without request traffic.

It uses the watch client, purge history, local cache and policy (with a filled directory) of `marbleglade`.
It has no connections to caches and clients.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator

import gevent

from benchmarks.no_upstreams import NoUpstreams
from benchmarks.scale.messages.fronts import AppliedPurge, CachedVersion
from benchmarks.scale.topology import peers_up_to
from benchmarks.scale.workload import CACHED_AGE_MS, HOT_OBJECTS, directory_key, group_of
from marbleglade.discovery_events import DiscoveryEvents
from marbleglade.model.parameters import Parameters
from marbleglade.model.upstream import Upstream
from marbleglade.model.watch_event import EndpointListChange, Purge
from marbleglade.policy.policy import Policy
from marbleglade.policy_driver import PolicyDriver
from marbleglade.request_handler import HandlerComponents, RequestHandler
from marbleglade.runtime import clock
from marbleglade.runtime.addresses import parse_address
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.settings.environment import Environment, read_environment
from marbleglade.state.local_cache import CachedObject, LocalCache
from marbleglade.state.purge_history import PurgeHistory, purge_retention
from marbleglade.state.upstream_registry import UpstreamRegistry
from marbleglade.testing.front_settings import front_settings

MILLISECOND_NS = 1_000_000
LOCAL_CACHE_BYTES = 1 << 20
ENTRIES_PER_YIELD = 256  # added to a directory before other greenlets run
COPY_BODY = b"x" * 64  # one body for all cached objects
DIRECTORY_CACHES = [Upstream(b"entry%d" % number) for number in range(78)]
FLOW_BYTES_PER_S = 1_000_000  # any rate above 0 enables the local cache


class RecordingEvents(DiscoveryEvents):
    """Applies the events of a front and records when each purge was first applied.

    Attributes:
        applied: Purges recorded since the last call of `take_applied`.
    """

    def __init__(self, name: str, start_ms: int, components: HandlerComponents) -> None:
        super().__init__(
            components.driver,
            components.upstream_client,
            components.upstreams,
            components.purge_history,
            components.local_cache,
            components.guard,
        )
        self.name, self.start_ms = name, start_ms
        self.seen: set[tuple[int, int, int]] = set()
        self.applied: list[AppliedPurge] = []

    def apply_and_publish(self, event: EndpointListChange | Purge) -> None:
        """Apply an event like a real front, and record a purge when it is first applied."""
        super().apply_and_publish(event)
        if not isinstance(event, Purge):
            return
        identity = event.object_id, event.group if not event.object_id else 0, event.unix_ms
        if identity not in self.seen:
            self.seen.add(identity)
            applied_us = time.time_ns() // 1000
            self.applied.append(AppliedPurge(self.name, self.start_ms, *identity, applied_us))

    def take_applied(self) -> list[AppliedPurge]:
        """Return the purges recorded since the last call, and clear the record."""
        applied, self.applied = self.applied, []
        return applied


class FixedPeers:
    """The peer list of a lightweight front, which a configuration can replace; no peer messages are sent.

    Args:
        addresses: Addresses of the front's peers; the last one is its own.
    """

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self.listen, self.addresses = addresses[-1], addresses
        self.broadcast_address: tuple[str, int] | None = None

    def replace_peers(self, peers: list[tuple[str, int]], broadcast_address: tuple[str, int] | None) -> None:
        """Replace the list of peers."""
        self.addresses, self.broadcast_address = peers, broadcast_address


def shared_settings() -> Environment:
    """Return the settings that all fronts of a host share."""
    return read_environment(front_settings(1), 1, 1.0)


class LightweightFront:
    """One incarnation of a front, with the components that a client of the control plane needs.

    Attributes:
        name: Name of the front.
        start_ms: Unix milliseconds of this start.
        policy: The policy, whose directory is filled.
        handler: Request handler that holds `events`.
        events: Applies the events of the watch client and records purges.
    """

    def __init__(self, name: str, environment: Environment, sink: int) -> None:
        self.name, self.start_ms = name, time.time_ns() // MILLISECOND_NS
        self.counters = Counters()
        self.guard = ErrorGuard(self.counters, Log(name, self.counters, sink=sink))
        self.upstreams = UpstreamRegistry(environment, clock.from_unix_ms)
        self.purges = PurgeHistory(purge_retention(environment.parameters))
        self.local_cache = LocalCache(LOCAL_CACHE_BYTES)
        self.driver = PolicyDriver(
            environment.parameters,
            self._create_policy,
            clock.now,
            environment.max_open_requests,
            self.counters,
            lambda _action: None,
        )
        self.peers = FixedPeers([parse_address(peer) for peer in peers_up_to(name)]) if "-" in name else None
        components = HandlerComponents(
            self.driver,
            NoUpstreams(),
            self.upstreams,
            self.purges,
            self.local_cache,
            FLOW_BYTES_PER_S,
            self.guard,
        )
        self.handler = RequestHandler(components)
        self.events = self.handler.events = RecordingEvents(name, self.start_ms, components)

    def _create_policy(self, parameters: Parameters, host: PolicyDriver) -> Policy:
        self.policy = Policy(parameters, host)
        return self.policy

    def fill_directory(self, entries: int) -> None:
        """Add objects to the directory, as responses of caches would, before the front is connected.

        A real front does not do this work, so it yields to the other greenlets of the process in between.
        """
        directory, now = self.policy.directory, clock.now()
        for number in range(entries):
            if not number % ENTRIES_PER_YIELD:
                gevent.sleep(0)
            object_id = directory_key(number)
            cache = DIRECTORY_CACHES[number % len(DIRECTORY_CACHES)]
            directory.add(object_id, 0, group_of(object_id), cache, now)

    def refresh_cache(self) -> None:
        """Cache the hot objects as responses would, with versions issued `CACHED_AGE_MS` ago.

        The local cache rejects a version that a newer purge covers.
        """
        issued = clock.now() - CACHED_AGE_MS * MILLISECOND_NS
        for object_id in HOT_OBJECTS:
            group = group_of(object_id)
            copy = CachedObject(COPY_BODY, "", issued, group)
            self.local_cache.put(object_id, 0, copy, self.purges.latest(object_id, group))

    def cached_versions(self) -> Iterator[CachedVersion]:
        """Return the versions in the local cache."""
        for (object_id, _), copy in self.local_cache.objects.items():
            yield CachedVersion(self.name, object_id, copy.group, clock.to_unix_ms(copy.issued_at))


def open_log_sink() -> int:
    """Open a file descriptor that discards the log lines of the fronts."""
    return os.open(os.devnull, os.O_WRONLY)
