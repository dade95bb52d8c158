"""Purge marks of a disk cache: they determine which versions must not be returned any more."""

from __future__ import annotations

from .index import Index, MetadataKey, PurgeMark, PurgeScope

MAX_MARKS_PER_SCOPE = 1 << 16


class PurgeMarks:
    """The purge marks, loaded from the index when the cache is opened. Each new mark is committed at once.

    Args:
        index: The durable index.

    Attributes:
        objects: Unix time in milliseconds of the latest purge of each purged object, by object id.
        groups: Unix time in milliseconds of the latest purge of each purged group, by group number.
        purged_through_ms: Unix time in milliseconds. All versions issued at or before it are purged.
    """

    def __init__(self, index: Index) -> None:
        self._index = index
        self.objects: dict[int, int] = {}
        self.groups: dict[int, int] = {}
        for mark in index.purge_marks():
            self._marks(mark.scope)[mark.number] = mark.purged_at_ms
        self.purged_through_ms = index.metadata(MetadataKey.PURGED_THROUGH_MS)

    def _marks(self, scope: PurgeScope) -> dict[int, int]:
        return self.objects if scope is PurgeScope.OBJECT else self.groups

    def is_purged(self, object_id: int, group: int, issued_ms: int) -> bool:
        """Return whether a version issued at this Unix time in milliseconds must not be returned."""
        purged_at_ms = max(self.objects.get(object_id, 0), self.groups.get(group, 0))
        return issued_ms <= max(self.purged_through_ms, purged_at_ms)

    def add(self, mark: PurgeMark, event_number: int = 0) -> None:
        """Add a mark, which is durable when this returns. The later of it and an existing mark is kept.

        If a scope already has `MAX_MARKS_PER_SCOPE` marks, all versions issued at or before the time of its
        oldest mark are purged from then on.

        Args:
            mark: The purge mark.
            event_number: Number of the discovery event that announced the purge, or 0 if there was none.
        """
        marks = self._marks(mark.scope)
        purged_at_ms = max(mark.purged_at_ms, marks.get(mark.number, 0))
        metadata = {MetadataKey.LAST_EVENT: event_number} if event_number else {}
        if mark.number not in marks and len(marks) >= MAX_MARKS_PER_SCOPE:
            self.purged_through_ms = max(self.purged_through_ms, min(marks.values()))
            metadata[MetadataKey.PURGED_THROUGH_MS] = self.purged_through_ms
        marks[mark.number] = purged_at_ms
        self._index.commit(purge_marks=[mark._replace(purged_at_ms=purged_at_ms)], metadata=metadata)

    def purge_through(self, through_ms: int) -> None:
        """Purge all versions issued at or before a Unix time in milliseconds, durably when this returns."""
        if through_ms > self.purged_through_ms:
            self.purged_through_ms = through_ms
            self._index.commit(metadata={MetadataKey.PURGED_THROUGH_MS: through_ms})
