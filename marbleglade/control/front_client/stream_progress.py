"""Tracks how far a front has applied the stream of a control node, and which events it may confirm.

Without I/O, clocks or randomness. Times are nanoseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..messages import NO_STREAM, Greeting

MIN_CONFIRMATION_INTERVAL_NS = 200_000_000  # between two confirmations on a connection


class SequenceError(Exception):
    """The indices of a stream have a gap or decrease. The connection is closed and opened again."""


@dataclass(slots=True)
class StreamProgress:
    """How far the stream of one node was applied.

    Attributes:
        stream: The id of the stream that the indices belong to.
        applied: Every event up to this index was received. All of them were applied if `first_failed` is 0.
        snapshot_to: The last index of the snapshot in progress; 0 without a snapshot.
        first_failed: The index of the first event that could not be applied; 0 if there is none. Neither it
            nor any later event is confirmed.
        retried: Whether an event failed and was requested again since the front last caught up.
        base_index: The index from which the present connection resumed, or at which its snapshot ended.
        confirmed: The last index confirmed on the present connection.
        confirmed_at: When the last confirmation was sent, in nanoseconds.
        caught_up: Whether all events up to the node's last heartbeat were applied.
    """

    stream: str = NO_STREAM
    applied: int = 0
    snapshot_to: int = 0
    first_failed: int = 0
    retried: bool = False
    base_index: int = 0
    confirmed: int = 0
    confirmed_at: int = 0
    caught_up: bool = False

    def resume_from(self) -> tuple[str, int]:
        """Return the stream and index to resume from, so that the node sends failed events again.

        A failed event of a snapshot can't be requested alone, so the stream is requested from the beginning.
        """
        if self.first_failed and self.first_failed <= self.base_index:
            return NO_STREAM, 0
        return self.stream, self.confirmable_index

    def begin(self, greeting: Greeting) -> None:
        """Resume the stream, or begin another one if the greeting names another."""
        stream, resumed = self.resume_from()
        if greeting.stream != stream:
            self.stream, resumed = greeting.stream, 0
        self.applied = self.base_index = resumed
        self.snapshot_to = greeting.snapshot_to
        self.first_failed = self.confirmed = 0
        self.caught_up = False

    def is_new(self, index: int) -> bool:
        """Return whether an event is to be applied; False for a duplicate.

        Raises:
            SequenceError: Events before it are missing.
        """
        if self.snapshot_to:
            return True
        if index > self.applied + 1:
            raise SequenceError(f"received event {index}, expected event {self.applied + 1}")
        return index > self.applied

    def record_applied(self, index: int) -> None:
        """Record an applied event. The events of a snapshot count as applied only once its last index is."""
        if not self.snapshot_to:
            self.applied = max(self.applied, index)
        elif index >= self.snapshot_to:
            self.applied = self.base_index = index
            self.snapshot_to = 0

    def record_failure(self, index: int) -> bool:
        """Record an event that could not be applied, and return whether to request it again.

        If it fails again the stream continues, but neither this event nor any later one is confirmed.
        """
        if not self.retried:
            self.retried = True
            return True
        self.first_failed = self.first_failed or index
        self.record_applied(index)
        return False

    def record_heartbeat(self, index: int) -> None:
        """Record a heartbeat, which has the index of the node's last event.

        Raises:
            SequenceError: The index is lower than that of an event that was already applied.
        """
        if not self.snapshot_to and index < self.applied:
            raise SequenceError(f"received a heartbeat with index {index} after event {self.applied}")
        self.caught_up = not self.snapshot_to and index == self.applied and not self.first_failed
        if self.caught_up:
            self.retried = False

    @property
    def confirmable_index(self) -> int:
        """The highest index that may be confirmed."""
        return min(self.applied, self.first_failed - 1) if self.first_failed else self.applied

    def next_confirmation_at(self) -> int | None:
        """Return when the next confirmation may be sent, in nanoseconds; None without a new index."""
        if self.snapshot_to or self.confirmable_index <= max(self.confirmed, self.base_index - 1):
            return None
        return self.confirmed_at + MIN_CONFIRMATION_INTERVAL_NS

    def take_confirmation(self, now: int) -> int | None:
        """Return the index to confirm now and record it as confirmed; None if none may be confirmed yet."""
        confirmation_at = self.next_confirmation_at()
        if confirmation_at is None or now < confirmation_at:
            return None
        self.confirmed = self.confirmable_index
        self.confirmed_at = now
        return self.confirmed
