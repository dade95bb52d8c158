"""The event stream to one watcher of a control node, without I/O: batches, pacing, acknowledgements.

A session has a position in the shared event log and no queue of events. A watcher that does not read
therefore uses no more memory than the unwritten rest of one batch and the latest load view.
"""

from __future__ import annotations

from collections.abc import Sequence

from ...runtime.units import SECOND_NS
from ..messages import ConfigurationApplied, ConfigurationRejected, EventsApplied, FrontHello
from .confirmation import FrontRecord
from .event_log import EventLog, LogEntry, Snapshot, encode_line, purges_of_all_groups

MAX_BATCH_BYTES = 1 << 16  # a batch of events ends with the line that reaches this size
SNAPSHOT_PORTION_NS = SECOND_NS // 4  # one portion has the bytes that the rate limit allows in this time
# Pause between two portions; a watcher replaces a node that sends no line for much longer than this.
MAX_SNAPSHOT_PAUSE_NS = 3 * SECOND_NS // 4
# Only with this many purges left in a snapshot are the oldest ones replaced with a purge of all groups.
MIN_PURGES_TO_COALESCE = 1024
PURGES_PER_COALESCING = 512


class ProtocolError(Exception):
    """Raised if a watcher violates the protocol, or follows before the node is ready.

    Attributes:
        kind: Suffix of the counter `control.closed.*`.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind


class FellBehindError(Exception):
    """Raised if the log no longer retains the events that must be sent next."""


class SnapshotCursor:
    """The position in a snapshot that is being sent; its lines have rising numbers up to `last_index`.

    Args:
        snapshot: The snapshot to send.
        after: The number of the last event that the watcher has; purges up to it are omitted.
    """

    def __init__(self, snapshot: Snapshot, after: int) -> None:
        self.last_index = snapshot.last_index
        self._state_bodies = snapshot.state_bodies
        self._purges: Sequence[LogEntry] = snapshot.purges
        self._next_state_body = self._next_purge = 0
        self._end_purge = snapshot.purges_after(after)
        # The numbers continue after `after`, or begin lower if too few remain for all lines.
        self._next_number = max(1, min(after + 1, self.last_index - self.remaining_lines + 1))

    @property
    def remaining_lines(self) -> int:
        """The number of lines still to be sent."""
        return len(self._state_bodies) - self._next_state_body + self._end_purge - self._next_purge

    @property
    def spare_numbers(self) -> int:
        """The number of event numbers that are free for live events sent before the end of the snapshot."""
        return self.last_index - self._next_number + 1 - self.remaining_lines

    def next_line(self) -> bytes:
        """Return the next line of the snapshot."""
        if self._next_state_body < len(self._state_bodies):
            line = encode_line(self._number_of_next_line(), self._state_bodies[self._next_state_body])
            self._next_state_body += 1
        else:
            line = self._purges[self._next_purge].renumbered(self._number_of_next_line())
            self._next_purge += 1
        self._next_number += 1
        return line

    def _number_of_next_line(self) -> int:
        return self.last_index if self.remaining_lines == 1 else self._next_number

    def encode_live_event(self, entry: LogEntry) -> bytes:
        """Encode a live event as an additional snapshot line; `spare_numbers` must not be 0."""
        line = entry.renumbered(self._next_number)
        self._next_number += 1
        return line

    def coalesce_oldest_purges(self) -> bool:
        """Replace the oldest purges with a purge of all groups; return False if too few purges are left."""
        if self._end_purge - self._next_purge < MIN_PURGES_TO_COALESCE:
            return False
        remaining = self._purges[self._next_purge : self._end_purge]
        oldest = remaining[-PURGES_PER_COALESCING:]  # purges are ordered newest first
        replacement = purges_of_all_groups(oldest[0].index, max(entry.unix_ms for entry in oldest))
        self._purges = [*remaining[:-PURGES_PER_COALESCING], *replacement]
        self._next_purge, self._end_purge = 0, len(self._purges)
        return True


def resumable_index(hello: FrontHello, last: int, log: EventLog, record: FrontRecord) -> int | None:
    """Return the number after which a connecting front can resume; None: it can't resume this stream.

    `last`, the number in the front's `Follow`, is accepted only if this node has sent that event to the same
    incarnation of the front.

    Raises:
        ProtocolError: The number is higher than that of the last event of this stream.
    """
    if hello.stream != log.stream:
        return None
    if last > log.last_index:
        raise ProtocolError("follow_not_sent", f"follow {last} requested, the last event is {log.last_index}")
    if hello.start_ms != record.start_ms or last > record.sent_index:
        return None
    return last


class Session:
    """The event stream to one watcher.

    Args:
        log: The event log, shared by all sessions.
        catch_up_bytes_per_s: Rate limit of a snapshot, in bytes per second.
    """

    def __init__(self, log: EventLog, catch_up_bytes_per_s: int) -> None:
        self.log = log
        self.sent_index = 0  # all events up to this number were sent or already applied; 0 during a snapshot
        self.configuration_version = 0  # the last version that the watcher applied or rejected
        self.unwritten = b""  # the greeting, or the rest of the last batch, which may be a load view
        self._queued_load_view = b""  # the next load view to write; a later one replaces it
        self._applied_index = 0
        self._catch_up_bytes_per_s = catch_up_bytes_per_s
        self._cursor: SnapshotCursor | None = None
        self._live_index = 0  # live events up to this number were sent as lines of the snapshot
        self._next_portion_at = 0

    # Start.

    def resume_after(self, last: int) -> None:
        """Start after event `last`. Raises `FellBehindError` if later events are no longer retained."""
        if not self.log.can_resume_after(last):
            raise FellBehindError(f"the log does not retain the events after {last}")
        self.sent_index = self._applied_index = last

    def start_for_front(self, last: int | None) -> int:
        """Start the stream to a front that has the events up to `last`; None: it can't resume this stream.

        Returns:
            The number of the last event that the snapshot covers; 0 if no snapshot is sent.
        """
        if not self.log.last_index:
            return 0
        if last is not None and self.log.can_resume_after(last) and not self._is_far_behind(last):
            self.resume_after(last)
            return 0
        snapshot = self.log.snapshot()
        self._cursor = SnapshotCursor(snapshot, last or 0)
        self._live_index = snapshot.last_index
        return snapshot.last_index

    def queue_greeting(self, line: bytes) -> None:
        """Make a line the first one that is sent."""
        self.unwritten = line

    def queue_load_view(self, line: bytes) -> None:
        """Send a load view after the current batch and before the remaining events."""
        self._queued_load_view = line

    def _is_far_behind(self, last: int) -> bool:
        """Return whether the events after `last` would take a second or more at the snapshot's rate limit."""
        return (
            sum(len(entry.line) for entry in self.log.events_after(last, self._catch_up_bytes_per_s))
            >= self._catch_up_bytes_per_s
        )

    # Sending.

    @property
    def in_snapshot(self) -> bool:
        """True until `next_batch` has returned the last line of a snapshot."""
        return self._cursor is not None

    def next_batch(self, now: int) -> bytes:
        """Return the bytes to write now, `b""` if there are none.

        Raises:
            FellBehindError: The log no longer retains the next events.
        """
        if self.unwritten:
            return self.unwritten
        if self._queued_load_view:
            line, self._queued_load_view = self._queued_load_view, b""
            return line
        if self._cursor:
            return b"".join(self._snapshot_lines(self._cursor, now))
        if self.sent_index == self.log.last_index:
            return b""
        if not self.log.can_resume_after(self.sent_index):
            raise FellBehindError(f"the log does not retain the events after {self.sent_index}")
        entries = self.log.events_after(self.sent_index, MAX_BATCH_BYTES)
        self.sent_index = entries[-1].index
        return b"".join(entry.line for entry in entries)

    def _snapshot_lines(self, cursor: SnapshotCursor, now: int) -> list[bytes]:
        """Return lines for live events, and the portion of the snapshot that is due.

        The portion is the entire rest of the snapshot if a live event got no number.
        """
        lines, complete = self._live_lines(cursor)
        if not complete or now >= self._next_portion_at:
            portion = self._next_portion(cursor, self._portion_bytes if complete else None)
            pause = sum(map(len, portion)) * SECOND_NS // self._catch_up_bytes_per_s
            self._next_portion_at = now + min(pause, MAX_SNAPSHOT_PAUSE_NS)
            lines += portion
        if not cursor.remaining_lines:
            self.sent_index = self._applied_index = cursor.last_index
            self._cursor = None
        return lines

    @property
    def _portion_bytes(self) -> int:
        return self._catch_up_bytes_per_s * SNAPSHOT_PORTION_NS // SECOND_NS

    def _live_lines(self, cursor: SnapshotCursor) -> tuple[list[bytes], bool]:
        """Return lines for the next live events, sent early; False if one of them got no free number."""
        if self._live_index == self.log.last_index:
            return [], True
        if not self.log.can_resume_after(self._live_index):
            raise FellBehindError(f"the log does not retain the events after {self._live_index}")
        lines: list[bytes] = []
        for entry in self.log.events_after(self._live_index, MAX_BATCH_BYTES):
            if not cursor.spare_numbers and not cursor.coalesce_oldest_purges():
                return lines, False
            lines.append(cursor.encode_live_event(entry))
            self._live_index = entry.index
        return lines, True

    @staticmethod
    def _next_portion(cursor: SnapshotCursor, max_bytes: int | None) -> list[bytes]:
        """Return the next lines of the snapshot, about `max_bytes`; None: all remaining lines."""
        lines: list[bytes] = []
        size = 0
        while cursor.remaining_lines and (max_bytes is None or size < max_bytes):
            lines.append(cursor.next_line())
            size += len(lines[-1])
        return lines

    def record_written(self, batch: bytes, count: int) -> None:
        """Record that `count` bytes of a batch were written; the rest becomes the next batch."""
        self.unwritten = batch[count:]

    def time_until_ready(self, now: int) -> int | None:
        """Return the nanoseconds until there may be data to write; None: not before an event or load view."""
        if self.unwritten or self._queued_load_view:
            return 0
        if self._cursor:
            return max(0, self._next_portion_at - now)
        return None if self.sent_index == self.log.last_index else 0

    def heartbeat_line(self) -> bytes:
        """Return the heartbeat with the last event's number, or `b""` if anything is left to write."""
        if self.unwritten or self._cursor or self.sent_index != self.log.last_index:
            return b""
        return b"%d\n" % self.log.last_index

    # Messages from the watcher.

    def accept_applied(self, message: EventsApplied) -> None:
        """Accept an acknowledgement.

        Raises:
            ProtocolError: The snapshot is not complete, or the number was not sent or is lower than before.
        """
        if self._cursor:
            raise ProtocolError(
                "applied_in_snapshot", f"event {message.index} acknowledged before the snapshot ended"
            )
        if message.index > self.sent_index:
            raise ProtocolError(
                "applied_not_sent", f"event {message.index} acknowledged, sent up to {self.sent_index}"
            )
        if message.index < self._applied_index:
            raise ProtocolError(
                "applied_back", f"event {message.index} acknowledged after event {self._applied_index}"
            )
        self._applied_index = message.index

    def accept_version(self, message: ConfigurationApplied | ConfigurationRejected) -> None:
        """Accept a reported configuration version. Raises `ProtocolError` if it is lower than before."""
        if message.version < self.configuration_version:
            raise ProtocolError(
                "version_back",
                f"configuration version {message.version} reported after {self.configuration_version}",
            )
        self.configuration_version = message.version
