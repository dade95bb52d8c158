"""Measures what each role costs by its size, or writes the capacity page's tables from recorded figures.

The measurements run without sockets, or with one real front on loopback. `python -m benchmarks.scale`
measures fleets of hundreds of fronts and the control plane on sockets.
"""

from __future__ import annotations

import argparse
import datetime
import os
import platform
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from . import (
    control_node,
    fleet_agent,
    front_cost,
    gateway,
    list_changes,
    load_views,
    maintenance,
    page,
    purges,
    streams,
    takeover,
    view_size,
)
from .records import (
    RECORD_FOLDER,
    CapacityRecord,
    Conditions,
    InvalidRecordError,
    Point,
    Slope,
    load_record,
    save_record,
)

MEASUREMENTS: dict[str, Callable[[bool], tuple[list[Point], list[Slope]]]] = {
    "streams": streams.run,
    "purges": purges.run,
    "list": list_changes.run,
    "view": view_size.run,
    "fleet": fleet_agent.run,
    "load_views": load_views.run,
    "takeover": takeover.run,
    "maintenance": maintenance.run,
    "control": control_node.run,
    "front": front_cost.run,
    "gateway": gateway.run,
}
# Keys of a measurement's conditions in the record, where they differ from its name: the record also keeps
# the conditions of earlier trees' runs.
CONDITION_NAMES = {
    "purges": f"purges by {purges.PURGE_METHOD}",
    "maintenance": "maintenance with nine voters",
}
DEFAULT_FILE = RECORD_FOLDER / "capacity.json"
BUSY_LOAD_PER_CORE = 0.5  # load average per core, above which other work may have disturbed the figures


def load_average() -> float:
    """Return the load average of the last minute."""
    return round(os.getloadavg()[0], 2)


def measured_commit() -> str:
    """Return the abbreviated commit, followed by "-dirty" if `marbleglade` has uncommitted changes."""
    found = subprocess.run(["git", "rev-parse", "--short=12", "HEAD"], capture_output=True, text=True)
    changed = subprocess.run(["git", "status", "--porcelain", "marbleglade"], capture_output=True, text=True)
    return (found.stdout.strip() or "unknown") + ("-dirty" if changed.stdout.strip() else "")


def conditions(commit: str, load_before: float, quick: bool) -> Conditions:
    """Return the conditions of a measurement of `commit` that ends now."""
    cores = os.cpu_count() or 1
    return Conditions(
        taken=datetime.date.today().isoformat(),
        machine=f"{cores} cores, Python {platform.python_version()}, loopback",
        busy=load_before > BUSY_LOAD_PER_CORE * cores,
        load_before=load_before,
        load_after=load_average(),
        commit=commit,
        quick=quick,
    )


def measure(name: str, quick: bool, path: Path) -> None:
    """Run a measurement and replace its earlier run in the record."""
    commit, load_before = measured_commit(), load_average()
    points, slopes = MEASUREMENTS[name](quick)
    record = CapacityRecord()
    with suppress(InvalidRecordError):
        record = load_record(path)
    record.replace(points, slopes)
    record.conditions[CONDITION_NAMES.get(name, name)] = conditions(commit, load_before, quick)
    save_record(path, record)
    for slope in slopes:
        per = " ".join(
            f"+ {each:.4g} (±{slope.standard_errors[variable]:.2g}) a {variable}"
            for variable, each in slope.per.items()
        )
        print(f"{slope.name}: {slope.intercept:.4g} {per} {slope.unit}", flush=True)


def main() -> int:
    """Run the command line and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--quick", action="store_true", help="measure few sizes; not for the recorded file")
    parser.add_argument("--only", choices=MEASUREMENTS, help="run this measurement only")
    parser.add_argument(
        "--file", type=Path, default=DEFAULT_FILE, help="file that the figures are recorded in"
    )
    parser.add_argument(
        "--write-page", action="store_true", help="write the tables of the capacity page and measure nothing"
    )
    options = parser.parse_args()
    if options.write_page:
        page.write()
        return 0
    if options.quick and options.file == DEFAULT_FILE:
        parser.error(
            "--quick needs --file with another path: the default file holds figures of full runs only"
        )
    for name in [options.only] if options.only else MEASUREMENTS:
        measure(name, options.quick, options.file)
    return 0


if __name__ == "__main__":
    sys.exit(main())
