"""A lightweight front: the control code of a real front over real sockets, without requests.

The watch client, the purge history, the local cache and the policy with a full directory are those of
`marbleglade`; connections to caches and clients are left out.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator

import gevent

from benchmarks.no_upstreams import NoUpstreams
from benchmarks.scale.messages.fronts import AppliedPurge, CachedVersion
from benchmarks.scale.topology import peers_before
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

MILLISECOND = 1_000_000  # nanoseconds
LOCAL_CACHE_BYTES = 1 << 20
ENTRIES_PER_PAUSE = 256  # that are entered into a directory before other greenlets run
COPY_BODY = b"x" * 64  # one body for all cached objects
DIRECTORY_CACHES = [Upstream(b"entry%d" % number) for number in range(78)]
FLOW_BYTES_PER_S = 1_000_000  # bytes a second; above 0, so that the local cache is used


class RecordingEvents(DiscoveryEvents):
    """A front's events; records when a purge was applied for the first time.

    Attributes:
        applied: The purges recorded since the last `drain`.
    """

    def __init__(self, name: str, start_ms: int, parts: HandlerComponents) -> None:
        super().__init__(
            parts.driver,
            parts.upstream_client,
            parts.upstreams,
            parts.purge_history,
            parts.local_cache,
            parts.guard,
        )
        self.name, self.start_ms = name, start_ms
        self.seen: set[tuple[int, int, int]] = set()
        self.applied: list[AppliedPurge] = []

    def apply_and_publish(self, event: EndpointListChange | Purge) -> None:
        """Apply an event as every front does."""
        super().apply_and_publish(event)
        if not isinstance(event, Purge):
            return
        identity = event.object_id, event.group if not event.object_id else 0, event.unix_ms
        if identity not in self.seen:
            self.seen.add(identity)
            applied_us = time.time_ns() // 1000
            self.applied.append(AppliedPurge(self.name, self.start_ms, *identity, applied_us))

    def drain(self) -> list[AppliedPurge]:
        """The purges applied since the last call."""
        applied, self.applied = self.applied, []
        return applied


class FixedPeers:
    """The list of peers of a lightweight front, to whom it sends nothing; a configuration can change it.

    Args:
        addresses: The addresses of its peers, its own the last.
    """

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self.listen, self.addresses = addresses[-1], addresses
        self.broadcast_address: tuple[str, int] | None = None

    def replace_peers(self, peers: list[tuple[str, int]], broadcast_address: tuple[str, int] | None) -> None:
        """Use another list of peers."""
        self.addresses, self.broadcast_address = peers, broadcast_address


def shared_settings() -> Environment:
    """The settings that all fronts of a host share."""
    return read_environment(front_settings(1), 1, 1.0)


class LightweightFront:
    """One start of one front, with the parts that a client of the control plane needs.

    Attributes:
        name: Its name.
        start_ms: Unix milliseconds of this start.
        policy: Its policy, whose directory is filled.
        handler: Applies the events of its watch client.
        events: The same events, recorded.
    """

    def __init__(self, name: str, environment: Environment, sink: int) -> None:
        self.name, self.start_ms = name, time.time_ns() // MILLISECOND
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
        self.peers = FixedPeers([parse_address(peer) for peer in peers_before(name)]) if "-" in name else None
        parts = HandlerComponents(
            self.driver,
            NoUpstreams(),
            self.upstreams,
            self.purges,
            self.local_cache,
            FLOW_BYTES_PER_S,
            self.guard,
        )
        self.handler = RequestHandler(parts)
        self.events = self.handler.events = RecordingEvents(name, self.start_ms, parts)

    def _create_policy(self, parameters: Parameters, host: PolicyDriver) -> Policy:
        self.policy = Policy(parameters, host)
        return self.policy

    def fill_directory(self, entries: int) -> None:
        """Enter objects into the directory as responses of caches would, before the front is connected.

        It is no work of a front, so the other greenlets of the process run in between.
        """
        directory, now = self.policy.directory, clock.now()
        for number in range(entries):
            if not number % ENTRIES_PER_PAUSE:
                gevent.sleep(0)
            object_id = directory_key(number)
            cache = DIRECTORY_CACHES[number % len(DIRECTORY_CACHES)]
            directory.add(object_id, 0, group_of(object_id), cache, now)

    def refresh_cache(self) -> None:
        """Cache the hot objects as responses would bring them, sent by the origin a little while ago.

        One that a purge has overtaken meanwhile is refused.
        """
        issued = clock.now() - CACHED_AGE_MS * MILLISECOND
        for object_id in HOT_OBJECTS:
            group = group_of(object_id)
            copy = CachedObject(COPY_BODY, "", issued, group)
            self.local_cache.put(object_id, 0, copy, self.purges.latest(object_id, group))

    def cached_versions(self) -> Iterator[CachedVersion]:
        """Return the versions in its local cache."""
        for (object_id, _), copy in self.local_cache.objects.items():
            yield CachedVersion(self.name, object_id, copy.group, clock.to_unix_ms(copy.issued_at))


def discard() -> int:
    """Open a file descriptor that discards the fronts' log lines."""
    return os.open(os.devnull, os.O_WRONLY)
