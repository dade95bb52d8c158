"""The command line of the scale run: `python -m benchmarks.scale`.

It first runs sweeps in which fronts watch the discovery service, then a run with a control plane and faults
that the seed selects. All figures come from processes on loopback with stand-ins. The last line of output is
one JSON object; the exit code is 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path

import orjson

from . import measurement_file, slopes, sweep
from .deployment import RunSize
from .faults import FaultKind
from .measurement_file import Budget, Measurement
from .plots import draw
from .scenario import Scenario
from .summary import BUDGET_LIMITS, Summary, is_within_budget

QUICK = RunSize(
    front_counts=(100, 200),
    real_fronts=4,
    reference_fronts=2,
    control_nodes=5,
    hosts=6,
    directory_entries=8192,
    caches=78,
    purges_per_s=12.0,
    other_purges_per_s=(),
    window_s=3.0,
    catch_up_s=1.0,
    requests_per_s=6.0,
    time_limit_s=46.0,
)
FULL = RunSize(
    front_counts=(100, 365, 730),
    real_fronts=8,
    reference_fronts=4,
    control_nodes=8,
    hosts=8,
    directory_entries=8192,
    caches=78,
    purges_per_s=12.0,
    other_purges_per_s=(3.0, 24.0),
    window_s=8.0,
    catch_up_s=4.0,
    requests_per_s=6.0,
    time_limit_s=420.0,
)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="a run of at most 50 s, without the sweeps")
    parser.add_argument("--fronts", type=int, help="number of lightweight fronts at the end of the run")
    parser.add_argument("--plot", type=Path, help="write the plots to this PNG file")
    parser.add_argument("--write", type=Path, help="write the measurements to this JSON file")
    parser.add_argument("--no-sweeps", action="store_true", help="skip the sweeps")
    parser.add_argument(
        "--only",
        default="",
        help="inject only these faults, with the time limit of a full run: "
        f"{', '.join(kind.name.lower() for kind in FaultKind)}",
    )
    return parser.parse_args()


def run_size(options: argparse.Namespace) -> RunSize:
    """Return the size of the run that the options select."""
    scale = QUICK if options.quick else FULL
    if options.only:
        scale = replace(scale, time_limit_s=FULL.time_limit_s)
    if not options.fronts:
        return scale
    smaller = [size for size in scale.front_counts[:-2] if 2 * size < options.fronts]
    return replace(scale, front_counts=(*smaller, options.fronts // 2, options.fronts))


def progress(text: str) -> None:
    """Print a line with the time of day."""
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def main() -> int:
    """Run the sweeps and the scenario; return the exit code."""
    options = parse_arguments()
    command = " ".join(["python -m benchmarks.scale", *sys.argv[1:]])
    measurement = measurement_file.start_measurement(options.seed, command)
    if not (options.quick or options.no_sweeps):
        measurement.points += sweep.run(sweep.FULL_SWEEP, options.seed, progress)
        if options.write:
            measurement.write(options.write)  # keeps the results of the sweeps if the scenario fails
    selected_faults = frozenset(FaultKind[name.upper()] for name in options.only.split(",") if name)
    scenario = Scenario(run_size(options), options.seed, options.quick, progress, selected_faults)
    summary = scenario.run()
    measurement.points += scenario.points
    for note in scenario.notes:
        progress(f"note: {note}")
    if scenario.skipped:
        progress(f"faults not injected for lack of time: {', '.join(scenario.skipped)}")
    finish(measurement, summary, options)
    broken = summary.broken_rules()
    for rule in broken:
        progress(f"rule broken: {rule}")
    print(orjson.dumps(summary.line()).decode(), flush=True)
    return int(bool(broken))


def finish(measurement: Measurement, summary: Summary, options: argparse.Namespace) -> None:
    """Fit the slopes and write the output files that the options specify."""
    modes = ("control",) if options.no_sweeps else ("discovery", "control")
    for mode in () if options.quick else modes:
        found, not_fitted = slopes.fit_all(measurement.points, mode)
        measurement.slopes += found
        for text in not_fitted:
            progress(f"not fitted: {text}")
    measurement.summary, measurement.not_measured = summary.figures(), summary.missing_reasons()
    measurement.load_after = measurement_file.load_average()
    measurement.budgets = [
        Budget(
            budget.name,
            budget.limit,
            budget.unit,
            budget.field,
            getattr(summary, budget.field),
            is_within_budget(budget, summary),
        )
        for budget in BUDGET_LIMITS
    ]
    if options.write:
        measurement.write(options.write)
    if options.plot:
        draw(measurement.points, options.plot)


if __name__ == "__main__":
    sys.exit(main())
