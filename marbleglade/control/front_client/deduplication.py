"""Detects purges that were already received from another source. Without I/O."""

from __future__ import annotations

from ...model.watch_event import NEVER, Purge

MAX_RECENT_PURGES = 1 << 14  # in each of the two generations

PurgeIdentity = tuple[int, int, int]


def purge_identity(purge: Purge) -> PurgeIdentity | None:
    """Return a key that is equal for copies of one purge in different streams.

    Return None if the time of the purge is not known, since copies can't be recognised then.
    """
    if purge.unix_ms >= NEVER:
        return None
    return purge.object_id, 0 if purge.object_id else purge.group, purge.unix_ms


class RecentPurges:
    """The identities of recent purges, in two generations.

    When the newer generation is full, the older one is dropped.
    """

    def __init__(self, size: int = MAX_RECENT_PURGES) -> None:
        self.size = size
        self._current: set[PurgeIdentity] = set()
        self._previous: set[PurgeIdentity] = set()

    def is_duplicate(self, purge: Purge) -> bool:
        """Return whether this purge is among the recorded ones."""
        key = purge_identity(purge)
        return key in self._current or key in self._previous

    def record(self, purge: Purge) -> None:
        """Record that the purge was applied."""
        key = purge_identity(purge)
        if key is None:
            return
        self._current.add(key)
        if len(self._current) >= self.size:
            self._previous = self._current
            self._current = set()
