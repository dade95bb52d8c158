"""Recovery of a disk cache: restores entries of uncommitted records, and loads committed entries."""

from __future__ import annotations

from .entry_store import EntryStore
from .entry_table import part_key
from .eviction import EvictionPolicy, RecordLocation
from .index import Index, IndexEntry, PartId
from .purge_marks import PurgeMarks
from .records import RecordHeader


def entry_of(header: RecordHeader, segment: int, offset: int) -> IndexEntry:
    """Return the index entry of a record at a location."""
    return IndexEntry(segment, offset, header.size, header.group, header.tag, header.issued_ms)


class Recovery:
    """Restores entries from records. The records must be passed in the order in which they were written.

    Args:
        entries: The index entries of the cached parts.
        purge_marks: The purge marks. Purged versions are not restored.
    """

    def __init__(self, entries: EntryStore, purge_marks: PurgeMarks) -> None:
        self._entries = entries
        self._purge_marks = purge_marks

    def restore(self, segment: int, offset: int, header: RecordHeader) -> None:
        """Restore the entry of a valid record, unless it is purged or older than the existing entry.

        If the existing entry has another tag, all parts of older versions of the object are removed.
        """
        if self._purge_marks.is_purged(header.object_id, header.group, header.issued_ms):
            return
        part_id = PartId(header.object_id, header.part)
        existing = self._entries.get(part_id)
        if existing and existing.issued_ms > header.issued_ms:
            return
        if existing and existing.tag != header.tag:
            self._entries.remove_older_versions(header.object_id, header.issued_ms)
        self._entries.put(part_id, entry_of(header, segment, offset))


class IndexLoader:
    """Loads the committed entries into the eviction policy in batches.

    Args:
        index: The durable index.
        entries: The index entries of the cached parts, including uncommitted changes.
        eviction: The eviction policy.

    Attributes:
        finished: Whether all entries are loaded.
    """

    def __init__(self, index: Index, entries: EntryStore, eviction: EvictionPolicy) -> None:
        self._index = index
        self._entries = entries
        self._eviction = eviction
        self._last_loaded: PartId | None = None
        self.finished = False

    def load(self, limit: int) -> bool:
        """Load up to `limit` entries. Return whether there may be more."""
        for count, (part_id, entry) in enumerate(self._index.entries(after=self._last_loaded), 1):
            key = part_key(*part_id)
            if self._eviction.locate(key) is None and part_id not in self._entries.uncommitted_removals:
                self._eviction.add(key, RecordLocation(entry.segment, entry.offset, entry.size), part_id.part)
            self._last_loaded = part_id
            if count >= limit:
                return True
        self.finished = True
        return False
