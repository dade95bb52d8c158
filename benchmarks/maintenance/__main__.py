"""`python -m benchmarks.maintenance`: prints figures, the last line as one JSON object.

The exit code is 1 if a rule was broken, a machine was left undone, or the lock never had two fronts out.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from typing import NamedTuple

from marbleglade.maintenance.plan import ConcurrencyLimit, Kind, front_name

from .baselines import LockSimulation, planned_seconds
from .fleet_run import CACHES, FRONTS, MAX_OUT, FleetMaintenance
from .simulation import NS_PER_S, MaintenanceSimulation

LOSS_RATE, CUT_BEGIN, CUT_END = 0.05, 10 * NS_PER_S, 14 * NS_PER_S
MAX_DURATION = 900 * NS_PER_S
TAKES_MS, WARM_UP_MS = 2500, 2000
LOCK_FRONTS = 9
RULES = (
    "lost",
    "doubled",
    "double_effects",
    "cold_fallen",
    "stale",
    "sent_to_resting",
    "split_grants",
    "floor_broken",
)


@dataclass(frozen=True, slots=True)
class SimulatedResult:
    """Result of one simulated plan for all machines.

    Attributes:
        machines: Number of machines.
        done: Number of machines whose maintenance is complete.
        worst_out: Highest number of machines out of service at once.
        max_out: Allowed number of machines out of service at once.
        seconds: Simulated duration in seconds.
        bytes_per_machine: Bytes of maintenance datagrams per machine.
    """

    machines: int
    done: int
    worst_out: int
    max_out: int
    seconds: float
    bytes_per_machine: float


class Durations(NamedTuple):
    """Fault-free durations of a plan for all machines in seconds: with limits, and one machine at a time."""

    planned: float
    one_by_one: float


def limits_of(at_once: int) -> tuple[ConcurrencyLimit, ...]:
    """Return limits that allow `at_once` fronts and as many caches to be out of service at once."""
    return ConcurrencyLimit(at_once, Kind.FRONT), ConcurrencyLimit(at_once, Kind.CACHE)


def simulate(seed: int, fronts: int, caches: int, at_once: int) -> SimulatedResult:
    """Simulate a plan for all machines, with datagram losses and a network partition."""
    simulation = MaintenanceSimulation(fronts, caches, seed)
    network = simulation.network
    network.loss_rate = LOSS_RATE
    simulation.run(8)
    names = [*map(front_name, range(fronts)), *simulation.caches]
    plan = simulation.submit_plan(names, limits_of(at_once), seed % fronts)
    began, count = simulation.now, fronts + caches
    simulation.maintenance_bytes = 0

    def is_cut(sender: int, receiver: int) -> bool:
        return CUT_BEGIN < simulation.now - began < CUT_END and (sender % 3 == 0) != (receiver % 3 == 0)

    network.is_cut = is_cut
    while simulation.done_count(plan) < count and simulation.now - began < MAX_DURATION:
        simulation.run(1)
    return SimulatedResult(
        count,
        simulation.done_count(plan),
        simulation.worst_out,
        2 * at_once,
        (simulation.now - began) / NS_PER_S,
        simulation.maintenance_bytes / count,
    )


def print_results(simulated: SimulatedResult, seconds: Durations, lock_worst_out: int) -> None:
    """Print the results of the simulation and of the baselines."""
    print(
        f"simulated: {simulated.done} of {simulated.machines} machines in {simulated.seconds:.0f} s with "
        f"losses and a cut, planned {seconds.planned:.0f} s, one by one {seconds.one_by_one:.0f} s; at most "
        f"{simulated.worst_out} out, {simulated.max_out} allowed; "
        f"{simulated.bytes_per_machine:.0f} B of datagrams a machine"
    )
    print(f"a lock without leases or majority, cut in two: {lock_worst_out} out at once, 1 allowed")


def print_run(run: FleetMaintenance) -> None:
    """Print the results of the run with real processes."""
    print(
        f"processes: {run.done_count} of {FRONTS + CACHES} in {run.total_seconds:.1f} s, served "
        f"{run.share:.3f} ({run.share_before:.3f} before), {dict(run.rules())}",
        run.load.results.notes[:2],
        run.faults[:2],
    )


def main() -> int:
    """Run the benchmark; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.maintenance", description=__doc__)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--quick", action="store_true", help="smaller run that ends within 45 s")
    arguments = parser.parse_args()
    fronts, at_once = (30, 4) if arguments.quick else (200, 10)
    simulated = simulate(arguments.seed, fronts, fronts, at_once)
    seconds = Durations(
        *(
            planned_seconds(fronts, fronts, TAKES_MS, WARM_UP_MS, limits)
            for limits in (limits_of(at_once), (ConcurrencyLimit(1),))
        )
    )
    lock_worst_out = LockSimulation(arguments.seed, LOCK_FRONTS).worst_out()
    print_results(simulated, seconds, lock_worst_out)
    run = FleetMaintenance(arguments.seed, 26 if arguments.quick else 90).run()
    print_run(run)
    rules = run.rules()
    rules["split_grants"] += max(0, simulated.worst_out - simulated.max_out)
    figures = {
        "machines": simulated.machines,
        "done": simulated.done,
        **{name: rules[name] for name in RULES},
        "out_at_once_worst": run.workers.worst_out,
        "out_allowed": MAX_OUT,
        **run.figures(),
        "total_s": simulated.seconds,
        "total_s_one_by_one": seconds.one_by_one,
        "bytes_per_machine": simulated.bytes_per_machine,
        "lock_out_at_once": lock_worst_out,
        "processes_done": run.done_count,
    }
    print(json.dumps({name: round(value, 4) for name, value in figures.items()}))
    is_complete = simulated.done == simulated.machines and run.done_count == FRONTS + CACHES
    is_broken = any(rules[name] for name in RULES) or rules["wrong"] > 0
    return int(is_broken or not is_complete or lock_worst_out < 2)


if __name__ == "__main__":
    sys.exit(main())
