"""Compaction of a disk cache: frees the segments with the fewest live bytes.

The live parts of a freed segment are rewritten to the current segment or dropped.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from .entry_store import EntryStore
from .eviction import EvictionPolicy
from .index import IndexEntry, PartId
from .purge_marks import PurgeMarks
from .records import HEADER, RecordHeader, decode_body, decode_header, record_length
from .segment_log import SegmentLog
from .steps import Step
from .write_budget import WriteBudget


def choose_segment(live_bytes: Mapping[int, int], lengths: Mapping[int, int], current: int) -> int | None:
    """Choose the segment to compact: the one with the smallest share of live bytes, the oldest on a tie.

    Args:
        live_bytes: Live bytes of each segment, by segment number.
        lengths: Length of each segment in bytes, by segment number.
        current: Number of the segment to which records are appended. It is never chosen.

    Returns:
        The number of the chosen segment, or None if there is only the current one.
    """
    return min(
        (number for number in lengths if number != current),
        key=lambda number: (live_bytes.get(number, 0) / max(1, lengths[number]), number),
        default=None,
    )


class Compactor:
    """Keeps the total length of the segments of a disk cache within its limit.

    Args:
        log: The segment log.
        entries: The index entries of the cached parts.
        eviction: The eviction policy, which tracks the live bytes of each segment.
        purge_marks: The purge marks. Purged parts are dropped instead of rewritten.
        budget: Budget of the bytes that may be rewritten.
        capacity_bytes: Maximum total length of all segments in bytes.
        checkpoint: Callback that makes all data written so far durable.
        on_step: Callback that is called with each step.
    """

    def __init__(
        self,
        log: SegmentLog,
        entries: EntryStore,
        eviction: EvictionPolicy,
        purge_marks: PurgeMarks,
        budget: WriteBudget,
        capacity_bytes: int,
        checkpoint: Callable[[], None],
        on_step: Callable[[Step], None],
    ) -> None:
        self._log = log
        self._entries = entries
        self._eviction = eviction
        self._purge_marks = purge_marks
        self._budget = budget
        self._capacity_bytes = capacity_bytes
        self._checkpoint = checkpoint
        self._on_step = on_step

    def run(self) -> None:
        """Free segments until the total length of all segments is within the limit."""
        while sum(self._log.lengths.values()) > self._capacity_bytes:
            live_bytes = self._eviction.segment_live_bytes
            number = choose_segment(live_bytes, self._log.lengths, self._log.current)
            if number is None:
                return
            self._on_step(Step.COMPACTING)
            self._compact(number)
            self._checkpoint()  # no durable entry may refer to a segment that is removed
            self._on_step(Step.COMPACTED)
            self._log.remove_segment(number)
            live_bytes.pop(number, None)
            self._on_step(Step.SEGMENT_REMOVED)

    def _compact(self, number: int) -> None:
        data = self._log.read_segment(number)
        rewrites = self._budget.try_rewrite(self._eviction.segment_live_bytes.get(number, 0))
        offset = 0
        while header := decode_header(data[offset : offset + HEADER.size]):
            end = offset + record_length(header.size)
            part_id = PartId(header.object_id, header.part)
            entry = self._entries.get(part_id)
            if entry and (entry.segment, entry.offset) == (number, offset):
                body = decode_body(header, data[offset:end])
                purged = self._purge_marks.is_purged(header.object_id, header.group, header.issued_ms)
                if rewrites and body is not None and not purged:
                    self._rewrite(part_id, entry, header, body)
                else:
                    self._entries.remove(part_id)
            offset = end

    def _rewrite(self, part_id: PartId, entry: IndexEntry, header: RecordHeader, body: bytes) -> None:
        if not self._log.has_space(header.size):
            self._checkpoint()
            self._log.start_next_segment()
        segment = self._log.current
        offset = self._log.append(dataclasses.replace(header, serial=self._log.serial + 1), body)
        self._entries.put(part_id, entry._replace(segment=segment, offset=offset))
