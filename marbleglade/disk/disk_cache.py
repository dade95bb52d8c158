"""The disk cache: parts of objects in segment files, with a durable index, consistent after any crash.

Order of writes:

1. A record is appended to the current segment.
2. The segment is synced.
3. The entries and the checkpoint are committed to the index.
4. Segments to which no entry refers any more are removed.

A purge mark is committed before `purge` returns. After a crash, the index has the state of its last commit.
The records that were appended since then are read from the checkpoint up to the first invalid record. A part
is returned only if its body passes its checksum and its version was issued after every purge that applies.

Not thread-safe: one thread at a time may use it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from .admission import Admission
from .cached_part import CachedPart
from .compaction import Compactor
from .counters import DiskCacheCounters
from .entry_store import EntryStore
from .entry_table import part_key
from .eviction import EvictionPolicy
from .files import SegmentFiles
from .index import Index, IndexEntry, MetadataKey, PartId, PurgeMark, PurgeScope
from .purge_marks import PurgeMarks
from .records import MAX_BODY_BYTES, RecordHeader, checksum_of
from .recovery import IndexLoader, Recovery, entry_of
from .segment_log import SegmentLog
from .steps import Step, ignore_step
from .write_budget import WriteBudget

MIN_SEGMENTS = 32  # segments of a full cache, unless each would be smaller than MIN_SEGMENT_BYTES
SEGMENT_OVERHEAD = 1.25  # ratio of the maximum total length of the segments to the capacity for live parts
MIN_SEGMENT_BYTES = 1 << 16
MIN_CHECKPOINT_BYTES = 1 << 16
CHECKPOINTS_PER_CAPACITY = 64  # default number of checkpoints while as many bytes as the capacity are written
MIN_EXPECTED_PARTS = 1 << 10
EXPECTED_PART_BYTES = 8192
MAX_UNCOMMITTED_REMOVALS = 1 << 12
ENTRIES_PER_LOAD = 4096


class DiskCache:
    """A cache of parts on disk. Opening it restores the records written since the last checkpoint.

    Args:
        files: The segment files.
        index: The durable index.
        capacity_bytes: Maximum total size of the live parts in bytes.
        budget: Budget of the bytes written to the disk.
        seed: Seed of the eviction policy's random samples.
        checkpoint_bytes: Bytes written between two checkpoints, or 0 for a fixed fraction of the capacity.
        on_step: Callback that is called with each step. Tests simulate crashes with it.

    Raises:
        OSError: The disk failed. Every method that reads or writes raises it too.
    """

    def __init__(
        self,
        files: SegmentFiles,
        index: Index,
        capacity_bytes: int,
        budget: WriteBudget,
        seed: int = 1,
        checkpoint_bytes: int = 0,
        on_step: Callable[[Step], None] = ignore_step,
    ) -> None:
        self.files = files
        self.index = index
        self.budget = budget
        self._on_step = on_step
        default_checkpoint_bytes = max(MIN_CHECKPOINT_BYTES, capacity_bytes // CHECKPOINTS_PER_CAPACITY)
        self._checkpoint_bytes = checkpoint_bytes or default_checkpoint_bytes
        self._bytes_since_checkpoint = 0
        segments_bytes = int(capacity_bytes * SEGMENT_OVERHEAD)
        self.log = SegmentLog(files, max(MIN_SEGMENT_BYTES, segments_bytes // MIN_SEGMENTS))
        expected_parts = max(MIN_EXPECTED_PARTS, capacity_bytes // EXPECTED_PART_BYTES)
        self.eviction = EvictionPolicy(capacity_bytes, seed, expected_parts)
        self.entries = EntryStore(index, self.eviction)
        self.counters = DiskCacheCounters()
        self._admission = Admission(self.eviction, budget, self.entries, files, self.counters)
        self._loader = IndexLoader(index, self.entries, self.eviction)
        on_step(Step.RECOVERING)
        self.purge_marks = PurgeMarks(index)
        self._compactor = self._make_compactor(segments_bytes)
        self._recover()
        on_step(Step.RECOVERED)

    # Start.

    def _make_compactor(self, capacity_bytes: int) -> Compactor:
        return Compactor(
            self.log,
            self.entries,
            self.eviction,
            self.purge_marks,
            self.budget,
            capacity_bytes,
            self.checkpoint,
            self._on_step,
        )

    def _recover(self) -> None:
        """Restore the records appended since the last checkpoint. `load` loads the committed entries."""
        self.log.serial = self.index.metadata(MetadataKey.SERIAL)
        self.counters.torn_tails = self.log.replay(
            self.index.metadata(MetadataKey.CHECKPOINT_SEGMENT),
            self.index.metadata(MetadataKey.CHECKPOINT_OFFSET),
            Recovery(self.entries, self.purge_marks).restore,
        )
        self.counters.recovered = len(self.entries.uncommitted)
        self.log.start_next_segment()  # the tail of the last segment may be torn, so it is not appended to
        self.checkpoint()
        self.log.remove_empty_segments()

    def load(self, limit: int = ENTRIES_PER_LOAD) -> bool:
        """Load up to `limit` committed entries into the eviction policy. Return whether there may be more.

        The cache can be used before all entries are loaded, as lookups read the index.
        """
        return self._loader.load(limit)

    # Reading.

    def get(self, object_id: int, part: int) -> CachedPart | None:
        """Read a part and record its use. Return None if the part is not cached, purged or corrupt."""
        part_id = PartId(object_id, part)
        self.eviction.record_use(part_key(*part_id))
        entry = self.entries.get(part_id)
        if entry is None:
            return None
        if self.purge_marks.is_purged(object_id, entry.group, entry.issued_ms):
            self.counters.purged += 1
            self.entries.remove(part_id)
            if len(self.entries.uncommitted_removals) > MAX_UNCOMMITTED_REMOVALS:
                self.checkpoint()
            return None
        body = self.log.read_body(part_id, entry)
        if body is None:
            self.counters.corrupt += 1
            self.entries.remove(part_id)
            return None
        return CachedPart(body, f"{entry.tag:016x}", entry.issued_ms, entry.group)

    # Writing.

    def put(self, object_id: int, part: int, content: CachedPart, now_ns: int) -> bool:
        """Write a part if it is admitted. Return whether it was written; it may not be synced yet.

        A part is not written if it is too large or purged, or if the cached version is not older.
        If the tag of `content` differs from that of the cached part, all parts of older versions of the
        object are removed, even if the part is not admitted. `part` is the part's number in its object, and
        `now_ns` is the current monotonic time in nanoseconds, for the write budget.
        """
        part_id = PartId(object_id, part)
        size = len(content.body)
        existing = self.entries.get(part_id)
        if (
            size > min(MAX_BODY_BYTES, self.log.segment_size)
            or self.purge_marks.is_purged(object_id, content.group, content.issued_ms)
            or (existing and existing.issued_ms >= content.issued_ms)
        ):
            return False
        tag_number = int(content.tag, 16)
        if existing and existing.tag != tag_number:
            self.entries.remove_older_versions(object_id, content.issued_ms)
            existing = None
        if not self._admission.try_admit(part_id, size, existing is not None, now_ns):
            return False
        header = RecordHeader(
            object_id=object_id,
            part=part,
            group=content.group,
            tag=tag_number,
            issued_ms=content.issued_ms,
            size=size,
            checksum=checksum_of(content.body),
            serial=self.log.serial + 1,
        )
        offset = self._append(header, content.body)
        self.entries.put(part_id, entry_of(header, self.log.current, offset))
        if self._bytes_since_checkpoint >= self._checkpoint_bytes:
            self.checkpoint()
        return True

    def _append(self, header: RecordHeader, body: bytes) -> int:
        """Append a record to the current segment, or to a new one if it does not fit. Return its offset."""
        if not self.log.has_space(header.size):
            self.checkpoint()
            self.log.start_next_segment()
            if self._loader.finished:
                self._compactor.run()
        self._on_step(Step.APPENDING)
        offset = self.log.append(header, body)
        self._bytes_since_checkpoint += self.log.end - offset
        self._on_step(Step.APPENDED)
        return offset

    def remove(self, object_id: int, parts: list[int]) -> None:
        """Remove parts of an object. The removal is durable when this returns."""
        for part in parts:
            self.entries.remove(PartId(object_id, part))
        self.checkpoint()

    def checkpoint(self) -> None:
        """Make all data written so far durable."""
        self.log.sync()
        self._on_step(Step.SYNCED)
        self._commit()
        self._on_step(Step.COMMITTED)

    def _commit(self) -> None:
        self.entries.commit(
            {
                MetadataKey.CHECKPOINT_SEGMENT: self.log.current,
                MetadataKey.CHECKPOINT_OFFSET: self.log.end,
                MetadataKey.SERIAL: self.log.serial,
            }
        )
        self._bytes_since_checkpoint = 0

    # Purges.

    def purge(self, object_id: int, group: int, purged_at_ms: int, event_number: int = 0) -> None:
        """Purge an object, or a purge group if `object_id` is 0. The purge is durable when this returns.

        Args:
            object_id: Id of the object, or 0 to purge the group.
            group: The purge group.
            purged_at_ms: Unix time in milliseconds. Versions issued at or before it are purged.
            event_number: Number of the discovery event that announced the purge, or 0 if there was none.
        """
        scope, number = (PurgeScope.OBJECT, object_id) if object_id else (PurgeScope.GROUP, group)
        self._on_step(Step.PURGING)
        self.purge_marks.add(PurgeMark(scope, number, purged_at_ms), event_number)
        self._on_step(Step.PURGED)

    def purge_through(self, through_ms: int) -> None:
        """Treat all versions issued at or before a Unix time in milliseconds as purged.

        This is needed when purges may have been missed.
        """
        self.purge_marks.purge_through(through_ms)

    @property
    def last_event_number(self) -> int:
        """Number of the last discovery event whose purge was stored, or 0 if there was none."""
        return self.index.metadata(MetadataKey.LAST_EVENT)

    # Contents.

    def stored_parts(self, object_id: int | None = None) -> Iterator[tuple[PartId, IndexEntry]]:
        """Yield the committed entries of one object, or of all objects if `object_id` is None."""
        return self.index.entries(object_id)

    def close(self) -> None:
        """Make all data durable, then close the index and the segment files."""
        self.checkpoint()
        self.index.close()
        self.files.close()
