"""Entries of a disk cache: the durable index together with the changes not yet committed to it."""

from __future__ import annotations

from collections.abc import Mapping

from .entry_table import part_key
from .eviction import EvictionPolicy, RecordLocation
from .index import Index, IndexEntry, MetadataKey, PartId


class EntryStore:
    """The current entry of each part, including uncommitted changes.

    Args:
        index: The durable index.
        eviction: The eviction policy, which is updated with each change.

    Attributes:
        uncommitted: New and changed entries that are not committed yet.
        uncommitted_removals: Parts whose removal is not committed yet, in the order of removal.
    """

    def __init__(self, index: Index, eviction: EvictionPolicy) -> None:
        self._index = index
        self._eviction = eviction
        self.uncommitted: dict[PartId, IndexEntry] = {}
        self.uncommitted_removals: dict[PartId, None] = {}

    def get(self, part_id: PartId) -> IndexEntry | None:
        """Return the entry of a part, or None if the part is not cached."""
        if part_id in self.uncommitted_removals:
            return None
        return self.uncommitted.get(part_id) or self._index.get(part_id)

    def put(self, part_id: PartId, entry: IndexEntry) -> None:
        """Set the entry of a part."""
        self.uncommitted_removals.pop(part_id, None)
        self.uncommitted[part_id] = entry
        key = part_key(*part_id)
        self._eviction.add(key, RecordLocation(entry.segment, entry.offset, entry.size), part_id.part)

    def remove(self, part_id: PartId) -> None:
        """Remove the entry of a part."""
        self.uncommitted.pop(part_id, None)
        self.uncommitted_removals[part_id] = None
        self._eviction.remove(part_key(*part_id))

    def remove_older_versions(self, object_id: int, issued_ms: int) -> None:
        """Remove the parts of an object whose version was issued before a Unix time in milliseconds."""
        older = {part_id for part_id, entry in self._index.entries(object_id) if entry.issued_ms < issued_ms}
        older |= {
            part_id
            for part_id, entry in self.uncommitted.items()
            if part_id.object_id == object_id and entry.issued_ms < issued_ms
        }
        for part_id in older:
            self.remove(part_id)

    def commit(self, metadata: Mapping[MetadataKey, int]) -> None:
        """Commit all changes to the index, together with the metadata of a checkpoint."""
        self._index.commit(put=self.uncommitted.items(), remove=self.uncommitted_removals, metadata=metadata)
        self.uncommitted.clear()
        self.uncommitted_removals.clear()
