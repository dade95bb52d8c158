"""Simulated disk in memory: a crash may lose, truncate or reorder writes that were not synced."""

from __future__ import annotations

import errno
import zlib
from collections.abc import Iterable, Iterator, Mapping

from ..disk.index import IndexEntry, MetadataKey, PartId, PurgeMark, PurgeScope

REPLAYED_WRITE_SHARE = 0.6  # share of unsynced writes that take effect, fully or in part, after a crash
MAX_REPLAYED_SHARE = 1.5  # upper bound of the drawn share of bytes; a draw above 1 replays all bytes
RESTORED_SEGMENT_SHARE = 0.5  # share of removed segments that exist again after a crash


class FaultyFiles:
    """Replaces `disk.files.SegmentFiles` in tests.

    Args:
        seed: Seed of the random state after a crash.

    Attributes:
        failing: Whether every call raises EIO.
        full: Whether writes and syncs raise ENOSPC.
    """

    def __init__(self, seed: int = 1) -> None:
        self._seed = seed
        self._draws = 0
        self._durable: dict[int, bytearray] = {}
        self._visible: dict[int, bytearray] = {}  # content that reads return
        self._unsynced: dict[int, list[tuple[int, bytes]]] = {}  # offset and data of each write
        self._removed: dict[int, bytearray] = {}  # removed since the last sync; a crash may restore them
        self.failing = False
        self.full = False

    def _draw(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d %d" % (self._seed, self._draws)) / 2**32

    def _raise_fault(self, writing: bool = False) -> None:
        if self.failing:
            raise OSError(errno.EIO, "simulated input/output error of the disk")
        if writing and self.full:
            raise OSError(errno.ENOSPC, "simulated disk is full")

    def lengths(self) -> dict[int, int]:
        """Return the length in bytes of each segment, by segment number."""
        self._raise_fault()
        return {number: len(data) for number, data in self._visible.items()}

    def write(self, number: int, offset: int, data: bytes) -> None:
        """Write `data` to a segment; the data is durable after `sync`."""
        self._raise_fault(writing=True)
        _write_at(self._visible.setdefault(number, bytearray()), offset, data)
        self._unsynced.setdefault(number, []).append((offset, data))

    def sync(self, number: int) -> None:
        """Make the content of a segment and all earlier removals durable."""
        self._raise_fault(writing=True)
        self._durable[number] = bytearray(self._visible.setdefault(number, bytearray()))
        self._unsynced.pop(number, None)
        self._removed.clear()

    def read(self, number: int, offset: int, size: int) -> bytes:
        """Read `size` bytes of a segment, or fewer at its end."""
        self._raise_fault()
        return bytes(self._visible.get(number, b"")[offset : offset + size])

    def remove(self, number: int) -> None:
        """Remove a segment; a crash before the next `sync` may restore it."""
        self._raise_fault()
        self._visible.pop(number, None)
        self._unsynced.pop(number, None)
        data = self._durable.pop(number, None)
        if data is not None:
            self._removed[number] = data

    def crash(self) -> None:
        """Simulate a machine crash that keeps a random subset of unsynced writes, each up to some byte."""
        for number, writes in self._unsynced.items():
            data = self._durable.setdefault(number, bytearray())
            for offset, written in sorted(writes, key=lambda _: self._draw()):
                if self._draw() < REPLAYED_WRITE_SHARE:
                    share = min(1.0, MAX_REPLAYED_SHARE * self._draw())
                    _write_at(data, offset, written[: int(len(written) * share)])
        for number, data in self._removed.items():
            if self._draw() < RESTORED_SEGMENT_SHARE:
                self._durable[number] = data
        self._unsynced.clear()
        self._removed.clear()
        self._visible = {number: bytearray(data) for number, data in self._durable.items()}
        self.failing = False
        self.full = False

    def flip_bit(self, number: int, offset: int) -> None:
        """Flip one bit of a byte, as a defective medium does."""
        for segments in (self._visible, self._durable):
            if offset < len(segments.get(number, b"")):
                segments[number][offset] ^= 1 << offset % 8

    def close(self) -> None:
        """Do nothing, since no file is open."""


def _write_at(segment: bytearray, offset: int, data: bytes) -> None:
    segment.extend(bytes(max(0, offset + len(data) - len(segment))))
    segment[offset : offset + len(data)] = data


class MemoryIndex:
    """Replaces `disk.index.Index` in tests; a commit is atomic and durable."""

    def __init__(self) -> None:
        self._entries: dict[PartId, IndexEntry] = {}
        self._purges: dict[tuple[PurgeScope, int], int] = {}
        self._metadata: dict[MetadataKey, int] = {}

    def metadata(self, key: MetadataKey) -> int:
        """Return a stored number; 0 if it was never stored."""
        return self._metadata.get(key, 0)

    def get(self, part_id: PartId) -> IndexEntry | None:
        """Return the entry of a part, or None if it has none."""
        return self._entries.get(part_id)

    def entries(
        self, object_id: int | None = None, after: PartId | None = None
    ) -> Iterator[tuple[PartId, IndexEntry]]:
        """Yield entries in key order: all of them, those of one object, or those after a part."""
        for part_id in sorted(self._entries):
            if (object_id is None or part_id.object_id == object_id) and (after is None or part_id > after):
                yield part_id, self._entries[part_id]

    def purge_marks(self) -> Iterator[PurgeMark]:
        """Yield all stored purge marks."""
        for (scope, number), purged_at_ms in self._purges.items():
            yield PurgeMark(scope, number, purged_at_ms)

    def commit(
        self,
        put: Iterable[tuple[PartId, IndexEntry]] = (),
        remove: Iterable[PartId] = (),
        purge_marks: Iterable[PurgeMark] = (),
        metadata: Mapping[MetadataKey, int] | None = None,
    ) -> None:
        """Apply all of these changes atomically."""
        for part_id in remove:
            self._entries.pop(part_id, None)
        self._entries.update(put)
        self._purges.update({(mark.scope, mark.number): mark.purged_at_ms for mark in purge_marks})
        self._metadata.update(metadata or {})

    def close(self) -> None:
        """Do nothing, since no file is open."""
