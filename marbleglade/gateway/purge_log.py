"""Records the purges that are exchanged between regions, and detects which ones may have been missed.

A purge has an index within one incarnation of the sending gateway. Its time is by the clock of its region.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..state.purge_history import UNKNOWN_GROUP


@dataclass(frozen=True, slots=True)
class RegionPurge:
    """A purge of an object or of a group.

    Attributes:
        index: The purge's number, which increases within one incarnation of the sending gateway.
        object_id: The id of the purged object; 0 if the whole group is purged.
        group: The object's group, or the group that is purged.
        purged_at_ms: The time of the purge, Unix milliseconds by the clock of its region.
    """

    index: int
    object_id: int
    group: int
    purged_at_ms: int


class RecordedPurge(NamedTuple):
    """A purge, and the time at which this gateway recorded it, Unix milliseconds."""

    recorded_at_ms: int
    purge: RegionPurge


class PurgeSender:
    """Records the recent purges of this gateway's region, so that they can be sent to other regions.

    Args:
        recorded_since_ms: The time since which every purge is recorded, Unix milliseconds.
        retention_ms: The time for which a purge is stored, ms.
        max_records: The maximum number of stored purges.

    Attributes:
        index: The index of the latest purge; 0 before the first one.
    """

    def __init__(self, recorded_since_ms: int, retention_ms: int, max_records: int) -> None:
        self.recorded_since_ms = recorded_since_ms
        self.retention_ms = retention_ms
        self.max_records = max_records
        self.index = 0
        self._records: deque[RecordedPurge] = deque()

    def add(self, object_id: int, group: int, purged_at_ms: int, now_ms: int) -> RegionPurge:
        """Record a purge at `now_ms`, remove obsolete records, and return the purge with its index."""
        self.index += 1
        purge = RegionPurge(self.index, object_id, group, purged_at_ms)
        self._records.append(RecordedPurge(now_ms, purge))
        while self._records and self._oldest_is_obsolete(now_ms):
            removed = self._records.popleft()
            self.recorded_since_ms = max(self.recorded_since_ms, removed.recorded_at_ms)
        return purge

    def _oldest_is_obsolete(self, now_ms: int) -> bool:
        age_ms = now_ms - self._records[0].recorded_at_ms
        return len(self._records) > self.max_records or age_ms > self.retention_ms

    def after(self, index: int) -> Iterator[RegionPurge]:
        """Return the recorded purges of this incarnation with an index above `index`; for 0 all of them."""
        return (record.purge for record in self._records if record.purge.index > index)

    def complete_since_ms(self, index: int) -> int:
        """Return the time from which on a receiver misses no purge, Unix milliseconds; 0 if it misses none.

        The receiver has the purges of this incarnation up to `index` and those that `after(index)` returns.
        """
        first = self._records[0].purge.index if self._records else self.index + 1
        return 0 if index > 0 and first <= index + 1 else self.recorded_since_ms


class PurgeReceiver:
    """Records the purges of a remote region from all its gateways; the records survive disconnections.

    Args:
        max_records: The maximum number of purges of objects, and likewise of groups.

    Attributes:
        by_object: The latest purge of each object, Unix milliseconds by the region's clock.
        by_group: The latest purge of each group, Unix milliseconds by the region's clock.
        all_purged_up_to_ms: Every object issued up to this time by the region's clock counts as purged,
            Unix milliseconds.
        complete_at_ms: The time up to which no purge is missing, Unix milliseconds by the region's clock.
        confirmed_at: The time of the last confirmation of completeness, ns of this gateway's clock; 0 if
            there was none.
    """

    def __init__(self, max_records: int) -> None:
        self.max_records = max_records
        self.by_object: dict[int, int] = {}
        self.by_group: dict[int, int] = {}
        self.all_purged_up_to_ms = 0
        self.complete_at_ms = 0
        self.confirmed_at = 0

    def add(self, purge: RegionPurge) -> None:
        """Record a purge.

        Above `max_records` the oldest is removed, and every object issued up to its time counts as purged.
        """
        if purge.object_id:
            times, key = self.by_object, purge.object_id
        else:
            times, key = self.by_group, purge.group
        times[key] = max(purge.purged_at_ms, times.pop(key, 0))
        if len(times) > self.max_records:
            oldest = min(times, key=times.__getitem__)
            self.all_purged_up_to_ms = max(self.all_purged_up_to_ms, times.pop(oldest))

    def mark_synchronized(self, since_ms: int, sent_at_ms: int, now: int) -> bool:
        """Record that one gateway of the region has sent all purges that it has recorded.

        Args:
            since_ms: The time since which that gateway has recorded every purge, Unix milliseconds.
            sent_at_ms: The time at which it sent the message, Unix milliseconds by its clock.
            now: The current time, ns.

        Returns:
            False if purges may be missing, since the records here were complete only up to a time before
            `since_ms`. Every object issued up to `since_ms` then counts as purged.
        """
        complete = since_ms <= self.complete_at_ms or not self.confirmed_at
        if not complete:
            self.all_purged_up_to_ms = max(self.all_purged_up_to_ms, since_ms)
        self.confirm(sent_at_ms, now)
        return complete

    def confirm(self, sent_at_ms: int, now: int) -> None:
        """Record a synchronized gateway's message, sent at `sent_at_ms` by its clock, received at `now`."""
        self.complete_at_ms = max(self.complete_at_ms, sent_at_ms)
        self.confirmed_at = max(self.confirmed_at, now)

    def latest_ms(self, object_id: int, group: int) -> int:
        """Return the time of the latest purge that applies to an object, Unix milliseconds; 0 if none does.

        If the object's group is unknown, the purges of all groups apply.
        """
        if group == UNKNOWN_GROUP:
            group_purged_ms = max(self.by_group.values(), default=0)
        else:
            group_purged_ms = self.by_group.get(group, 0)
        return max(self.all_purged_up_to_ms, self.by_object.get(object_id, 0), group_purged_ms)

    def is_purged(self, object_id: int, group: int, issued_ms: int) -> bool:
        """Return whether an object is purged, which includes one issued in the millisecond of the purge."""
        purged_ms = self.latest_ms(object_id, group)
        return bool(purged_ms) and issued_ms <= purged_ms

    def confirmed_within(self, now: int, limit: int) -> bool:
        """Return whether completeness was confirmed no more than `limit` ns before `now`."""
        return bool(self.confirmed_at) and now - self.confirmed_at <= limit
