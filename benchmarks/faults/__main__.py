"""`python -m benchmarks.faults`: fronts that share a few cores, under each kind of fault and each pair.

The last line is one JSON object with the broken rules and request results of each run. The exit code is 1 if
a rule was broken.
"""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import json
import os
import random
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from .fault_kinds import FAULTS
from .records import BrokenRule, Request
from .run import FaultRun, RunOptions
from .shim import build_shim

MAX_PRINTED_EVIDENCE = 5  # broken rules per run whose evidence is printed
CROWD_RUN_INTERVAL = 3  # one in this many runs of a soak has the "crowd" fault


def requests_by_status(requests: dict[str, Request]) -> Counter[str]:
    """Count requests by last status; `left` means that the client did not wait, `none` that none arrived."""
    return Counter(
        "left" if one.client_left_at else one.status or "none" for one in requests.values() if one.sent_at
    )


def combinations(faults: str, quick: bool) -> list[tuple[str, ...]]:
    """Return the faults of each run: the given ones, or each kind and, unless `quick`, each pair of kinds."""
    if faults:
        named = [one.split("+") for one in faults.split(",")]
        return [() if one == ["none"] else tuple(one) for one in named]
    single = [(), *((one,) for one in FAULTS)]
    return single if quick else [*single, *itertools.combinations(FAULTS, 2)]


def run_faults(
    options: RunOptions, faults: tuple[str, ...], keep: str
) -> tuple[list[BrokenRule], dict[str, Any]]:
    """Run one fleet and print its results.

    Args:
        options: Options of the run.
        faults: Names of the kinds of faults.
        keep: Folder to which logs are copied if a rule is broken; empty for none.

    Returns:
        The broken rules and the run's entry in the JSON result.
    """
    name = "+".join(faults) or "none"
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        run = FaultRun(options, faults, folder, build_shim(folder))
        try:
            broken = run.run()
        finally:
            run.close()
        if broken and keep:
            shutil.copytree(folder, Path(keep) / name, dirs_exist_ok=True)
    rules = Counter(one.rule for one in broken)
    statuses = requests_by_status(run.records.requests)
    stall_ms = 1000 * max((length for _, length in run.records.harness_stalls), default=0.0)
    print(
        f"{name:20} {dict(rules) or 'kept'}  {dict(statuses)}  own lateness {stall_ms:.0f} ms",
        flush=True,
    )
    for one in broken[:MAX_PRINTED_EVIDENCE]:
        print(f"    {one.rule}: {one.evidence}", flush=True)
    return broken, {"broken": rules, "requests": statuses, "attempts": len(run.records.arrivals)}


def avoid_cores(cores: frozenset[int]) -> None:
    """Pin this process, with its clients and caches, to the remaining cores, if there are any."""
    all_cores = os.sched_getaffinity(0)
    os.sched_setaffinity(0, (all_cores - cores) or all_cores)


def draw_soak(options: RunOptions) -> tuple[RunOptions, tuple[str, ...]]:
    """Draw two kinds of faults and the size of shutdown groups from the seed; every third adds "crowd"."""
    random_source = random.Random(f"soak {options.seed}")
    kinds = [fault for fault in FAULTS if fault != "crowd"]
    faults = random_source.sample(kinds, 2)
    if options.seed % CROWD_RUN_INTERVAL == 0:
        faults.append("crowd")
    group_size = random_source.choice((0, 1, max(2, options.fronts // 3)))
    return dataclasses.replace(options, clients_stay=True, group_size=group_size), tuple(faults)


def soak(options: RunOptions, runs: int, faults: str, keep: str) -> int:
    """Run consecutive seeds with clients that stay until the fronts end; return the exit code.

    Args:
        options: Options of all runs; the first run uses their seed.
        runs: Number of runs.
        faults: Faults to inject, joined by "+"; empty to draw them from the seed.
        keep: Folder to which logs are copied if a rule is broken; empty for none.
    """
    failed = []
    for seed in range(options.seed, options.seed + runs):
        run_options, drawn = draw_soak(dataclasses.replace(options, seed=seed))
        named = tuple(faults.split("+")) if faults else drawn
        print(f"seed {seed}, groups of {run_options.group_size or 'all'}:", end=" ")
        broken, _ = run_faults(run_options, named, f"{keep}/{seed}" if keep else "")
        if broken:
            failed.append(seed)
            repeat_arguments = f"--seed {seed} --fronts {options.fronts} --seconds {options.seconds}"
            repeat_arguments += f" --faults {faults}" if faults else ""
            print(f'    again: make soak ARGS="{repeat_arguments}"', flush=True)
    print(json.dumps({"runs": runs, "failed": failed}))
    return 1 if failed else 0


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    defaults = RunOptions()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--fronts", type=int, default=defaults.fronts)
    parser.add_argument(
        "--cores", type=lambda text: frozenset(map(int, text.split(","))), default=defaults.cores
    )
    parser.add_argument("--caches", type=int, default=defaults.caches)
    parser.add_argument("--rate", type=float, default=defaults.rate, help="requests per second and front")
    parser.add_argument("--seconds", type=float, default=defaults.seconds, help="duration of each run")
    parser.add_argument("--faults", default="", help=f"runs, as in stops+clock,end; from {', '.join(FAULTS)}")
    parser.add_argument("--quick", action="store_true", help="run no pairs of faults")
    parser.add_argument("--soak", action="store_true", help="keep clients active until each front is killed")
    parser.add_argument("--runs", type=int, default=1, help="with --soak: runs, each with its own seed")
    parser.add_argument("--keep", default="", help="folder for the logs of runs that broke a rule")
    return parser.parse_args()


def main() -> int:
    """Run all combinations of faults; return the exit code."""
    arguments = parse_arguments()
    options = RunOptions(
        arguments.seed,
        arguments.fronts,
        arguments.cores,
        arguments.caches,
        arguments.rate,
        arguments.seconds,
    )
    avoid_cores(options.cores)
    if arguments.soak:
        return soak(options, arguments.runs, arguments.faults, arguments.keep)
    entries: dict[str, dict[str, Any]] = {}
    any_broken = False
    for faults in combinations(arguments.faults, arguments.quick):
        broken, entry = run_faults(options, faults, arguments.keep)
        entries["+".join(faults) or "none"] = entry
        any_broken = any_broken or bool(broken)
    result = {"seed": options.seed, "fronts": options.fronts, "cores": len(options.cores), "plays": entries}
    print(json.dumps(result))
    return 1 if any_broken else 0


if __name__ == "__main__":
    sys.exit(main())
