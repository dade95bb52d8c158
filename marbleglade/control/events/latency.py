"""A histogram of latencies with a fixed number of buckets, without I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ...runtime.units import MILLISECOND_NS

FIRST_BOUND_NS = MILLISECOND_NS  # upper bound of the first bucket
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 88  # buckets with an upper bound, the highest about an hour; one more has none


class LatencyHistogram:
    """Counts latencies in buckets whose bounds grow by 2 ** 0.25: percentiles are at most 19% too high."""

    bounds = tuple(
        round(FIRST_BOUND_NS * 2 ** (number / BUCKETS_PER_DOUBLING)) for number in range(BUCKET_COUNT)
    )

    def __init__(self) -> None:
        self.counts = [0] * (BUCKET_COUNT + 1)

    def add(self, latency_ns: int) -> None:
        """Count one latency."""
        low, high = 0, BUCKET_COUNT
        while low < high:
            middle = (low + high) // 2
            if self.bounds[middle] < latency_ns:
                low = middle + 1
            else:
                high = middle
        self.counts[low] += 1

    def merge(self, counts: Sequence[int]) -> None:
        """Add the bucket counts of another histogram."""
        for number, count in enumerate(counts[: BUCKET_COUNT + 1]):
            self.counts[number] += count

    @property
    def total(self) -> int:
        """The number of latencies counted."""
        return sum(self.counts)

    def percentile(self, fraction: float) -> int | None:
        """Return the bucket bound, in ns, that this fraction of latencies does not exceed; None: no data."""
        required_count = fraction * self.total
        cumulative_count = 0
        for number, count in enumerate(self.counts):
            cumulative_count += count
            if count and cumulative_count >= required_count:
                return self.bounds[min(number, BUCKET_COUNT - 1)]
        return None
