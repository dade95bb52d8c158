"""Least-squares linear fits of measured points, with standard errors; no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np


class UnderdeterminedError(Exception):
    """Too few points, or variables that do not vary independently."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted linear function and its errors.

    Attributes:
        intercept: Value of the function where all variables are 0.
        slopes: Slope by variable.
        error: Standard error of the residuals, in the unit of the quantity.
        standard_errors: Standard error of the slope by variable, and of `intercept`.
        points: Number of points that the function was fitted to.
    """

    intercept: float
    slopes: dict[str, float]
    error: float
    standard_errors: dict[str, float]
    points: int

    def value(self, at: Mapping[str, float]) -> float:
        """Return the value of the function at the given values of the variables."""
        return self.intercept + sum(slope * at[name] for name, slope in self.slopes.items())


def fit(variables: Sequence[str], settings: Sequence[Mapping[str, float]], values: Sequence[float]) -> Fit:
    """Fit `values` as a linear function of the variables. Raises `UnderdeterminedError`."""
    names = ["intercept", *variables]
    matrix = np.array([[1.0, *(float(one[name]) for name in variables)] for one in settings])
    degrees_of_freedom = len(values) - len(names)
    if degrees_of_freedom < 1 or np.linalg.matrix_rank(matrix) < len(names):
        raise UnderdeterminedError(f"{len(values)} points do not determine {', '.join(names)}")
    observed = np.array(values, dtype=float)
    solution, *_ = np.linalg.lstsq(matrix, observed, rcond=None)
    residuals = observed - matrix @ solution
    variance = float(residuals @ residuals) / degrees_of_freedom
    covariance = variance * np.linalg.inv(matrix.T @ matrix)
    errors = np.sqrt(np.clip(np.diag(covariance), 0, None))
    return Fit(
        float(solution[0]),
        {name: float(value) for name, value in zip(variables, solution[1:], strict=True)},
        variance**0.5,
        {name: float(value) for name, value in zip(names, errors, strict=True)},
        len(values),
    )
