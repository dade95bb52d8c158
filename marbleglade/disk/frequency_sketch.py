"""Estimate of recent access frequency: a count-min sketch with small counters, halved periodically.

Based on TinyLFU (Einziger, Friedman, Manes: "TinyLFU: A Highly Efficient Cache Admission Policy", 2017).
"""

from __future__ import annotations

MAX_COUNT = 15  # maximum value of one counter
ROWS = 4
ROW_MULTIPLIERS = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0x27D4EB2F165667C5)
MASK_64 = (1 << 64) - 1
USES_PER_COUNTER = 10  # uses per counter of a row after which all counters are halved


class FrequencySketch:
    """A count-min sketch, accurate for about as many keys as a row has counters.

    Args:
        width: Number of counters in a row, rounded up to a power of two. A counter takes one byte.

    Attributes:
        ageing_period: Number of uses between two halvings of all counters.
    """

    def __init__(self, width: int) -> None:
        self._bits = max(6, (width - 1).bit_length())
        self._rows = [bytearray(1 << self._bits) for _ in range(ROWS)]
        self._uses = 0
        self.ageing_period = USES_PER_COUNTER << self._bits

    def _columns(self, key: int) -> list[int]:
        shift = 64 - self._bits
        return [
            ((key * multiplier & MASK_64) ^ (key * multiplier >> 29 & MASK_64)) * multiplier % (1 << 64)
            >> shift
            for multiplier in ROW_MULTIPLIERS
        ]

    def record_use(self, key: int) -> int:
        """Count one use. Return the estimated number of recent uses, including this one."""
        columns = self._columns(key)
        lowest = min(row[column] for row, column in zip(self._rows, columns, strict=True))
        if lowest < MAX_COUNT:
            for row, column in zip(self._rows, columns, strict=True):
                if row[column] == lowest:  # higher counters also count uses of other keys
                    row[column] += 1
        self._uses += 1
        if self._uses >= self.ageing_period:
            self._age()
        return min(lowest + 1, MAX_COUNT)

    def estimate(self, key: int) -> int:
        """Return the estimated number of recent uses. Shared counters may make it too high, never too low."""
        return min(row[column] for row, column in zip(self._rows, self._columns(key), strict=True))

    def _age(self) -> None:
        halved = bytes(count >> 1 for count in range(256))
        self._rows = [row.translate(halved) for row in self._rows]
        self._uses //= 2
