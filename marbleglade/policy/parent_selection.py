"""Selection of the parent that fills an object."""

from __future__ import annotations

from ..model.request import Request
from ..model.upstream import Upstream, UpstreamState
from .known_upstreams import KnownUpstreams
from .rendezvous import rank_by_rendezvous
from .slow_start import SlowStart

PARENT_HASH_PART = 0  # hashed in place of the part, so that all parts of an object have the same parent


class ParentSelection:
    """Selects a parent by the rendezvous hash over all listed parents."""

    def __init__(self, upstreams: KnownUpstreams, slow_start: SlowStart) -> None:
        self._upstreams = upstreams
        self._slow_start = slow_start

    def select(self, request: Request, now: int) -> Upstream | None:
        """Return the first usable parent in rendezvous order, or None."""
        for parent in rank_by_rendezvous(self._upstreams.parents, request.object_id, PARENT_HASH_PART):
            usable = (
                parent.state is UpstreamState.ACTIVE
                and parent.health.is_usable(now)
                and parent not in request.context.avoided
            )
            if usable and self._slow_start.admits(request, parent, now):
                return parent
        return None

    def select_or_origin(self, request: Request, now: int) -> Upstream | None:
        """Return the fill source for a miss: the selected parent, else the origin, else None."""
        return self.select(request, now) or self._upstreams.origin
