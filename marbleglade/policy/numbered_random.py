"""A reproducible pseudo-random sequence with a sequence counter that deadlines share."""

from __future__ import annotations

import zlib

CRC_LIMIT = 2**32  # exclusive upper bound of CRC-32 values


class NumberedRandom:
    """Pseudo-random numbers derived from a seed and a counter.

    Deadlines take their sequence numbers from the same counter, so that a run can be repeated exactly.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0

    def next_number(self) -> int:
        """Increment the counter and return it; the first number is 1."""
        self._count += 1
        return self._count

    def draw(self) -> float:
        """Return a pseudo-random number from 0 (inclusive) to 1 (exclusive)."""
        return zlib.crc32(b"%d %d" % (self._seed, self.next_number())) / CRC_LIMIT
