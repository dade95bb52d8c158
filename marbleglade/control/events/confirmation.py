"""Tracks which events of one node's stream each front has applied, without I/O.

`status.merge` combines the trackers of all nodes to decide whether every front has applied a purge.

Times are in nanoseconds of the monotonic clock unless the name has another unit.

Sets of fronts are bit masks with one bit for each listed front, in the order of the settings.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from operator import or_

from ...model.watch_event import Purge
from .latency import LatencyHistogram

MAX_RECENT_PURGES = 1024


class UnknownFrontError(Exception):
    """Raised for a front that is not listed in the settings."""


class EarlierStartError(Exception):
    """Raised for a connection of an earlier incarnation of a front whose later one has already connected."""


@dataclass(slots=True)
class FrontRecord:
    """The state of a front in its current incarnation, as reported to this node.

    Attributes:
        name: The front's name in the settings.
        bit: The front's bit in sets of fronts.
        start_ms: Start of the incarnation, in Unix milliseconds; 0: the front never connected.
        connection: The number of the current connection; 0: the front is not connected.
        connected_at: The time at which that connection was established.
        has_left: True if the front has shut down gracefully.
        sent_index: The number of the last event sent on any connection of this incarnation.
        applied_index: The number of the last event that the front acknowledged as applied.
        configuration_version: The configuration version in force at the front; 0: none.
        rejected_version: The last configuration version that the front rejected; 0: none.
        rejection_reason: The front's reason for rejecting that version.
    """

    name: str
    bit: int
    start_ms: int = 0
    connection: int = 0
    connected_at: int = 0
    has_left: bool = False
    sent_index: int = 0
    applied_index: int = 0
    configuration_version: int = 0
    rejected_version: int = 0
    rejection_reason: str = ""


@dataclass(slots=True)
class FirstAcknowledgements:
    """The first acknowledgement of one event by each front, with latencies since this node received it.

    A front that reconnects from another node to this one acknowledges again what it acknowledged there, which
    makes its latency too long. Fronts connected to this node since the receipt are thus counted separately.

    Attributes:
        connected_fronts: Fronts that acknowledged the event and were connected since its receipt.
        connected_latency_ns: The longest latency among these fronts.
        all_fronts: All fronts that acknowledged the event.
        all_latency_ns: The longest latency among all fronts.
    """

    connected_fronts: int = 0
    connected_latency_ns: int = 0
    all_fronts: int = 0
    all_latency_ns: int = 0

    def record(self, front: FrontRecord, received_at: int, now: int) -> bool:
        """Record an acknowledgement; return True if it is a front's first and adds to `connected_fronts`."""
        if self.all_fronts & front.bit:
            return False
        self.all_fronts |= front.bit
        self.all_latency_ns = now - received_at
        if front.connected_at > received_at:
            return False
        self.connected_fronts |= front.bit
        self.connected_latency_ns = self.all_latency_ns
        return True


@dataclass(slots=True)
class TrackedPurge:
    """A purge and its acknowledgements; a front misses it while its `applied_index` is lower than `index`.

    Attributes:
        index: The event number of the purge in the stream.
        received_at: The time at which the node received the purge.
        received_unix_ms: The same time in Unix milliseconds.
        live: True if the purge arrived when it was issued, and not in a replay by the discovery service.
        acknowledgements: Acknowledgements by any incarnation; recorded only for live purges.
    """

    index: int
    purge: Purge
    received_at: int
    received_unix_ms: int
    live: bool
    acknowledgements: FirstAcknowledgements = field(default_factory=FirstAcknowledgements)


@dataclass(slots=True)
class TrackedConfiguration:
    """The newest configuration version, with fields as in `TrackedPurge`; version 0: there is none."""

    version: int = 0
    received_at: int = 0
    received_unix_ms: int = 0
    acknowledgements: FirstAcknowledgements = field(default_factory=FirstAcknowledgements)


class ConfirmationTracker:
    """Tracks the events that each listed front has applied and the fronts that miss each recent purge.

    Args:
        fronts: Names of all fronts listed in the settings.
        max_purges: Maximum number of tracked purges; the oldest one is dropped first.
    """

    def __init__(self, fronts: Sequence[str], max_purges: int = MAX_RECENT_PURGES) -> None:
        self.fronts = {name: FrontRecord(name, 1 << number) for number, name in enumerate(fronts)}
        self.purges: deque[TrackedPurge] = deque(maxlen=max_purges)
        self.configuration = TrackedConfiguration()
        self.latency = LatencyHistogram()  # from the receipt of a purge to its acknowledgement, all fronts
        self._left_fronts = 0

    # Events received by the node.

    def add_purge(self, index: int, purge: Purge, now: int, received_unix_ms: int, live: bool) -> None:
        """Track a new purge, which no front has acknowledged yet."""
        self.purges.append(TrackedPurge(index, purge, now, received_unix_ms, live))

    def add_configuration(self, version: int, now: int, received_unix_ms: int) -> None:
        """Track a new configuration version instead of the previous one."""
        self.configuration = TrackedConfiguration(version, now, received_unix_ms)

    # Connections and messages of fronts.

    def admit(self, name: str, start_ms: int) -> FrontRecord:
        """Return the record of a front that connects.

        Raises:
            UnknownFrontError: The settings do not list the front.
            EarlierStartError: A later incarnation of the front has already connected.
        """
        record = self.fronts.get(name)
        if record is None:
            raise UnknownFrontError(f"front {name!r} is not listed in the settings")
        if start_ms < record.start_ms:
            raise EarlierStartError(
                f"front {name} connected with start {start_ms}, expected at least {record.start_ms}"
            )
        return record

    def record_connected(self, name: str, start_ms: int, connection: int, now: int) -> None:
        """Record a new connection of a front; a new incarnation resets the reported state."""
        record = self.admit(name, start_ms)
        if start_ms > record.start_ms:
            self._reset_for_new_start(record, start_ms)
        record.connection = connection
        record.connected_at = now
        self._set_left(record, False)

    def _reset_for_new_start(self, record: FrontRecord, start_ms: int) -> None:
        record.start_ms = start_ms
        record.sent_index = 0
        record.applied_index = 0
        record.configuration_version = 0
        record.rejected_version = 0
        record.rejection_reason = ""

    def record_disconnected(self, name: str, connection: int, sent_index: int) -> None:
        """Record the end of a connection; `sent_index` is the last event sent on it."""
        record = self.fronts[name]
        if record.connection == connection:
            record.connection = 0
            record.sent_index = max(record.sent_index, sent_index)

    def record_left(self, name: str, connection: int) -> None:
        """Record a graceful shutdown: until the front reconnects, purges need no acknowledgement by it."""
        record = self.fronts[name]
        if record.connection == connection:
            self._set_left(record, True)

    def _set_left(self, record: FrontRecord, left: bool) -> None:
        record.has_left = left
        if left:
            self._left_fronts |= record.bit
        else:
            self._left_fronts &= ~record.bit

    def record_applied(self, name: str, connection: int, index: int, now: int) -> None:
        """Record that the front has applied all events up to number `index`."""
        record = self.fronts[name]
        if record.connection != connection or index <= record.applied_index:
            return
        for purge in self._purges_in_range(record.applied_index, index):
            if purge.live and purge.acknowledgements.record(record, purge.received_at, now):
                self.latency.add(now - purge.received_at)
        record.applied_index = index

    def _purges_in_range(self, after: int, up_to: int) -> Iterator[TrackedPurge]:
        for purge in reversed(self.purges):
            if purge.index <= after:
                return
            if purge.index <= up_to:
                yield purge

    def record_configured(self, name: str, connection: int, version: int, now: int) -> None:
        """Record the configuration version that is in force at the front."""
        record = self.fronts[name]
        if record.connection != connection:
            return
        record.configuration_version = version
        newest = self.configuration
        if version == newest.version:
            newest.acknowledgements.record(record, newest.received_at, now)

    def record_rejected(self, name: str, connection: int, version: int, reason: str) -> None:
        """Record that the front rejected a configuration version."""
        record = self.fronts[name]
        if record.connection == connection:
            record.rejected_version = version
            record.rejection_reason = reason

    # Queries.

    def missing_fronts(self) -> list[int]:
        """Return the fronts that miss each of `purges`, including fronts that shut down gracefully."""
        records = sorted(self.fronts.values(), key=lambda record: record.applied_index)
        applied = [record.applied_index for record in records]
        # Element n is the set of the n fronts with the lowest applied index.
        least_advanced = [0, *accumulate((record.bit for record in records), or_)]
        return [least_advanced[bisect_left(applied, purge.index)] for purge in self.purges]

    @property
    def left_fronts(self) -> int:
        """The set of fronts that shut down gracefully and have not reconnected."""
        return self._left_fronts
