"""The upstreams listed by the discovery service, with their ids and addresses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..model.upstream import Upstream, UpstreamRole, UpstreamState, name_hash
from ..model.watch_event import Endpoint, EndpointListChange
from ..runtime.units import SECOND_NS
from ..settings.environment import Environment

MAINTENANCE_ROLES = frozenset({UpstreamRole.CACHE, UpstreamRole.PARENT})  # roles that can be in maintenance
MAX_NOTIFICATION_DELAY = 7 * SECOND_NS  # the longest delay of a list change in the discovery service
UNKNOWN_ZONE = -1  # stands for a zone that is not in the settings


@dataclass(slots=True, eq=False)
class RegisteredUpstream:
    """An upstream and its entry in the endpoint list.

    Attributes:
        upstream: The upstream in the form that the policy uses.
        id: Id of the upstream in the endpoint list.
        address: Host and port.
        started_ms: Time at which its process started, Unix milliseconds; 0 if not known.
    """

    upstream: Upstream
    id: str
    address: tuple[str, int]
    started_ms: int


@dataclass(slots=True, eq=False)
class EndpointUpdate:
    """The effect of one change of the endpoint list.

    Attributes:
        listed: The upstreams contained in the change.
        invalidated: Upstreams that were removed, restarted or moved; their connections must not be reused.
    """

    listed: list[Upstream] = field(default_factory=list)
    invalidated: list[Upstream] = field(default_factory=list)


class UpstreamRegistry:
    """All upstreams by id.

    Args:
        environment: The settings, which contain the names of machine kinds and zones.
        from_unix_ms: Converts Unix milliseconds to nanoseconds of the front's clock.
    """

    def __init__(self, environment: Environment, from_unix_ms: Callable[[int], int]) -> None:
        self.environment = environment
        self.from_unix_ms = from_unix_ms
        self.by_id: dict[str, RegisteredUpstream] = {}
        self.by_upstream: dict[Upstream, RegisteredUpstream] = {}
        # The latest start, Unix ms, of each machine that was ever out of service for maintenance, by
        # `name_hash`. Entries are never removed: after a later start of the machine, its entry has no effect.
        self.granted_starts_ms: dict[int, int] = {}
        # Upstreams that started up to this time, Unix ms, may be out of service, as the maintenance state is
        # not known yet. None if it is known.
        self.status_unknown_until_ms: int | None = None
        # Upstreams that are listed as active, but drained here because they may be out of service.
        self.withheld: set[Upstream] = set()

    def role(self, kind: str) -> UpstreamRole:
        """Return the role of a machine kind; a kind that is not in the settings is a cache."""
        kinds = self.environment.kinds
        return self.environment.role(kinds.index(kind)) if kind in kinds else UpstreamRole.CACHE

    def has_active_cache(self) -> bool:
        """Return whether at least one listed cache is active."""
        return any(
            upstream.role is UpstreamRole.CACHE and upstream.state is UpstreamState.ACTIVE
            for upstream in self.by_upstream
        )

    def is_out_of_service(self, upstream_id: str, started_ms: int) -> bool:
        """Return whether this incarnation of an upstream is out of service; a later one is in service."""
        return self.granted_starts_ms.get(name_hash(upstream_id.encode()), -1) >= started_ms

    def take_out_of_service(self, starts_ms: dict[int, int]) -> list[Upstream]:
        """Drain the upstreams that are out of service for maintenance.

        Args:
            starts_ms: The start of each machine with a maintenance grant, Unix milliseconds, by `name_hash`
                of its id. Entries of fronts and of machines that are back in service have no effect here.

        Returns:
            The upstreams drained by this call, which were active or withheld before.
        """
        for key, started_ms in starts_ms.items():
            self.granted_starts_ms[key] = max(started_ms, self.granted_starts_ms.get(key, started_ms))
        drained = []
        for entry in self.by_id.values():
            upstream = entry.upstream
            is_listed_active = upstream.state is UpstreamState.ACTIVE or upstream in self.withheld
            if is_listed_active and self.is_out_of_service(entry.id, entry.started_ms):
                upstream.state = UpstreamState.DRAINING
                self.withheld.discard(upstream)
                drained.append(upstream)
        return drained

    def withhold(self, started_ms: int) -> list[Upstream]:
        """Drain the caches and parents that may be out of service, including any listed later.

        Args:
            started_ms: Upstreams that started after this time, Unix milliseconds, are in service.

        Returns:
            The upstreams drained by this call.
        """
        self.status_unknown_until_ms = started_ms
        drained = []
        for entry in self.by_id.values():
            active = entry.upstream.state is UpstreamState.ACTIVE
            if active and self._may_be_out_of_service(entry.upstream, entry.started_ms):
                entry.upstream.state = UpstreamState.DRAINING
                self.withheld.add(entry.upstream)
                drained.append(entry.upstream)
        return drained

    def release(self) -> list[Upstream]:
        """Reactivate the upstreams that are still withheld; return them."""
        self.status_unknown_until_ms = None
        released = [upstream for upstream in self.by_upstream if upstream in self.withheld]
        for upstream in released:
            upstream.state = UpstreamState.ACTIVE
        self.withheld = set()
        return released

    def _may_be_out_of_service(self, upstream: Upstream, started_ms: int) -> bool:
        is_unknown = self.status_unknown_until_ms is not None and started_ms <= self.status_unknown_until_ms
        return is_unknown and upstream.role in MAINTENANCE_ROLES

    def mark_draining(self, upstream_id: str, started_ms: int) -> Upstream | None:
        """Drain an upstream and return it; None if it is not active or this is not its current start."""
        entry = self.by_id.get(upstream_id)
        if entry is None or entry.started_ms != started_ms:
            return None
        self.withheld.discard(entry.upstream)  # so that `release` does not reactivate it
        if entry.upstream.state is not UpstreamState.ACTIVE:
            return None
        entry.upstream.state = UpstreamState.DRAINING
        return entry.upstream

    def apply(self, change: EndpointListChange, confirmed_at: int = 0) -> EndpointUpdate:
        """Apply a change of the endpoint list.

        Args:
            change: The change sent by the discovery service.
            confirmed_at: Time at which the list was last confirmed to be up to date, ns; 0 if not known.
        """
        update = EndpointUpdate()
        for endpoint in change.endpoints:
            self._apply_endpoint(endpoint, confirmed_at, update)
        self._drain_unreadable(change.unreadable, update)
        if change.complete:
            for upstream in self.by_upstream.keys() - set(update.listed):
                upstream.state = UpstreamState.REMOVED
        self._delete_removed(update)
        return update

    def _apply_endpoint(self, endpoint: Endpoint, confirmed_at: int, update: EndpointUpdate) -> None:
        entry = self.by_id.get(endpoint.id) or self._register(endpoint)
        upstream = entry.upstream
        # An unchanged start keeps its `started_at`, as each conversion gives a slightly different value.
        restarted = entry.started_ms != endpoint.started_ms
        if restarted or entry.address != endpoint.address:
            update.invalidated.append(upstream)
        if restarted:
            entry.started_ms = endpoint.started_ms
            upstream.started_at = self._started_at(endpoint.started_ms, confirmed_at)
        entry.address = endpoint.address
        upstream.role = self.role(endpoint.kind)
        upstream.cell = endpoint.cell
        upstream.zone = self._zone(endpoint.zone)
        upstream.state = self._state(endpoint, upstream)
        update.listed.append(upstream)

    def _register(self, endpoint: Endpoint) -> RegisteredUpstream:
        entry = RegisteredUpstream(Upstream(endpoint.id.encode()), endpoint.id, endpoint.address, 0)
        self.by_id[endpoint.id] = entry
        self.by_upstream[entry.upstream] = entry
        return entry

    def _started_at(self, started_ms: int, confirmed_at: int) -> int:
        """Return the time at which an upstream started, ns of the front's clock; 0 if not known.

        A start that is new in the list can be older than the last confirmation of the list by at most
        `MAX_NOTIFICATION_DELAY`. This bound keeps a cold cache from appearing warm if this machine's clock is
        ahead.
        """
        if not started_ms:
            return 0
        started_at = self.from_unix_ms(started_ms)
        return max(started_at, confirmed_at - MAX_NOTIFICATION_DELAY) if confirmed_at else started_at

    def _zone(self, zone: str) -> int:
        """Return the number of a zone; without zones in the settings, always the front's own zone."""
        zones = self.environment.zones
        if not zones:
            return self.environment.parameters.zone
        return zones.index(zone) if zone in zones else UNKNOWN_ZONE

    def _state(self, endpoint: Endpoint, upstream: Upstream) -> UpstreamState:
        self.withheld.discard(upstream)
        if endpoint.state is not UpstreamState.ACTIVE:
            return endpoint.state
        if self.granted_starts_ms and self.is_out_of_service(endpoint.id, endpoint.started_ms):
            return UpstreamState.DRAINING
        if self._may_be_out_of_service(upstream, endpoint.started_ms):
            self.withheld.add(upstream)
            return UpstreamState.DRAINING
        return UpstreamState.ACTIVE

    def _drain_unreadable(self, ids: list[str], update: EndpointUpdate) -> None:
        """Drain upstreams with an unreadable entry, which may be a drain, until a readable entry arrives."""
        for upstream_id in ids:
            entry = self.by_id.get(upstream_id)
            if entry is None:
                continue
            self.withheld.discard(entry.upstream)
            if entry.upstream.state is UpstreamState.ACTIVE:
                entry.upstream.state = UpstreamState.DRAINING
            update.listed.append(entry.upstream)

    def _delete_removed(self, update: EndpointUpdate) -> None:
        removed = [upstream for upstream in self.by_upstream if upstream.state is UpstreamState.REMOVED]
        for upstream in removed:
            update.invalidated.append(upstream)
            del self.by_id[self.by_upstream.pop(upstream).id]
