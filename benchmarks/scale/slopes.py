"""Fits measured quantities as linear functions of the varied settings; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .fits import UnderdeterminedError, fit
from .points import Point

COMMAND = "python -m benchmarks.scale"
SIGNIFICANT_DIGITS = 6  # significant digits in the measurement file

PURGE_RATE_TIMES_DIRECTORY = "purge_per_s_directory_entry"

Variable = Callable[[Point], float]

VARIABLES: dict[str, Variable] = {
    "front": lambda point: point.fronts,
    "purge_per_s": lambda point: point.purges_per_s,
    "front_purge_per_s": lambda point: point.fronts * point.purges_per_s,
    "directory_entry": lambda point: point.directory,
    PURGE_RATE_TIMES_DIRECTORY: lambda point: point.purges_per_s * point.directory,
    "cache": lambda point: point.caches,
}
RANGES: dict[str, Variable] = {
    "fronts": VARIABLES["front"],
    "purges_per_s": VARIABLES["purge_per_s"],
    "directory": VARIABLES["directory_entry"],
    "caches": VARIABLES["cache"],
}
UNITS = {"cpu": "core", "memory": "byte", "bytes_in": "byte/s", "bytes_out": "byte/s", "bytes": "byte/s"}


@dataclass(frozen=True, slots=True)
class Model:
    """A quantity of a role, fitted as a linear function of `variables`; `value` reads it from a point."""

    role: str
    quantity: str
    variables: tuple[str, ...]
    value: Callable[[Point], float]


@dataclass(slots=True)
class Slope:
    """A fitted model; `benchmarks/measurements/README.md` describes the fields."""

    name: str
    role: str
    quantity: str
    mode: str
    unit: str
    intercept: float
    per: dict[str, float]
    error: float
    standard_errors: dict[str, float]
    range: dict[str, list[float]]
    points: int
    command: str


def models(mode: str) -> list[Model]:
    """Return the models that are fitted to the points of a mode."""
    server = "discovery_service" if mode == "discovery" else "control_node"
    return [
        Model(
            "front",
            "cpu",
            ("front", "purge_per_s", "purge_per_s_directory_entry"),
            lambda point: point.front_cpu,
        ),
        Model("front", "memory", ("directory_entry", "cache"), lambda point: point.front_memory_bytes),
        Model("front", "bytes_in", ("front", "purge_per_s"), lambda point: point.front_bytes_in_per_s),
        Model("front", "bytes_out", ("front", "purge_per_s"), lambda point: point.front_bytes_out_per_s),
        Model(
            "front",
            "bytes",
            ("front", "purge_per_s"),
            lambda point: point.front_bytes_in_per_s + point.front_bytes_out_per_s,
        ),
        Model(server, "cpu", ("front", "front_purge_per_s"), lambda point: point.server_cpu),
        Model(
            server, "bytes_out", ("front", "front_purge_per_s"), lambda point: point.server_bytes_out_per_s
        ),
        Model(server, "memory", ("front",), lambda point: point.server_memory_bytes),
    ]


def fit_all(points: Iterable[Point], mode: str) -> tuple[list[Slope], list[str]]:
    """Return the slopes of a mode's points, and a message for each model that the points do not determine."""
    chosen = [point for point in points if point.mode == mode and not point.sweep.startswith("silence")]
    slopes, not_fitted = [], []
    for model in models(mode):
        name = f"{model.role}_{model.quantity}_{mode}"
        try:
            slopes.append(_fit_slope(name, model, mode, chosen))
        except UnderdeterminedError as error:
            not_fitted.append(f"{name}: {error}")
    return slopes, not_fitted


def _fit_slope(name: str, model: Model, mode: str, points: list[Point]) -> Slope:
    varied = [one for one in model.variables if len({VARIABLES[one](point) for point in points}) > 1]
    if PURGE_RATE_TIMES_DIRECTORY in varied and len({point.directory for point in points}) == 1:
        varied.remove(PURGE_RATE_TIMES_DIRECTORY)  # then proportional to purges a second
    settings = [{one: VARIABLES[one](point) for one in varied} for point in points]
    fitted = fit(varied, settings, [model.value(point) for point in points])
    return Slope(
        name,
        model.role,
        model.quantity,
        mode,
        UNITS[model.quantity],
        round_significant(fitted.intercept),
        {key: round_significant(value) for key, value in fitted.slopes.items()},
        round_significant(fitted.error),
        {key: round_significant(value) for key, value in fitted.standard_errors.items()},
        {
            key: [min(variable(point) for point in points), max(variable(point) for point in points)]
            for key, variable in RANGES.items()
        },
        fitted.points,
        COMMAND,
    )


def round_significant(value: float) -> float:
    """Round to `SIGNIFICANT_DIGITS`."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
