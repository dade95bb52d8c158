"""Objects of a stand-in origin; their bytes encode id and version, so that tests can check responses."""

from __future__ import annotations

import time
import zlib
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

NS_PER_MS = 1_000_000
VIDEO_BITS = 3  # an object id with these low bits set is a part of a video; all others are pages
VIDEO_BYTES, VIDEO_SPREAD = 60_000, 140_000  # minimum size and size range in bytes
PAGE_BYTES, PAGE_SPREAD = 1_500, 12_000  # likewise for pages


class RegionClock:
    """Clock of a region, with an adjustable error.

    Args:
        offset_ms: Initial error in ms.
        drift_ppm: Drift in parts per million; positive values make the clock fast.

    Attributes:
        start: Unix time in ns at which the drift begins.
    """

    def __init__(self, offset_ms: float = 0.0, drift_ppm: float = 0.0) -> None:
        self.offset = round(offset_ms * NS_PER_MS)
        self.drift = drift_ppm / 1e6
        self.start = time.time_ns()

    def __call__(self) -> int:
        """Return the Unix time in ns according to this clock."""
        now = time.time_ns()
        return now + self.offset + int((now - self.start) * self.drift)


class PartKey(NamedTuple):
    """Identifies a part of an object."""

    object_id: int
    part: int


class ObjectVersion(NamedTuple):
    """A part's body and entity tag as served by the origin, with the Unix time in ms of that response."""

    etag: str
    issued_ms: int
    body: bytes


def hashed_fraction(seed: int, *key: object) -> float:
    """Hash a seed and a key to a number in [0, 1)."""
    return zlib.crc32(" ".join(map(str, (seed, *key))).encode()) / 2**32


def size_of(object_id: int) -> int:
    """Return the size in bytes of each part of an object; one object in four is a video, others are pages."""
    share = (object_id >> 16 & 0xFFFF) / 0x10000
    if object_id & VIDEO_BITS == VIDEO_BITS:
        return int(VIDEO_BYTES + share * VIDEO_SPREAD)
    return int(PAGE_BYTES + share * PAGE_SPREAD)


def _body_prefix(object_id: int, part: int, version: int) -> bytes:
    return b"%016x %d %d " % (object_id, part, version)


def body_of(object_id: int, part: int, version: int, size: int = 0) -> bytes:
    """Return the bytes of one version of an object's part, which begin with the object, part and version.

    Args:
        object_id: Id of the object.
        part: Number of the part.
        version: Number of the version, from 1.
        size: Size in bytes; 0 selects `size_of` the object.
    """
    prefix = _body_prefix(object_id, part, version)
    size = max(size or size_of(object_id), len(prefix))
    block = blake2b(prefix, digest_size=64).digest()
    return (prefix + block * (size // len(block) + 1))[:size]


def etag_of(object_id: int, part: int, version: int) -> str:
    """Return the entity tag of one version of an object's part as 16 hex digits."""
    return blake2b(b"%d %d %d" % (object_id, part, version), digest_size=8).hexdigest()


def version_of(body: bytes, object_id: int, part: int) -> int | None:
    """Return the version of these bytes; None if they are truncated, corrupt or of another object or part."""
    try:
        named_object, named_part, digits = body[:64].split(b" ", 3)[:3]
        if int(named_object, 16) != object_id or int(named_part) != part or not digits.isdigit():
            return None
        version = int(digits)
    except ValueError:
        return None
    expected_size = max(size_of(object_id), len(_body_prefix(object_id, part, version)))
    is_intact = len(body) == expected_size and body == body_of(object_id, part, version, expected_size)
    return version if is_intact else None


def group_of(object_id: int) -> int:
    """Return the purge group of an object."""
    return object_id >> 8 & 0x1F


class ObjectStore:
    """Current objects of one region, which its origin serves.

    Args:
        name: Name of the region.
        clock: Clock of the region.
        contains: Returns whether an object belongs to the region.
    """

    def __init__(self, name: str, clock: RegionClock, contains: Callable[[int], bool]) -> None:
        self.name, self.clock, self.contains = name, clock, contains
        self._object_purges: dict[int, int] = {}
        self._group_purges: dict[int, int] = {}

    def version(self, object_id: int, group: int) -> int:
        """Return the current version of an object: 1 plus the purges of the object and its group."""
        return 1 + self._object_purges.get(object_id, 0) + self._group_purges.get(group, 0)

    def read(self, key: PartKey) -> ObjectVersion | None:
        """Return the current version of a part, or None if the object does not belong to the region."""
        if not self.contains(key.object_id):
            return None
        version = self.version(key.object_id, group_of(key.object_id))
        return ObjectVersion(
            etag_of(key.object_id, key.part, version),
            self.clock() // NS_PER_MS,
            body_of(key.object_id, key.part, version),
        )

    def purge(self, object_id: int, group: int) -> int:
        """Start a new version of an object, or of all objects of a group if `object_id` is 0.

        Returns:
            Unix time of the purge in ms.
        """
        purges, key = (self._object_purges, object_id) if object_id else (self._group_purges, group)
        purges[key] = purges.get(key, 0) + 1
        return self.clock() // NS_PER_MS
