"""Object cache of a stand-in upstream; concurrent requests for the same missing object can share one fill."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from gevent.event import AsyncResult

from .object_store import NS_PER_MS, ObjectVersion, PartKey, group_of

MAX_CACHED_OBJECTS = 4096

Fill = Callable[[], ObjectVersion | None]


class ObjectCache:
    """Cached object versions of a stand-in upstream; when full, the first stored entry is evicted.

    Args:
        clock: Returns the Unix time in ns.

    Attributes:
        versions: Cached versions by object and part.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self.versions: OrderedDict[PartKey, ObjectVersion] = OrderedDict()
        self._fills: dict[PartKey, AsyncResult[ObjectVersion | None]] = {}

    @property
    def fills_in_flight(self) -> int:
        """Number of fills in progress."""
        return len(self._fills)

    def clear(self) -> None:
        """Remove all versions."""
        self.versions.clear()

    def drop_purged(self, object_id: int, group: int, purged_at_ms: int) -> None:
        """Remove versions no newer than a purge of an object, or of a group if `object_id` is 0."""
        for key, version in list(self.versions.items()):
            matches = key.object_id == object_id if object_id else group_of(key.object_id) == group
            if matches and version.issued_ms <= purged_at_ms:
                del self.versions[key]

    def get(self, key: PartKey, max_age_ms: int) -> ObjectVersion | None:
        """Return the cached version if its age is at most `max_age_ms`, where 0 allows any age; else None."""
        version = self.versions.get(key)
        return version if version and self._is_fresh(version, max_age_ms) else None

    def put(self, key: PartKey, version: ObjectVersion) -> None:
        """Store a version unless a newer one is cached."""
        present = self.versions.get(key)
        if not present or present.issued_ms <= version.issued_ms:
            self.versions[key] = version
        if len(self.versions) > MAX_CACHED_OBJECTS:
            self.versions.popitem(last=False)

    def join_fill(self, key: PartKey, max_age_ms: int) -> ObjectVersion | None:
        """Wait for the fill in progress; return its version, or None without a fill or if it is too old."""
        fill = self._fills.get(key)
        if fill is None:
            return None
        version: ObjectVersion | None = fill.get()
        return version if version and self._is_fresh(version, max_age_ms) else None

    def fill(self, key: PartKey, fill: Fill) -> ObjectVersion | None:
        """Fetch an object with `fill` and store it; meanwhile, `join_fill` waits for this fill."""
        result = self._fills[key] = AsyncResult()
        version = None
        try:
            version = fill()
        finally:
            result.set(version)
            if self._fills.get(key) is result:
                del self._fills[key]
        if version:
            self.put(key, version)
        return version

    def _is_fresh(self, version: ObjectVersion, max_age_ms: int) -> bool:
        return not max_age_ms or self._clock() - version.issued_ms * NS_PER_MS <= max_age_ms * NS_PER_MS
