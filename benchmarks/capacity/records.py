"""Records of measurements: files with measured points, and with slopes that were fitted to them.

Slopes have the fields that `benchmarks/measurements/README.md` describes for all recorded files.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

RECORD_FOLDER = Path(__file__).parent.parent / "measurements"

JsonObject = dict[str, Any]  # a decoded JSON object


class InvalidRecordError(ValueError):
    """A recorded file can't be read, or lacks a figure; the text names the file or the figure."""


@dataclass(frozen=True, slots=True)
class Point:
    """One measured figure, and the sizes at which it was measured.

    Attributes:
        name: Name of the measurement; the slope of the same name is fitted to its points.
        role: Role of the measured process, such as "front" or "view aggregator".
        quantity: The measured quantity, such as "bytes sent".
        unit: Unit of `value`.
        at: Sizes of the deployment by name, such as {"fronts": 730}.
        value: The measured figure.
        command: Command that measures the figure.
    """

    name: str
    role: str
    quantity: str
    unit: str
    at: Mapping[str, float]
    value: float
    command: str


@dataclass(frozen=True, slots=True)
class Slope:
    """A linear function fitted to points: `intercept` plus, for each variable, `per` times its value.

    Attributes:
        name: Name of the measurement and of its points.
        role: Role of the measured process.
        quantity: The measured quantity.
        unit: Unit of the quantity.
        intercept: Value where all variables are 0, in `unit`.
        per: Increase for each variable, such as "front", by its name, in `unit`.
        error: Standard error of the residuals, in `unit`.
        standard_errors: Standard errors of "intercept" and of each variable in `per`.
        range: Least and greatest value of each size, such as "fronts", at which it was measured.
        points: Number of points that it was fitted to.
        command: Command that measures the points.
        mode: Mode of the scale run that was measured, or "".
    """

    name: str
    role: str
    quantity: str
    unit: str
    intercept: float
    per: dict[str, float]
    error: float
    standard_errors: dict[str, float]
    range: dict[str, list[float]]
    points: int
    command: str
    mode: str = ""

    def value_at(self, **variables: float) -> float:
        """Return the value of the function; a variable that is not given counts as 0."""
        return self.intercept + sum(each * variables.get(name, 0.0) for name, each in self.per.items())


@dataclass(frozen=True, slots=True)
class Conditions:
    """When, where and on which commit a measurement was made.

    Attributes:
        taken: Date of the measurement.
        machine: Number of cores, version of Python and kind of network.
        busy: Whether other work may have disturbed the figures.
        load_before: Load average of the last minute at the start.
        load_after: Load average of the last minute at the end.
        commit: Abbreviated commit, followed by "-dirty" if `marbleglade` had uncommitted changes.
        quick: Whether only few sizes were measured.
    """

    taken: str
    machine: str
    busy: bool
    load_before: float
    load_after: float
    commit: str
    quick: bool


@dataclass(slots=True)
class CapacityRecord:
    """The content of `capacity.json`: points, slopes, and by measurement the conditions of its latest run."""

    conditions: dict[str, Conditions] = field(default_factory=dict)
    points: list[Point] = field(default_factory=list)
    slopes: list[Slope] = field(default_factory=list)

    def slope(self, name: str) -> Slope:
        """Return the slope of this name. Raises `InvalidRecordError` if there is none."""
        for slope in self.slopes:
            if slope.name == name:
                return slope
        raise InvalidRecordError(f"the record has no slope {name!r}")

    def value(self, name: str, **sizes: float) -> float:
        """Return the figure of this name at these sizes. Raises `InvalidRecordError` if there is none."""
        for point in self.points:
            if point.name == name and sizes.items() <= point.at.items():
                return point.value
        raise InvalidRecordError(f"the record has no point {name!r} at {sizes}")

    def replace(self, points: list[Point], slopes: list[Slope]) -> None:
        """Replace all points and slopes of the names that the new points and slopes have."""
        names = {point.name for point in points} | {slope.name for slope in slopes}
        self.points = [point for point in self.points if point.name not in names] + points
        self.slopes = [slope for slope in self.slopes if slope.name not in names] + slopes


def load_record(path: Path) -> CapacityRecord:
    """Read a recorded file. Raises `InvalidRecordError`, also if the file is missing."""
    content = load_json_object(path)
    try:
        points = [Point(**one) for one in content.pop("points")]
        slopes = [slope_from_json(one) for one in content.pop("slopes")]
        conditions = {name: Conditions(**value) for name, value in content.items()}
    except (KeyError, TypeError) as error:
        raise InvalidRecordError(f"{path.name}: {error!r}") from error
    return CapacityRecord(conditions, points, slopes)


def load_json_object(path: Path) -> JsonObject:
    """Read a file that holds one JSON object. Raises `InvalidRecordError`."""
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidRecordError(f"{path.name}: {error}") from error
    if not isinstance(content, dict):
        raise InvalidRecordError(f"{path.name}: the content is not a JSON object")
    return content


def slope_from_json(content: JsonObject) -> Slope:
    """Build a slope from JSON. Raises `TypeError` if a field is missing or unknown."""
    return Slope(**content)


def save_record(path: Path, measurement: CapacityRecord) -> None:
    """Write a recorded file with one point or slope per line, so that a diff shows each change on its own."""
    path.parent.mkdir(exist_ok=True)
    parts = [
        f"{json.dumps(name)}: {json.dumps(asdict(conditions))}"
        for name, conditions in measurement.conditions.items()
    ]
    parts.append(_list_text("points", [asdict(point) for point in measurement.points]))
    parts.append(_list_text("slopes", [asdict(slope) for slope in measurement.slopes]))
    path.write_text("{\n" + ",\n".join(parts) + "\n}\n")


def _list_text(name: str, records: list[JsonObject]) -> str:
    lines = ",\n".join(f"  {json.dumps(record)}" for record in records)
    return f'"{name}": [\n{lines}\n]'
