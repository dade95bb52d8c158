"""Durable index of a disk cache in LMDB: entries, purge marks, and metadata such as the checkpoint.

Each `commit` is atomic and synced. Opening an index of a newer format fails.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

import lmdb

FORMAT_VERSION = 1
ENTRY = struct.Struct("<IIIHQQ")  # the fields of `IndexEntry` in their order
KEY = struct.Struct(">QI")  # the fields of `PartId`, big-endian so that keys are sorted by object and part
PURGE_TIME = struct.Struct("<Q")  # Unix time in milliseconds
MAX_INDEX_BYTES = 1 << 32

# Names of the LMDB databases, as they are stored.
ENTRIES_DATABASE = b"entries"
PURGES_DATABASE = b"marks"
METADATA_DATABASE = b"facts"


class MetadataKey(enum.StrEnum):
    """Stored names of the numbers in the metadata database."""

    FORMAT_VERSION = "form"
    PURGED_THROUGH_MS = "before"
    SERIAL = "serial"
    CHECKPOINT_SEGMENT = "segment"
    CHECKPOINT_OFFSET = "place"
    LAST_EVENT = "number"


class PurgeScope(enum.Enum):
    """What a purge applies to. The value is the first byte of the stored key."""

    OBJECT = b"o"
    GROUP = b"g"


class PartId(NamedTuple):
    """Id of one part of an object: the id of the object and the number of the part in it."""

    object_id: int
    part: int


class IndexEntry(NamedTuple):
    """Location and version of a cached part. The fields are stored in this order.

    Attributes:
        segment: Number of the segment.
        offset: Byte offset of the record in the segment.
        size: Size of the body in bytes.
        group: Purge group of the object.
        tag: Version tag of the object.
        issued_ms: Unix time in milliseconds at which this version was issued.
    """

    segment: int
    offset: int
    size: int
    group: int
    tag: int
    issued_ms: int


class PurgeMark(NamedTuple):
    """A purge of an object or a group.

    Attributes:
        scope: Whether an object or a group is purged.
        number: Id of the object, or number of the group.
        purged_at_ms: Unix time in milliseconds. Versions issued at or before it are not returned.
    """

    scope: PurgeScope
    number: int
    purged_at_ms: int


class NewerFormatError(OSError):
    """Raised for an index that was written by a later version of this program."""


class Index:
    """The durable index in the directory of a disk cache.

    Args:
        directory: Path of the cache's directory.
        max_bytes: Maximum size of the index file in bytes.

    Raises:
        NewerFormatError: The index was written by a later version of this program.
        lmdb.Error: The index can't be opened.
    """

    def __init__(self, directory: str, max_bytes: int = MAX_INDEX_BYTES) -> None:
        self._env = lmdb.open(f"{directory}/index", map_size=max_bytes, max_dbs=3, readahead=False)
        self._entries = self._env.open_db(ENTRIES_DATABASE)
        self._purges = self._env.open_db(PURGES_DATABASE)
        self._metadata = self._env.open_db(METADATA_DATABASE)
        version = self.metadata(MetadataKey.FORMAT_VERSION)
        if version > FORMAT_VERSION:
            self._env.close()
            raise NewerFormatError(
                f"index in {directory} has format {version}; this program supports up to {FORMAT_VERSION}"
            )
        if not version:
            self.commit(metadata={MetadataKey.FORMAT_VERSION: FORMAT_VERSION})

    def metadata(self, key: MetadataKey) -> int:
        """Return a number of the metadata, or 0 if it was never stored."""
        with self._env.begin(db=self._metadata) as transaction:
            value = transaction.get(key.value.encode())
            return int.from_bytes(value, "little") if value else 0

    def get(self, part_id: PartId) -> IndexEntry | None:
        """Return the entry of a part, or None if there is none."""
        with self._env.begin(db=self._entries) as transaction:
            value = transaction.get(KEY.pack(*part_id))
            return IndexEntry(*ENTRY.unpack(value)) if value else None

    def entries(
        self, object_id: int | None = None, after: PartId | None = None
    ) -> Iterator[tuple[PartId, IndexEntry]]:
        """Yield entries in key order: all of them, those of one object, or those after a given part."""
        start = KEY.pack(*after) + b"\0" if after else KEY.pack(object_id or 0, 0)
        with self._env.begin(db=self._entries) as transaction, transaction.cursor() as cursor:
            if not cursor.set_range(start):
                return
            for key, value in cursor:
                part_id = PartId(*KEY.unpack(key))
                if object_id is not None and part_id.object_id != object_id:
                    return
                yield part_id, IndexEntry(*ENTRY.unpack(value))

    def purge_marks(self) -> Iterator[PurgeMark]:
        """Yield all stored purge marks."""
        with self._env.begin(db=self._purges) as transaction, transaction.cursor() as cursor:
            for key, value in cursor:
                scope, number = PurgeScope(key[:1]), int.from_bytes(key[1:], "big")
                yield PurgeMark(scope, number, PURGE_TIME.unpack(value)[0])

    def commit(
        self,
        put: Iterable[tuple[PartId, IndexEntry]] = (),
        remove: Iterable[PartId] = (),
        purge_marks: Iterable[PurgeMark] = (),
        metadata: Mapping[MetadataKey, int] | None = None,
    ) -> None:
        """Store all of these changes or none of them. They are durable when this returns."""
        with self._env.begin(write=True) as transaction:
            for part_id in remove:
                transaction.delete(KEY.pack(*part_id), db=self._entries)
            for part_id, entry in put:
                transaction.put(KEY.pack(*part_id), ENTRY.pack(*entry), db=self._entries)
            for mark in purge_marks:
                key = mark.scope.value + mark.number.to_bytes(8, "big")
                transaction.put(key, PURGE_TIME.pack(mark.purged_at_ms), db=self._purges)
            for name, value in (metadata or {}).items():
                transaction.put(name.value.encode(), value.to_bytes(8, "little"), db=self._metadata)

    def close(self) -> None:
        """Close the index."""
        self._env.close()
