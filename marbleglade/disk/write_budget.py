"""Budget of the bytes written to the disk: a token bucket for new parts, a ratio for rewritten parts."""

from __future__ import annotations

from ..runtime.units import SECOND_NS


class WriteBudget:
    """Limits the write rate and the write amplification of a disk cache.

    Args:
        bytes_per_s: Rate at which new parts may be written, in bytes per second.
        burst_s: Size of the token bucket, in seconds at that rate.
        max_amplification: Maximum ratio of all bytes written (new and rewritten) to the new bytes.
    """

    def __init__(self, bytes_per_s: float, burst_s: float, max_amplification: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = bytes_per_s * burst_s
        self._max_amplification = max_amplification
        self._available_bytes = self._burst_bytes
        self._refilled_at_ns = 0
        self._new_bytes = 0
        self._rewritten_bytes = 0

    def try_write(self, size: int, now_ns: int) -> bool:
        """Take `size` bytes for a new part from the budget. Return false if it does not suffice."""
        elapsed_ns = max(0, now_ns - self._refilled_at_ns)
        refilled = self._available_bytes + self._bytes_per_s * elapsed_ns / SECOND_NS
        self._available_bytes = min(self._burst_bytes, refilled)
        self._refilled_at_ns = now_ns
        if self._available_bytes < size:
            return False
        self._available_bytes -= size
        self._new_bytes += size
        return True

    def try_rewrite(self, size: int) -> bool:
        """Take `size` bytes from the rewrite budget to keep live parts of a segment.

        Return false if it does not suffice, in which case these parts have to be dropped.
        """
        written = self._new_bytes + self._rewritten_bytes + size
        if written > self._max_amplification * max(1, self._new_bytes):
            return False
        self._rewritten_bytes += size
        return True

    @property
    def amplification(self) -> float:
        """Ratio of all bytes written (new and rewritten) to the new bytes."""
        return (self._new_bytes + self._rewritten_bytes) / max(1, self._new_bytes)
