"""The clocks of this process: monotonic time, and Unix time that is not affected by steps of the wall clock.

Other processes send Unix times. This process compares them with each other and computes the time since
then. The wall clock may be stepped by an hour at any moment, which would swap the order of two times that
are converted before and after the step. So the offset between the two clocks is measured once, when the
process starts, and used for all conversions. Only log lines show the wall clock itself.
"""

from __future__ import annotations

import time

from .units import MILLISECOND_NS

OFFSET_READINGS = 5  # the fastest one is used: the process may be preempted between two clock readings

now = time.monotonic_ns


def _measure_unix_offset() -> int:
    """Return Unix time minus monotonic time, ns, from the fastest of `OFFSET_READINGS` readings of both."""
    shortest = 0
    offset = 0
    for _ in range(OFFSET_READINGS):
        before = now()
        unix = time.time_ns()
        after = now()
        if not shortest or after - before < shortest:
            shortest = max(after - before, 1)
            offset = unix - (before + after) // 2
    return offset


_unix_offset = _measure_unix_offset()


def unix_ns() -> int:
    """Return the current Unix time, ns, computed with the offset measured when the process started."""
    return now() + _unix_offset


def to_unix_ms(monotonic_ns: int) -> int:
    """Convert a time of the monotonic clock, ns, to Unix time in milliseconds."""
    return (monotonic_ns + _unix_offset) // MILLISECOND_NS


def from_unix_ms(unix_ms: int) -> int:
    """Convert Unix time in milliseconds to a time of the monotonic clock, ns, which may be in the future."""
    return unix_ms * MILLISECOND_NS - _unix_offset


def shift_unix_time(offset_ns: int) -> None:
    """Shift this process's Unix time, as on a machine whose clock is wrong; for tests and benchmarks."""
    global _unix_offset
    _unix_offset += offset_ns
