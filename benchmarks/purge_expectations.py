"""Checks that no version of an object is served after the purge of that version must be in effect."""

from __future__ import annotations

from typing import NamedTuple

from marbleglade.testing.object_store import group_of

from .request_results import RequestResults

NEVER = float("inf")


class ExpectedPurge(NamedTuple):
    """A purge of an object, or of a group of one region if `object_id` is 0.

    Attributes:
        object_id: The object, or 0.
        group: The group, if `object_id` is 0.
        is_west: Whether the group belongs to the west; the region of an object follows from its top bit.
        purged_at: Time of publication in monotonic seconds.
        effective_at: By target, the monotonic seconds from which nothing older may be served; a target that
            is absent has no deadline.
    """

    object_id: int
    group: int
    is_west: bool
    purged_at: float
    effective_at: dict[str, float]

    def matches(self, object_id: int) -> bool:
        """Return whether this purge concerns the object."""
        if self.object_id:
            return self.object_id == object_id
        return self.group == group_of(object_id) and self.is_west == bool(object_id >> 63)


class PurgeExpectations:
    """All purges of a run, in the order of their publication."""

    def __init__(self) -> None:
        self.purges: list[ExpectedPurge] = []

    def add(
        self, object_id: int, group: int, is_west: bool, purged_at: float, effective_at: dict[str, float]
    ) -> None:
        """Add a purge; for the arguments see `ExpectedPurge`."""
        self.purges.append(ExpectedPurge(object_id, group, is_west, purged_at, effective_at))

    def _effective_times(self, object_id: int, target: str) -> list[float]:
        return [purge.effective_at.get(target, NEVER) for purge in self.purges if purge.matches(object_id)]

    def check(self, results: RequestResults) -> None:
        """Count served versions that were too old; call it once the deadlines of all purges are known."""
        for sent_at, target, object_id, version in results.served_versions:
            times = self._effective_times(object_id, target)  # at index i: the purge of version i + 1
            required = max((index + 2 for index, at in enumerate(times) if at < sent_at), default=1)
            if version < required:
                results.stale += 1
                results.add_note(
                    f"stale response from {target}: object {object_id:016x}, version {version}, expected "
                    f"at least {required}, {sent_at - times[version - 1]:.2f} s late, sent at {sent_at:.2f}"
                )
            for effective_at in times[version - 1 :]:  # the purges that should have removed this version
                if effective_at < NEVER:
                    results.worst_staleness_s = max(results.worst_staleness_s, sent_at - effective_at)
