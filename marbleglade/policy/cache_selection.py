"""Selection of the caches in this front's zone to which a request may be sent."""

from __future__ import annotations

from ..model.request import Request
from ..model.upstream import Upstream
from .fleet_hints import FleetHints
from .known_upstreams import KnownUpstreams
from .rendezvous import rank_by_rendezvous
from .retry_safety import may_send_to
from .slow_start import SlowStart


class CacheSelection:
    """Selects caches by rendezvous hash, upstream health and slow start."""

    def __init__(self, upstreams: KnownUpstreams, fleet_hints: FleetHints, slow_start: SlowStart) -> None:
        self._upstreams = upstreams
        self._fleet_hints = fleet_hints
        self._slow_start = slow_start

    def candidates(self, request: Request, now: int) -> list[Upstream]:
        """Return the caches to which the request may be sent, in rendezvous order."""
        ranked = rank_by_rendezvous(self._upstreams.zone_caches, request.object_id, request.part)
        admitted = [
            cache
            for cache in ranked
            if may_send_to(request, cache, now) and self._slow_start.admits(request, cache, now)
        ]
        # If every cache is ejected, the cause is probably not the caches, so ejections are ignored.
        usable = [cache for cache in admitted if cache.health.is_usable(now)] or admitted
        # Suspicion by the fleet is only a hint: it may exclude a minority of the caches but not half or more.
        if self._fleet_hints.last_view:
            trusted = [cache for cache in usable if now >= cache.health.suspected_until]
            mostly_trusted = len(trusted) > len(usable) - len(trusted)
            usable = trusted if mostly_trusted else usable
        return [cache for cache in usable if cache not in request.context.avoided] or usable
