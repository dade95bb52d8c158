"""Merges changes of the list of caches into one equivalent change, without I/O.

While the event history of the discovery service is replayed, its changes are merged before they are applied,
so that no cache that was removed meanwhile is used again. The list of every control node is merged as well,
so that it can be activated at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...model.upstream import UpstreamState
from ...model.watch_event import Endpoint, EndpointListChange

MAX_CACHES = 1 << 14  # in one list; a change that would exceed it is rejected


class ListTooLongError(Exception):
    """A list of caches would exceed `MAX_CACHES`."""


@dataclass(slots=True)
class MergedListChange:
    """The result of merging list changes.

    Attributes:
        complete: Whether a complete list was merged. If so, caches removed since are not stored.
        index: The index of the last merged change.
        endpoints: The latest entry of each cache, by cache id.
        unreadable: The ids of caches whose latest entry could not be read, in order of arrival.
    """

    complete: bool = False
    index: int = 0
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    unreadable: dict[str, None] = field(default_factory=dict)

    def add(self, change: EndpointListChange) -> None:
        """Merge the next change.

        Raises:
            ListTooLongError: The list would become too long; the change was not merged.
        """
        if not self._fits(change):
            self._drop_removed()
        if not self._fits(change):
            raise ListTooLongError(f"the list would exceed {MAX_CACHES} caches")
        if change.complete:
            self.complete, self.endpoints, self.unreadable = True, {}, {}
        for endpoint in change.endpoints:
            self._store_latest(endpoint)
        for cache_id in change.unreadable:
            self.unreadable[cache_id] = None
        self.index = change.index

    def _fits(self, change: EndpointListChange) -> bool:
        existing = 0 if change.complete else len(self.endpoints) + len(self.unreadable)
        return existing + len(change.endpoints) + len(change.unreadable) <= MAX_CACHES

    def _drop_removed(self) -> None:
        removed = [endpoint.id for endpoint in self.endpoints.values() if _is_removed(endpoint)]
        for cache_id in removed:
            del self.endpoints[cache_id]

    def _store_latest(self, endpoint: Endpoint) -> None:
        self.unreadable.pop(endpoint.id, None)
        if self.complete and _is_removed(endpoint):
            self.endpoints.pop(endpoint.id, None)
        else:
            self.endpoints[endpoint.id] = endpoint

    @property
    def empty(self) -> bool:
        """Whether the merged change is not a complete list and has no entries."""
        return not (self.complete or self.endpoints or self.unreadable)

    def as_change(self) -> EndpointListChange:
        """Return the merged changes as a single change."""
        return EndpointListChange(
            self.index, self.complete, list(self.endpoints.values()), list(self.unreadable)
        )


def _is_removed(endpoint: Endpoint) -> bool:
    return endpoint.state is UpstreamState.REMOVED
