"""Random numbers that are a pure function of a text, so that runs with the same seed have the same draws."""

from __future__ import annotations

import zlib

MULTIPLIER = 2654435761  # Knuth's multiplicative hash, which spreads the similar checksums of similar texts


def seeded_fraction(text: bytes) -> float:
    """Hash a text to a fraction in [0, 1)."""
    return zlib.crc32(text) * MULTIPLIER % 2**32 / 2**32
