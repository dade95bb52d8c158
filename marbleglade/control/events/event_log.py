"""The event log of one stream, without I/O: recent events for deltas, compacted state for snapshots.

Each event is encoded once, as the line that is sent to all watchers.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import orjson

from ...model.watch_event import NEVER, Endpoint, EndpointListChange, Purge
from ...settings.vocabulary import SETTING_BY_STATE
from .endpoint_table import EndpointTable

MAX_RETAINED_EVENTS = 1 << 16  # for deltas
MAX_RETAINED_BYTES = 1 << 24  # total length of the lines retained for deltas
MAX_RETAINED_PURGES = 1 << 16  # for snapshots; one purge per object or group
DROPPED_EVENTS_PER_COMPACTION = 4096  # dropped events are deleted from the list in batches
PURGES_PER_EVICTION = 512  # the oldest purges are evicted from the compacted state in batches
GROUP_COUNT = 256  # purge groups
MAX_SNAPSHOT_AGE_EVENTS = 256  # a snapshot is reused until more events than this follow it


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One event, encoded as a line of the stream; `unix_ms` is the time of a purge, 0 for other events."""

    index: int
    line: bytes
    unix_ms: int = 0

    def renumbered(self, index: int) -> bytes:
        """Return the line with another event number."""
        return encode_line(index, self.line[self.line.index(b",") + 1 : -2])


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The compacted state after event `last_index`.

    Attributes:
        last_index: The number of the last event that the snapshot covers.
        state_bodies: The encoded bodies of the endpoint list and the configuration, as far as they exist.
        purges: The retained purges, newest first.
    """

    last_index: int
    state_bodies: tuple[bytes, ...]
    purges: tuple[LogEntry, ...]

    def purges_after(self, index: int) -> int:
        """Return the number of purges with an event number higher than `index`."""
        return bisect_left(self.purges, -index, key=lambda entry: -entry.index)


def encode_line(index: int, body: bytes) -> bytes:
    """Encode one line of the stream from an event number and an encoded body."""
    return b'{"index":%d,%b}\n' % (index, body)


def encode_purge(object_id: int, group: int, unix_ms: int) -> bytes:
    """Encode the body of a purge; with `object_id` 0 it purges the entire group."""
    content: dict[str, str | int] = {"ref": f"{object_id:016x}"} if object_id else {}
    if group or not object_id:
        content["shard"] = group
    content["unix_ms"] = unix_ms
    return _body("evict", content)


def purges_of_all_groups(index: int, unix_ms: int) -> Iterator[LogEntry]:
    """Yield a purge of each group, all with the same time and the same event number."""
    for group in range(GROUP_COUNT):
        yield LogEntry(index, encode_line(index, encode_purge(0, group, unix_ms)), unix_ms)


def encode_list(change: EndpointListChange, version: int) -> bytes:
    """Encode the body of a list change; an entry that could not be read is encoded as its id alone."""
    servers = [_encode_endpoint(endpoint) for endpoint in change.endpoints]
    servers += [{"id": name} for name in change.unreadable]
    return _body("endpoints", {"version": version, "full": change.complete, "servers": servers})


def _encode_endpoint(endpoint: Endpoint) -> dict[str, str | int]:
    host, port = endpoint.address
    return {
        "id": endpoint.id,
        "addr": f"{host}:{port}",
        "zone": endpoint.zone,
        "kind": endpoint.kind,
        "cell": endpoint.cell,
        "state": SETTING_BY_STATE[endpoint.state],
        "started_ms": endpoint.started_ms,
    }


def _body(kind: str, content: object) -> bytes:
    line: bytes = orjson.dumps({kind: content})
    return line[1:-1]


class RetainedConfiguration(NamedTuple):
    """The newest configuration version, retained for snapshots."""

    version: int
    text: str


def _configuration_body(configuration: RetainedConfiguration) -> bytes:
    return _body("configuration", {"version": configuration.version, "text": configuration.text})


class EventLog:
    """Numbers events from 1 and retains recent events for deltas and compacted state for snapshots.

    Args:
        stream: The identifier of the stream.
        max_events: Maximum number of events retained for deltas.
        max_purges: Maximum number of purges retained for snapshots.
    """

    def __init__(
        self,
        stream: str,
        max_events: int = MAX_RETAINED_EVENTS,
        max_purges: int = MAX_RETAINED_PURGES,
    ) -> None:
        self.stream = stream
        self.last_index = 0
        self.endpoints = EndpointTable()
        self.configuration: RetainedConfiguration | None = None
        self._max_events = max_events
        self._max_purges = max_purges
        self._entries: list[LogEntry] = []  # the first `_dropped_count` are no longer retained
        self._dropped_count = 0
        self._retained_bytes = 0
        self._purges: OrderedDict[tuple[str, int], LogEntry] = OrderedDict()  # oldest first
        # Replaces all evicted purges with a purge of all groups at the latest time among them.
        self._evicted_purges: LogEntry | None = None
        self._snapshot: Snapshot | None = None

    # Appending.

    def append_purge(self, purge: Purge) -> LogEntry | None:
        """Append a purge; return None if it repeats the last purge of its object or group."""
        key = ("object", purge.object_id) if purge.object_id else ("group", purge.group)
        previous = self._purges.get(key)
        if previous and previous.unix_ms == purge.unix_ms != NEVER:
            return None
        entry = self._append(encode_purge(purge.object_id, purge.group, purge.unix_ms), purge.unix_ms)
        retained = entry
        if previous and previous.unix_ms > purge.unix_ms:
            # The previous purge has the later time and covers this one; it is retained under the new number.
            retained = LogEntry(entry.index, previous.renumbered(entry.index), previous.unix_ms)
        self._retain_purge(key, retained)
        return entry

    def append_list(self, change: EndpointListChange) -> LogEntry:
        """Append a change of the endpoint list."""
        self.endpoints.apply(change)
        return self._append(encode_list(change, self.last_index + 1))

    def append_configuration(self, version: int, text: str) -> LogEntry | None:
        """Append a configuration version; return None if it is not newer than the retained one."""
        if self.configuration and version <= self.configuration.version:
            return None
        self.configuration = RetainedConfiguration(version, text)
        return self._append(_configuration_body(self.configuration))

    def _append(self, body: bytes, unix_ms: int = 0) -> LogEntry:
        self.last_index += 1
        entry = LogEntry(self.last_index, encode_line(self.last_index, body), unix_ms)
        self._entries.append(entry)
        self._retained_bytes += len(entry.line)
        self._enforce_retention()
        return entry

    def _enforce_retention(self) -> None:
        while self._retained_count > self._max_events or self._retained_bytes > MAX_RETAINED_BYTES:
            self._retained_bytes -= len(self._entries[self._dropped_count].line)
            self._dropped_count += 1
        if self._dropped_count >= DROPPED_EVENTS_PER_COMPACTION:
            del self._entries[: self._dropped_count]
            self._dropped_count = 0

    @property
    def _retained_count(self) -> int:
        return len(self._entries) - self._dropped_count

    def _retain_purge(self, key: tuple[str, int], entry: LogEntry) -> None:
        self._purges[key] = entry
        self._purges.move_to_end(key)
        if len(self._purges) > self._max_purges:
            self._evict_oldest_purges()

    def _evict_oldest_purges(self) -> None:
        """Replace the oldest purges with a purge of all groups at the latest time among them."""
        count = min(PURGES_PER_EVICTION, len(self._purges) - 1)
        evicted = [self._purges.popitem(last=False)[1] for _ in range(count)]
        times = [entry.unix_ms for entry in evicted]
        if self._evicted_purges:
            times.append(self._evicted_purges.unix_ms)
        self._evicted_purges = LogEntry(evicted[-1].index, b"", max(times))

    # Reading.

    def can_resume_after(self, index: int) -> bool:
        """Return True if all events after number `index` are still retained."""
        return self.last_index - self._retained_count <= index <= self.last_index

    def events_after(self, index: int, max_bytes: int) -> list[LogEntry]:
        """Return the events after number `index`, which must be retained, up to about `max_bytes`."""
        entries: list[LogEntry] = []
        size = 0
        for position in range(len(self._entries) - (self.last_index - index), len(self._entries)):
            entries.append(self._entries[position])
            size += len(entries[-1].line)
            if size >= max_bytes:
                break
        return entries

    def snapshot(self) -> Snapshot:
        """Return the cached snapshot if it is recent enough, else a new one."""
        snapshot = self._snapshot
        if (
            snapshot is None
            or self.last_index - snapshot.last_index > MAX_SNAPSHOT_AGE_EVENTS
            or not self.can_resume_after(snapshot.last_index)
        ):
            snapshot = self._snapshot = Snapshot(
                self.last_index, self._encode_state(), tuple(self._purges_newest_first())
            )
        return snapshot

    def _encode_state(self) -> tuple[bytes, ...]:
        bodies = []
        if self.endpoints.changes:
            bodies.append(encode_list(self.endpoints.as_full_list(), self.last_index))
        if self.configuration:
            bodies.append(_configuration_body(self.configuration))
        return tuple(bodies)

    def _purges_newest_first(self) -> Iterator[LogEntry]:
        yield from reversed(self._purges.values())
        if self._evicted_purges:
            yield from purges_of_all_groups(self._evicted_purges.index, self._evicted_purges.unix_ms)
