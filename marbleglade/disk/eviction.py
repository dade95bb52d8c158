"""Eviction policy: chooses the cached parts to evict for a new part. It does no I/O and uses no clock.

Time is measured in uses. The value of a part is its number of recent uses divided by the square root of its
size and reduced by the time since its last use. The first parts of an object get a bonus, as clients wait
longest for them. A new part is admitted only if its value times the square root of its size is at least the
sum of the same products of the parts to evict. The module `admission` removes these parts.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from .entry_table import MASK_32, EntryTable
from .frequency_sketch import FrequencySketch

# A packed size has the size of the body in its lower 24 bits and the number of the part in the bits above.
SIZE_BITS = 24
SIZE_MASK = (1 << SIZE_BITS) - 1
MAX_PACKED_PART = 255
OFFSET_BITS = 32  # a packed location has the offset in these lower bits, the segment in the bits above

EVICTION_SAMPLE = 48  # entries read from a random slot on; the least valuable of them is evicted
FIRST_PART_BONUS = 0.5  # relative bonus of the first part's value; it falls linearly to 0 for later parts
BONUS_PARTS = 20  # number of parts of an object that have a bonus
# An unused part's value falls to a quarter after this many uses of any parts, times the number of entries.
IDLE_USES_PER_ENTRY = 0.5
MIN_ENTRIES_FOR_IDLE = 512  # lower bound of the number of entries when idle time is computed
BASE_FREQUENCY = 0.2  # added to the recent uses, so that a part without recent uses keeps some value


class RecordLocation(NamedTuple):
    """Location of a part's record: segment number, byte offset in the segment, size of the body in bytes."""

    segment: int
    offset: int
    size: int


class EvictionCandidate(NamedTuple):
    """A cached part that may be evicted. Candidates are ordered by their value."""

    value: float
    key: int
    size: int


class EvictionPolicy:
    """Tracks the locations, sizes and uses of the cached parts by their keys, and chooses parts to evict.

    Args:
        capacity_bytes: Maximum total size of the cached parts in bytes.
        seed: Seed of the random samples.
        expected_parts: Expected number of parts, which sets the width of the frequency sketch.

    Attributes:
        live_bytes: Total size of the cached parts in bytes.
        uses: Number of uses so far, which serves as the policy's clock.
        segment_live_bytes: Total size of the cached parts in each segment in bytes, by segment number.
    """

    def __init__(self, capacity_bytes: int, seed: int, expected_parts: int = 1 << 16) -> None:
        self._capacity_bytes = capacity_bytes
        self._seed = seed
        self._draws = 0
        self._sketch = FrequencySketch(expected_parts)
        self._table = EntryTable()
        self.live_bytes = 0
        self.uses = 0
        self.segment_live_bytes: dict[int, int] = {}

    def _draw(self) -> int:
        self._draws += 1
        return zlib.crc32(b"%d %d" % (self._seed, self._draws))

    # Values.

    def record_use(self, key: int) -> int:
        """Record a request for a part, cached or not. Return the estimated number of its recent uses."""
        self.uses += 1
        self._table.touch(key, self.uses)
        return self._sketch.record_use(key)

    def value(self, key: int, size: int, last_use: int, part: int) -> float:
        """Return the value of a part: its recent uses, reduced by idle time, over the root of its size.

        The divisor is the root of the size, because with the size itself large objects were never admitted,
        although each use of a large object saves more bytes.
        """
        entries = max(MIN_ENTRIES_FOR_IDLE, len(self._table))
        idle = (self.uses - last_use & MASK_32) / (IDLE_USES_PER_ENTRY * entries)
        bonus = 1 + FIRST_PART_BONUS * max(0, BONUS_PARTS - part) / BONUS_PARTS
        frequency = self._sketch.estimate(key) + BASE_FREQUENCY
        root_of_size: float = max(1, size) ** 0.5
        return frequency * bonus / (root_of_size * (1 + idle) ** 2)

    def choose_victims(self, key: int, size: int, part: int) -> list[int] | None:
        """Return the keys of the parts to evict for a new part, or None if the part must not be admitted.

        It is not admitted if it exceeds the capacity, or if the parts to evict are worth more or are too few.
        """
        if size > self._capacity_bytes:
            return None
        missing_bytes = self.live_bytes + size - self._capacity_bytes
        victims: list[int] = []
        new_value = self.value(key, size, self.uses, part)
        # Compare sums of value times square root of size: the sum of all victims must not exceed that of the
        # new part.
        lost_value = 0.0
        while missing_bytes > 0:
            least_valuable = self._least_valuable({key, *victims})
            if least_valuable is None:
                return None
            lost_value += least_valuable.value * least_valuable.size**0.5
            if lost_value > new_value * size**0.5:
                return None
            victims.append(least_valuable.key)
            missing_bytes -= least_valuable.size
        return victims

    def _least_valuable(self, excluded: set[int]) -> EvictionCandidate | None:
        """Return the least valuable part of a random sample, or None if there is no eligible one."""
        candidates = []
        for key, (_, packed_size, last_use) in self._table.sample(self._draw(), EVICTION_SAMPLE):
            if key in excluded:
                continue
            size = packed_size & SIZE_MASK
            value = self.value(key, size, last_use, packed_size >> SIZE_BITS)
            candidates.append(EvictionCandidate(value, key, size))
        return min(candidates, default=None)

    # Cached parts.

    def add(self, key: int, location: RecordLocation, part: int) -> None:
        """Add a cached part, or replace its location. `part` is the number of the part in its object."""
        self.remove(key)
        segment, offset, size = location
        packed_size = size | min(part, MAX_PACKED_PART) << SIZE_BITS
        self._table.put(key, segment << OFFSET_BITS | offset, packed_size, self.uses)
        self.live_bytes += size
        self.segment_live_bytes[segment] = self.segment_live_bytes.get(segment, 0) + size

    def remove(self, key: int) -> bool:
        """Remove a part. Return whether it was cached."""
        location = self.locate(key)
        if location is None:
            return False
        self._table.remove(key)
        self.live_bytes -= location.size
        self.segment_live_bytes[location.segment] -= location.size
        return True

    def locate(self, key: int) -> RecordLocation | None:
        """Return the location of a part's record, or None if the part is not cached."""
        entry = self._table.get(key)
        if entry is None:
            return None
        return RecordLocation(
            entry.location >> OFFSET_BITS, entry.location & MASK_32, entry.packed_size & SIZE_MASK
        )
