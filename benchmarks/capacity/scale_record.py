"""The part of the recorded scale run, `benchmarks/measurements/scale.json`, that the capacity page needs."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from .records import InvalidRecordError, JsonObject, Slope, load_json_object, slope_from_json


@dataclass(frozen=True, slots=True)
class ScaleBudget:
    """A budget and the measured figure of the run; `measured` and `kept` are None if nothing was measured."""

    name: str
    limit: float
    unit: str
    measured: float | None
    kept: bool | None
    summary_field: str


@dataclass(frozen=True, slots=True)
class ScaleRecord:
    """One run of `python -m benchmarks.scale`, with the fields that the measurements' README describes.

    A run that measures only fronts which watch the discovery service themselves has no budgets.
    """

    taken: str
    machine: str
    busy: bool
    load_before: float
    load_after: float
    commit: str
    seed: int
    command: str
    points: list[JsonObject] = field(default_factory=list)
    slopes: list[Slope] = field(default_factory=list)
    summary: dict[str, float | None] = field(default_factory=dict)
    not_measured: dict[str, str] = field(default_factory=dict)
    budgets: list[ScaleBudget] = field(default_factory=list)


def load_scale(path: Path) -> ScaleRecord:
    """Read a recorded scale run. Raises `InvalidRecordError`, also if the file is missing."""
    content = load_json_object(path)
    try:
        return ScaleRecord(
            **{
                name: content[name] for name in ScaleRecord.__dataclass_fields__ if name not in _PARSED_FIELDS
            },
            slopes=[slope_from_json(one) for one in content["slopes"]],
            budgets=[ScaleBudget(**one) for one in content.get("budgets", ())],
        )
    except (KeyError, TypeError) as error:
        raise InvalidRecordError(f"{path.name}: {error!r}") from error


_PARSED_FIELDS = ("slopes", "budgets")
