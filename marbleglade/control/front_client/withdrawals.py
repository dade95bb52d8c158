"""Tracks which caches the sources of a front have withdrawn, without I/O.

A source withdraws a cache by listing it as draining or removed. The cache stays withdrawn although another
source, which may lag behind, still lists it as active. This ends once the active source has withdrawn the
cache as well and listed it as active again, or once the cache has started again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...model.upstream import UpstreamState
from ...model.watch_event import Endpoint

MAX_WITHDRAWALS = 4096  # stored per front; the oldest is dropped first
MAX_SOURCES_PER_WITHDRAWAL = 8  # streams stored per withdrawal


def is_withdrawn(endpoint: Endpoint) -> bool:
    """Return whether an entry lists its cache as draining or removed."""
    return endpoint.state is not UpstreamState.ACTIVE


@dataclass(slots=True)
class Withdrawal:
    """A cache that a source listed as draining or removed.

    Attributes:
        started_ms: The start of the cache that was withdrawn, in Unix milliseconds; 0 if not known.
        sources: The streams that withdrew this start.
        revoked: Whether the active source withdrew this start and listed it as active again afterwards, or
            the list of the discovery service, once activated, has the cache as active.
    """

    started_ms: int
    sources: set[str] = field(default_factory=set)
    revoked: bool = False


@dataclass(slots=True)
class Withdrawals:
    """The most recent withdrawals by cache id, at most `MAX_WITHDRAWALS`."""

    by_id: dict[str, Withdrawal] = field(default_factory=dict)

    def record(self, endpoint: Endpoint, stream: str) -> bool:
        """Record that a stream withdrew a cache; return whether no stream withdrew this start before."""
        known = self.by_id.get(endpoint.id)
        if known and known.started_ms > endpoint.started_ms:
            return False
        if known is None or known.started_ms < endpoint.started_ms:
            self.by_id.pop(endpoint.id, None)
            self.by_id[endpoint.id] = Withdrawal(endpoint.started_ms, {stream})
            if len(self.by_id) > MAX_WITHDRAWALS:
                del self.by_id[next(iter(self.by_id))]
            return True
        if len(known.sources) >= MAX_SOURCES_PER_WITHDRAWAL:
            known.sources.clear()
        known.sources.add(stream)
        return False

    def suppresses(self, endpoint: Endpoint, stream: str) -> bool:
        """Return whether a cache that the active source lists as active stays withdrawn by another source."""
        known = self.by_id.get(endpoint.id)
        if (
            known is None
            or known.started_ms < endpoint.started_ms
            or not endpoint.started_ms
            or known.revoked
        ):
            return False
        if stream in known.sources:
            known.revoked = True
            return False
        return True

    def record_active_source(self, endpoint: Endpoint, stream: str) -> None:
        """Record that the active source withdrew a cache, and cancel an earlier revocation."""
        self.record(endpoint, stream)
        known = self.by_id[endpoint.id]
        if known.started_ms == endpoint.started_ms:
            known.revoked = False

    def revoke(self, endpoints: list[Endpoint]) -> None:
        """Revoke the withdrawals of caches that the discovery service lists as active."""
        for endpoint in endpoints:
            known = self.by_id.get(endpoint.id)
            if known and endpoint.started_ms <= known.started_ms:
                known.revoked = True
