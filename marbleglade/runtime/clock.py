"""The one clock: whole nanoseconds that never go back. Unix milliseconds only pass the door here."""

from __future__ import annotations

import time

now = time.monotonic_ns
unix_ns = time.time_ns  # the region's time


def to_unix_ms(moment: int) -> int:
    """A moment on our clock as a Unix millisecond."""
    return (unix_ns() - (now() - moment)) // 1_000_000


def from_unix_ms(unix_ms: int) -> int:
    """A Unix millisecond on our clock."""
    return now() - (unix_ns() - unix_ms * 1_000_000)
