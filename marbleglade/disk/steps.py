"""Steps of a disk cache's writes. Tests simulate a crash at each of them."""

from __future__ import annotations

import enum


class Step(enum.StrEnum):
    """A point directly before or after a write, a compaction, a purge or the recovery."""

    APPENDING = "appending"
    APPENDED = "appended"
    SYNCED = "synced"
    COMMITTED = "committed"
    COMPACTING = "compacting"
    COMPACTED = "compacted"
    SEGMENT_REMOVED = "segment_removed"
    PURGING = "purging"
    PURGED = "purged"
    RECOVERING = "recovering"
    RECOVERED = "recovered"


def ignore_step(step: Step) -> None:
    """Do nothing. This is the default callback for steps."""
