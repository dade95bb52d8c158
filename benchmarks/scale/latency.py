"""Percentiles of the times until a purge was applied everywhere, from an HDR histogram."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_US = 600 * MICROSECONDS_PER_SECOND  # longer times are recorded as this
SIGNIFICANT_DIGITS = 3  # precision of the histogram


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Number of times and their percentiles in seconds, which are None where nothing was measured."""

    count: int
    p50: float | None
    p99: float | None
    worst: float | None


def summarize(seconds: Iterable[float]) -> LatencySummary:
    """Return the median, the 99th percentile and the greatest of these times."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    worst = None
    for value in seconds:
        histogram.record_value(max(1, min(MAX_RECORDED_US, round(value * MICROSECONDS_PER_SECOND))))
        worst = value if worst is None else max(worst, value)
    if worst is None:
        return LatencySummary(0, None, None, None)
    p50, p99 = (histogram.get_value_at_percentile(rank) / MICROSECONDS_PER_SECOND for rank in (50.0, 99.0))
    return LatencySummary(histogram.get_total_count(), p50, p99, worst)
