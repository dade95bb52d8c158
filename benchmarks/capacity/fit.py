"""Least squares for a line through points, with the standard errors of its figures."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass

from .records import Point, Slope

VARIABLES = {  # what a size counts
    "fronts": "front",
    "caches": "cache",
    "directory_entries": "directory_entry",
    "copies": "copy",
    "copy_bytes": "copy_byte",
    "open_requests": "open_request",
    "recent_purges": "recent_purge",
    "object_bytes": "object_byte",
    "clients": "client",
    "purges_per_s": "purge_per_s",
    "zones": "zone",
    "retained_purges": "retained_purge",
}


class TooFewPointsError(ValueError):
    """A line needs points at two sizes at the least."""


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line, the standard error of its residuals and of its two figures."""

    intercept: float
    slope: float
    error: float
    intercept_error: float
    slope_error: float


def line(sizes: list[float], values: list[float]) -> Line:
    """The line of least squares.

    With two points the errors are 0: nothing is left over to tell them from. Raises `TooFewPointsError`.
    """
    if len(set(sizes)) < 2:
        raise TooFewPointsError(f"sizes {sorted(set(sizes))}")
    slope, intercept = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    residuals = [value - intercept - slope * size for size, value in zip(sizes, values, strict=True)]
    freedom = len(sizes) - 2
    error = math.sqrt(sum(one * one for one in residuals) / freedom) if freedom else 0.0
    intercept_error = error * math.sqrt(1 / len(sizes) + mean * mean / spread)
    return Line(intercept, slope, error, intercept_error, error / math.sqrt(spread))


def fitted(points: list[Point], size: str) -> Slope:
    """The line through points of one measurement by one of their sizes."""
    sizes, variable, first = [point.at[size] for point in points], VARIABLES[size], points[0]
    found = line(sizes, [point.value for point in points])
    return Slope(
        name=first.name,
        role=first.role,
        quantity=first.quantity,
        unit=first.unit,
        intercept=found.intercept,
        per={variable: found.slope},
        error=found.error,
        standard_errors={"intercept": found.intercept_error, variable: found.slope_error},
        range={size: [min(sizes), max(sizes)]},
        points=len(points),
        command=first.command,
    )


def fitted_by_name(points: list[Point], size: str) -> list[Slope]:
    """One line for each measurement among the points."""
    names = dict.fromkeys(point.name for point in points)
    return [fitted([point for point in points if point.name == name], size) for name in names]
