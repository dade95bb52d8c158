"""Units of time, in nanoseconds. Multiply a number of units by one to get nanoseconds."""

from __future__ import annotations

MICROSECOND_NS = 1_000
MILLISECOND_NS = 1_000_000
SECOND_NS = 1_000_000_000
