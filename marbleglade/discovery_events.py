"""Applies updates from discovery, control nodes and other fronts: endpoint lists, purges, drains."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .model.peer_update import PeerUpdate, UpstreamLeaving
from .model.upstream import Upstream, UpstreamState
from .model.watch_event import NEVER, EndpointListChange, Purge
from .policy_driver import PolicyDriver
from .runtime import clock
from .runtime.error_guard import ErrorGuard
from .runtime.units import SECOND_NS
from .state.local_cache import LocalCache
from .state.purge_history import PurgeHistory
from .state.upstream_registry import UpstreamRegistry
from .transport.attempt_sender import AttemptSender

MAX_PURGE_DELAY_NS = SECOND_NS  # the longest delay of a purge in the discovery service


class DiscoveryCallbacks(NamedTuple):
    """Functions of the front that `DiscoveryEvents` calls; the defaults do nothing.

    Attributes:
        confirmed_at: Returns when discovery last confirmed that this front missed no event, ns; 0 if unknown.
        publish: Shares an update with the other fronts.
        retract: Stops sharing the drain of the upstream with this id.
    """

    confirmed_at: Callable[[], int] = lambda: 0
    publish: Callable[[PeerUpdate], None] = lambda _update: None
    retract: Callable[[str], None] = lambda _upstream_id: None


class DiscoveryEvents:
    """Applies each event to all affected components of a front.

    Args:
        driver: Runs the policy.
        upstream_client: Closes connections to upstreams that are removed or drained.
        upstreams: The endpoint list.
        purge_history: The recent purges.
        local_cache: The front's own cache.
        guard: Provides the log and the counters.
        callbacks: Functions of the front; None for the defaults.
    """

    def __init__(
        self,
        driver: PolicyDriver,
        upstream_client: AttemptSender,
        upstreams: UpstreamRegistry,
        purge_history: PurgeHistory,
        local_cache: LocalCache,
        guard: ErrorGuard,
        callbacks: DiscoveryCallbacks | None = None,
    ) -> None:
        self._driver = driver
        self._upstream_client = upstream_client
        self._upstreams = upstreams
        self._purge_history = purge_history
        self._local_cache = local_cache
        self._counters = guard.counters
        self._log = guard.log
        self._callbacks = callbacks or DiscoveryCallbacks()

    def apply(self, event: EndpointListChange | Purge) -> None:
        """Apply an event of the discovery service."""
        if isinstance(event, Purge):
            self._purge(event)
            return
        update = self._upstreams.apply(event, self._callbacks.confirmed_at())
        self._upstream_client.drop_connections(update.invalidated)
        self._driver.update_endpoints(update.listed, event.complete)
        self._log.info("endpoints", index=event.index, complete=event.complete, listed=len(update.listed))

    def apply_and_publish(self, event: EndpointListChange | Purge) -> None:
        """Apply an event of the discovery service, and share its purge or drains with the other fronts."""
        self.apply(event)
        if isinstance(event, Purge):
            self._callbacks.publish(event)
            return
        for endpoint in event.endpoints:
            if endpoint.state is UpstreamState.ACTIVE:
                self._callbacks.retract(endpoint.id)
            elif not event.complete:
                self._callbacks.publish(UpstreamLeaving(event.index, endpoint.id, endpoint.started_ms))

    def apply_peer_update(self, update: PeerUpdate) -> None:
        """Apply an update from another front, in case the discovery service can't reach this one."""
        if isinstance(update, Purge):
            self._purge(update)
            return
        upstream = self._upstreams.mark_draining(update.id, update.started_ms)
        if upstream:
            self._driver.update_endpoints([upstream], False)
            self._log.info("gossip", index=update.index, upstream=update.id)

    def take_out_of_service(self, starts_ms: dict[int, int]) -> None:
        """Drain upstreams that are out of service for maintenance.

        Args:
            starts_ms: The machines; see `UpstreamRegistry.take_out_of_service`.
        """
        drained = self._upstreams.take_out_of_service(starts_ms)
        if not drained:
            return
        self._upstream_client.drop_connections(drained)
        self._driver.update_endpoints(drained, False)
        self._log.info("out_of_service", upstreams=self._upstream_ids(drained))

    def withhold_upstreams(self, started_ms: int) -> None:
        """Drain caches and parents until it is known which are out of service for maintenance.

        Args:
            started_ms: The start of this front, Unix ms; upstreams that started later are in service.
        """
        withheld = self._upstreams.withhold(started_ms)
        self._upstream_client.drop_connections(withheld)
        self._driver.update_endpoints(withheld, False)
        self._log.info("upstreams_withheld", upstreams=self._upstream_ids(withheld))

    def release_upstreams(self) -> None:
        """Reactivate the caches and parents that were withheld and are in service."""
        released = self._upstreams.release()
        self._driver.update_endpoints(released, False)
        self._log.info("upstreams_released", upstreams=self._upstream_ids(released))

    def _upstream_ids(self, upstreams: list[Upstream]) -> list[str]:
        return [self._upstreams.by_upstream[upstream].id for upstream in upstreams]

    def _purge(self, purge: Purge) -> None:
        now = clock.now()
        readable = purge.unix_ms < NEVER
        purged_at = clock.from_unix_ms(purge.unix_ms) if readable else now
        # The history and the cache compare the purge with the issue time of objects, which is converted with
        # the same offset. The comparison is correct even if this machine's clock is wrong.
        self._purge_history.add(purge.object_id, purge.group, purged_at, now)
        self._local_cache.purge(purge.object_id, purge.group, purged_at)
        # An open request may be served later than the history keeps the purge, so its response is detached.
        self._driver.open_requests.purge(purge.object_id, purge.group, purged_at)
        # The policy needs the age of the purge. The purge was issued at most `MAX_PURGE_DELAY_NS` before the
        # last confirmation that no event was missing here.
        confirmed_at = self._callbacks.confirmed_at()
        earliest_purge_at = confirmed_at - MAX_PURGE_DELAY_NS if confirmed_at else purged_at
        self._driver.handle_purge(purge.object_id, purge.group, min(max(purged_at, earliest_purge_at), now))
        self._counters.add("purge.received")
