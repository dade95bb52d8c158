"""Admission of new parts to a disk cache, and eviction of cached parts to make space for them."""

from __future__ import annotations

from .counters import DiskCacheCounters
from .entry_store import EntryStore
from .entry_table import part_key
from .eviction import EvictionPolicy
from .files import SegmentFiles
from .index import PartId
from .records import HEADER, decode_header
from .write_budget import WriteBudget


class Admission:
    """Decides whether a new part is written.

    Args:
        eviction: The eviction policy.
        budget: Budget of the bytes written to the disk.
        entries: The index entries of the cached parts.
        files: The segment files, from which the headers of evicted parts are read.
        counters: Counters of evicted and rejected parts.
    """

    def __init__(
        self,
        eviction: EvictionPolicy,
        budget: WriteBudget,
        entries: EntryStore,
        files: SegmentFiles,
        counters: DiskCacheCounters,
    ) -> None:
        self._eviction = eviction
        self._budget = budget
        self._entries = entries
        self._files = files
        self._counters = counters

    def try_admit(self, part_id: PartId, size: int, is_replacement: bool, now_ns: int) -> bool:
        """Admit a new part if the eviction policy and the write budget allow it, and evict parts for it.

        Args:
            part_id: Id of the new part.
            size: Size of its body in bytes.
            is_replacement: Whether the part replaces a cached version of itself. Then nothing is evicted.
            now_ns: Current monotonic time in nanoseconds.

        Returns:
            True if the part is admitted. The parts that had to make space for it have been evicted then.
        """
        victims: list[int] | None = []
        if not is_replacement:
            victims = self._eviction.choose_victims(part_key(*part_id), size, part_id.part)
        if victims is None or not self._budget.try_write(size, now_ns):
            self._counters.not_admitted += 1
            return False
        for key in victims:
            self._evict(key)
        return True

    def _evict(self, key: int) -> None:
        """Evict the part with this key. The header of its record on disk gives the part's id."""
        location = self._eviction.locate(key)
        if location is None:
            raise KeyError(key)
        header = decode_header(self._files.read(location.segment, location.offset, HEADER.size))
        self._counters.evicted += 1
        if header and part_key(header.object_id, header.part) == key:
            self._entries.remove(PartId(header.object_id, header.part))
        else:
            self._eviction.remove(key)
