"""A bounded directory of the caches that recently served each part of an object."""

from __future__ import annotations

from collections import OrderedDict

from ..model.upstream import Upstream
from .purge_index import PurgeIndex

Key = tuple[int, int]  # object id and part


class Directory:
    """Caches by object part, each with the time of its last response, ns.

    Args:
        max_entries: Limit on the number of parts; above it, the least recently added part is dropped.
    """

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self._entries: OrderedDict[Key, dict[Upstream, int]] = OrderedDict()
        self._index: PurgeIndex[Key] = PurgeIndex()

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._entries)

    def caches(self, object_id: int, part: int) -> dict[Upstream, int]:
        """Return the caches that served a part, each with the time of its last response, ns."""
        return self._entries.get((object_id, part), {})

    def add(self, object_id: int, part: int, group: int, cache: Upstream, now: int) -> None:
        """Record that a cache served a part at `now`."""
        key = (object_id, part)
        caches = self._entries.pop(key, {})
        caches[cache] = now
        self._entries[key] = caches
        self._index.add(key, object_id, group)
        if len(self._entries) > self.max_entries:
            oldest, _ = self._entries.popitem(last=False)
            self._index.discard(oldest)

    def discard(self, object_id: int, part: int, cache: Upstream) -> None:
        """Record that a cache does not hold a part."""
        self.caches(object_id, part).pop(cache, None)

    def purge(self, object_id: int, group: int) -> None:
        """Clear the entries of an object or, if `object_id` is 0, of a group; their order does not change."""
        for key in self._index.matching(object_id, group):
            self._entries[key].clear()
            self._index.discard(key)
