"""The one clock: whole nanoseconds that never go back. Unix milliseconds only pass the door here."""

from __future__ import annotations

import time

now = time.monotonic_ns


def from_unix_ms(unix_ms: int) -> int:
    """A Unix millisecond on our clock."""
    return now() - (time.time_ns() - unix_ms * 1_000_000)
