"""Fits lines to points by least squares, with the standard errors of intercept and slope."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass

from .records import Point, Slope

VARIABLE_BY_SIZE_NAME = {  # the singular that names the variable of a slope
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
    """The points of a line have fewer than two different sizes."""


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes:
        intercept: Value at size 0.
        slope: Increase of the value per unit of size.
        error: Standard error of the residuals.
        intercept_error: Standard error of the intercept.
        slope_error: Standard error of the slope.
    """

    intercept: float
    slope: float
    error: float
    intercept_error: float
    slope_error: float


def fit_line(sizes: list[float], values: list[float]) -> Line:
    """Fit a line by least squares.

    With two points the line meets both, so there are no residuals and the errors are 0. Raises
    `TooFewPointsError`.
    """
    if len(set(sizes)) < 2:
        raise TooFewPointsError(f"a line needs points at two sizes or more, not only at {sorted(set(sizes))}")
    slope, intercept = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(sizes)
    sum_of_squares = sum((size_name - mean) ** 2 for size_name in sizes)
    residuals = [
        value - intercept - slope * size_name for size_name, value in zip(sizes, values, strict=True)
    ]
    degrees_of_freedom = len(sizes) - 2
    error = math.sqrt(sum(one * one for one in residuals) / degrees_of_freedom) if degrees_of_freedom else 0.0
    intercept_error = error * math.sqrt(1 / len(sizes) + mean * mean / sum_of_squares)
    return Line(intercept, slope, error, intercept_error, error / math.sqrt(sum_of_squares))


def fit_slope(points: list[Point], size_name: str) -> Slope:
    """Fit the slope of one measurement by the size of this name. Raises `TooFewPointsError`."""
    sizes, variable, first = (
        [point.at[size_name] for point in points],
        VARIABLE_BY_SIZE_NAME[size_name],
        points[0],
    )
    found = fit_line(sizes, [point.value for point in points])
    return Slope(
        name=first.name,
        role=first.role,
        quantity=first.quantity,
        unit=first.unit,
        intercept=found.intercept,
        per={variable: found.slope},
        error=found.error,
        standard_errors={"intercept": found.intercept_error, variable: found.slope_error},
        range={size_name: [min(sizes), max(sizes)]},
        points=len(points),
        command=first.command,
    )


def fit_slopes_by_name(points: list[Point], size_name: str) -> list[Slope]:
    """Fit one slope for each measurement among the points. Raises `TooFewPointsError`."""
    names = dict.fromkeys(point.name for point in points)
    return [fit_slope([point for point in points if point.name == name], size_name) for name in names]
