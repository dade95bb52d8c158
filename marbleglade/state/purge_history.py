"""The recent purges, kept until no response that predates them can arrive any more."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

from ..model.parameters import Parameters

UNKNOWN_GROUP = 256  # stands for "not known": a purge of any group may apply to the object
MAX_RECORDS = 1 << 16  # more than the 43,200 purges of an hour at 12 per second, which may arrive at once


def purge_retention(parameters: Parameters) -> int:
    """Return how long a purge has to be kept, ns.

    Caches may hold purged objects until the purge deadline. The response to an attempt that was sent before
    the front was notified of the purge may take up to the longest client timeout.
    """
    longest = max(request_class.client_timeout for request_class in parameters.request_classes)
    return parameters.purge_deadline + max(parameters.purge_deadline, longest)


class PurgeRecord(NamedTuple):
    """One purge; times are in nanoseconds of the front's clock.

    Attributes:
        notified_at: Time at which this front was notified of the purge.
        purged_at: Time of the purge; responses issued before it are invalid.
    """

    notified_at: int
    purged_at: int


class PurgeHistory:
    """The recent purges by object and by group. The cost of a call does not grow with their number.

    Args:
        retention: Time for which a purge is kept, ns.
        unknown_group: The group number that stands for "not known"; a purge of any group applies to it.
            None if there is no such number.
        max_records: Limit on the number of records. Above it, the oldest record is merged into one that
            applies to every object. Too many objects may then count as purged, but never too few.
    """

    def __init__(
        self, retention: int, unknown_group: int | None = UNKNOWN_GROUP, max_records: int = MAX_RECORDS
    ) -> None:
        self.retention = retention
        self.unknown_group = unknown_group
        self.max_records = max_records
        # By ("object", id) or ("group", number), in order of notification, the oldest first.
        self.records: OrderedDict[tuple[str, int], PurgeRecord] = OrderedDict()
        # The group purges not followed by the notification of a group purge with an equal or later
        # `purged_at`. The first record has the latest `purged_at` of all, the last the latest `notified_at`.
        self._group_records: deque[PurgeRecord] = deque()
        self._merged: PurgeRecord | None = None

    def add(self, object_id: int, group: int, purged_at: int, now: int) -> None:
        """Record a purge of an object or, if `object_id` is 0, of a group; `now` must never decrease."""
        key = ("object", object_id) if object_id else ("group", group)
        previous = self.records.pop(key, None)
        latest = max(purged_at, previous.purged_at) if previous else purged_at
        record = PurgeRecord(now, latest)
        self.records[key] = record
        if not object_id:
            while self._group_records and self._group_records[-1].purged_at <= record.purged_at:
                self._group_records.pop()
            self._group_records.append(record)
        self._expire(now)

    def notified_since(self, object_id: int, group: int, moment: int) -> bool:
        """Return whether the front was notified of a purge of the object or group after `moment` (ns)."""
        return any(record.notified_at > moment for record in self._applicable(object_id, group))

    def latest(self, object_id: int, group: int) -> int:
        """Return the time of the last purge of the object or group, ns; 0 if none within the retention."""
        return max((record.purged_at for record in self._applicable(object_id, group)), default=0)

    def latest_of_any_group(self) -> int:
        """Return the time of the last purge of any group, ns; 0 if none within the retention."""
        return self.latest(0, UNKNOWN_GROUP)

    def _applicable(self, object_id: int, group: int) -> list[PurgeRecord]:
        """Return the applicable records with the latest `purged_at` and the latest `notified_at`."""
        if not self.records:
            return []
        records = [self._merged] if self._merged else []
        if record := self.records.get(("object", object_id)):
            records.append(record)
        if group == self.unknown_group:
            if self._group_records:
                records += (self._group_records[0], self._group_records[-1])
        elif record := self.records.get(("group", group)):
            records.append(record)
        return records

    def _expire(self, now: int) -> None:
        """Drop the records older than the retention, and merge the oldest one if there are too many."""
        while now - next(iter(self.records.values())).notified_at > self.retention:
            self.records.popitem(last=False)
        while self._group_records and now - self._group_records[0].notified_at > self.retention:
            self._group_records.popleft()
        if self._merged and now - self._merged.notified_at > self.retention:
            self._merged = None
        if len(self.records) > self.max_records:
            _, oldest = self.records.popitem(last=False)
            merged = self._merged or oldest
            self._merged = PurgeRecord(oldest.notified_at, max(oldest.purged_at, merged.purged_at))
