"""The front's own cache of object parts: bounded in bytes, with LRU eviction."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..runtime.units import MILLISECOND_NS
from .purge_history import UNKNOWN_GROUP
from .purge_index import PurgeIndex

PURGE_TOLERANCE = MILLISECOND_NS  # an object issued up to this long after a purge still counts as older


@dataclass(slots=True, eq=False)
class CachedObject:
    """One cached part of an object.

    Attributes:
        body: The bytes of the part.
        tag: The entity tag of this version of the object.
        issued_at: Time at which the origin issued the response, ns of the front's clock.
        group: The purge group of the object.
    """

    body: bytes
    tag: str
    issued_at: int
    group: int


class LocalCache:
    """A least-recently-used cache of object parts.

    Attributes:
        objects: The entries by object id and part, the least recently used first.
        used_bytes: Total size of all bodies.

    Args:
        max_bytes: Limit on `used_bytes`; above it, the least recently used entries are evicted.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.objects: OrderedDict[tuple[int, int], CachedObject] = OrderedDict()
        self._index: PurgeIndex[tuple[int, int]] = PurgeIndex(UNKNOWN_GROUP)

    def get(self, object_id: int, part: int) -> CachedObject | None:
        """Return the entry of a part and mark it as used; None if there is none."""
        entry = self.objects.get((object_id, part))
        if entry:
            self.objects.move_to_end((object_id, part))
        return entry

    def put(self, object_id: int, part: int, entry: CachedObject, purged_at: int) -> None:
        """Store an entry, unless it is too large, no newer than the existing one, or purged.

        Args:
            object_id: The object.
            part: The part of the object.
            entry: The entry to store.
            purged_at: Time of the last purge of the object or its group, ns; 0 if no purge is known.
        """
        key = (object_id, part)
        existing = self.objects.get(key)
        if existing and existing.issued_at >= entry.issued_at:
            return
        if purged_at and entry.issued_at <= purged_at + PURGE_TOLERANCE:
            return
        if len(entry.body) > self.max_bytes:
            return
        self._drop(key)
        self.objects[key] = entry
        self._index.add(key, object_id, entry.group)
        self.used_bytes += len(entry.body)
        while self.used_bytes > self.max_bytes:
            self._drop(next(iter(self.objects)))

    def purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Drop the entries of an object or, if `object_id` is 0, of a group, if older than the purge."""
        for key in self._index.matching(object_id, group):
            if self.objects[key].issued_at <= purged_at + PURGE_TOLERANCE:
                self._drop(key)

    def drop_issued_before(self, issued_at: int) -> None:
        """Drop all entries issued up to `PURGE_TOLERANCE` after this time (ns). Scans the whole cache."""
        newest_dropped = issued_at + PURGE_TOLERANCE
        for key in [key for key, entry in self.objects.items() if entry.issued_at <= newest_dropped]:
            self._drop(key)

    def _drop(self, key: tuple[int, int]) -> None:
        if entry := self.objects.pop(key, None):
            self.used_bytes -= len(entry.body)
            self._index.discard(key)
