"""The content of the measurement file as typed values, and how it is written."""

from __future__ import annotations

import os
import subprocess
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson

from .points import Point
from .slopes import Slope

LOADAVG_PATH = Path("/proc/loadavg")


@dataclass(slots=True)
class Budget:
    """A budget and its measured figure; `measured` and `kept` are None where nothing was measured."""

    name: str
    limit: float
    unit: str
    summary_field: str
    measured: float | None = None
    kept: bool | None = None


@dataclass(slots=True)
class Measurement:
    """All results of one run; `benchmarks/measurements/README.md` describes the fields."""

    taken: str
    machine: str
    busy: bool
    load_before: float
    load_after: float
    commit: str
    seed: int
    command: str
    points: list[Point] = field(default_factory=list)
    slopes: list[Slope] = field(default_factory=list)
    summary: dict[str, float | None] = field(default_factory=dict)
    not_measured: dict[str, str] = field(default_factory=dict)
    budgets: list[Budget] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write the measurement as JSON."""
        path.write_bytes(orjson.dumps(asdict(self), option=orjson.OPT_INDENT_2) + b"\n")


def start_measurement(seed: int, command: str) -> Measurement:
    """Create an empty measurement with the date, this machine, its load and the commit."""
    load, cores = load_average(), os.cpu_count() or 1
    gigabytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e9
    machine = f"{cores} cores, {gigabytes:.0f} GB, loopback"
    return Measurement(
        time.strftime("%Y-%m-%d"), machine, load > cores / 8, load, load, current_commit(), seed, command
    )


def load_average() -> float:
    """Return the load average of the last minute."""
    return float(LOADAVG_PATH.read_text().split()[0])


def current_commit() -> str:
    """Return the commit of the working tree, or "unknown" without git."""
    try:
        return subprocess.run(
            ["git", "describe", "--always", "--dirty"], capture_output=True, text=True, check=True, timeout=10
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return "unknown"
