"""Counters of a disk cache."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DiskCacheCounters:
    """Counters of a disk cache since it was opened.

    Attributes:
        torn_tails: Segments that ended in an invalid or incomplete record when the cache was opened.
        corrupt: Parts dropped on reading because their record was invalid.
        purged: Parts dropped on reading because they were purged.
        recovered: Parts restored, when the cache was opened, from records appended after the last commit.
        evicted: Parts evicted to make space for others.
        not_admitted: New parts rejected by the eviction policy or the write budget.
    """

    torn_tails: int = 0
    corrupt: int = 0
    purged: int = 0
    recovered: int = 0
    evicted: int = 0
    not_admitted: int = 0
