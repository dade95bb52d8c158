"""Times until a purge was applied everywhere, as an HDR histogram."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000  # in a second
LONGEST = 600 * MICROSECONDS
DIGITS = 3  # significant digits that are kept


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Seconds; None where nothing was measured."""

    count: int
    p50: float | None
    p99: float | None
    worst: float | None


def summarize(seconds: Iterable[float]) -> LatencySummary:
    """Median, 99th percentile and worst."""
    histogram = HdrHistogram(1, LONGEST, DIGITS)
    worst = None
    for value in seconds:
        histogram.record_value(max(1, min(LONGEST, round(value * MICROSECONDS))))
        worst = value if worst is None else max(worst, value)
    if worst is None:
        return LatencySummary(0, None, None, None)
    p50, p99 = (histogram.get_value_at_percentile(one) / MICROSECONDS for one in (50.0, 99.0))
    return LatencySummary(histogram.get_total_count(), p50, p99, worst)
