"""The recent purges, kept until no response that predates them can arrive any more."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

from ..model.parameters import Parameters

UNKNOWN_GROUP = 256  # stands for "not known": a purge of any group may apply to the object
# More than the 43,200 purges of one hour at 12 per second, as all purges of an hour may arrive at once.
MAX_RECORDS = 1 << 16


def purge_retention(parameters: Parameters) -> int:
    """Return how long a purge has to be kept, ns.

    Caches may hold purged objects until the purge deadline. The response to an attempt that was sent before
    the front was notified of the purge may take up to the longest client timeout.
    """
    longest = max(request_class.client_timeout for request_class in parameters.request_classes)
    return parameters.purge_deadline + max(parameters.purge_deadline, longest)


class PurgeRecord(NamedTuple):
    """Purges of one object or group, or several merged records; times are ns of the front's clock.

    Attributes:
        notified_at: Time at which this front was last notified of a purge.
        purged_at: Time of the latest purge; responses issued before it are invalid.
    """

    notified_at: int
    purged_at: int


class PurgeHistory:
    """The recent purges by object and by group.

    Lookups take constant time, and `add` takes constant time on average. Expired records are dropped only by
    `add`, so lookups may still find them until the next call of `add`.

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
        # Group purges in order of notification. A new record removes the records that have no later
        # `purged_at`, so the first record has the latest `purged_at` and the last the latest `notified_at`.
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
        """Return an upper bound of the time of the last purge of the object or group, ns; 0 if none is known.

        The result may be later than that purge, as merged records apply to every object.
        """
        return max((record.purged_at for record in self._applicable(object_id, group)), default=0)

    def latest_of_any_group(self) -> int:
        """Return an upper bound of the time of the last purge of any group, ns; 0 if none is known.

        The result may be the time of an object's purge if that was merged.
        """
        return self.latest(0, UNKNOWN_GROUP)

    def _applicable(self, object_id: int, group: int) -> list[PurgeRecord]:
        """Return records that apply to the object or group.

        They include those with the latest `purged_at` and the latest `notified_at` of all applicable records.
        """
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
