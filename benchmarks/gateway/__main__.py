"""Entry point of `python -m benchmarks.gateway`.

The last line of its output is one JSON object. Exit code 1 means that a figure that must be zero is not.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys

import gevent

from benchmarks.processes import now

from .cost import CostMeasurement
from .faults import Faults
from .purges import Purges
from .report import Phases, Report, broken_rules
from .traffic import Traffic, object_of
from .world import Draws, World

QUICK_FAULTS, FAULTS = 4, 24
QUICK_COST_REQUESTS, COST_REQUESTS = 1600, 6000


class GatewayBenchmark:
    """One run: the cost of requests, one long cut between the regions, random faults, and the report."""

    def __init__(self, seed: int, quick: bool) -> None:
        self._seed, self._quick = seed, quick
        self._draws = Draws(seed)
        self.world = World(seed, self._draws)
        self._traffic = Traffic(seed, self.world)
        self._purges = Purges(self.world)
        self._faults = Faults(self.world, self._traffic, self._purges, self._draws)

    def run(self) -> dict[str, float]:
        """Run all phases; print the tables and return the figures."""
        quick = self._quick
        self.world.wait_until_ready()
        cost = CostMeasurement(self.world).run(QUICK_COST_REQUESTS if quick else COST_REQUESTS)
        self._faults.set_normal_link_conditions()
        self._traffic.start()
        gevent.sleep(1.5)
        before_cut = self._measure_before_cut()
        in_cut = self._cut_regions()
        after_cut = self._recover_under_load()
        injected_faults = []
        for _ in range(QUICK_FAULTS if quick else FAULTS):
            injected_faults.append(self._faults.inject(self._draws.choose(self._faults.names)))
            gevent.sleep(1.0 if quick else 1.5)
            self._purges.set_remote_deadlines()
        gevent.sleep(1.0)
        self._traffic.finish()
        gevent.sleep(0.3)
        self._purges.set_remote_deadlines()
        phases = Phases(before_cut, in_cut, after_cut, now())
        exit_codes = self._stop_processes()
        for results in self._traffic.results.values():
            self._purges.expectations.check(results)
        report = Report(self.world, self._traffic, self._purges, self._faults, cost, phases, exit_codes)
        figures = report.figures(self._seed)
        report.print(figures, injected_faults)
        return figures

    def _measure_before_cut(self) -> tuple[float, float]:
        began = now()
        gevent.sleep(2.0 if self._quick else 6.0)
        return began, now()

    def _cut_regions(self) -> tuple[float, float]:
        self._faults.cut(self._draws.choose(("reset", "silent")))
        gevent.sleep(0.7)
        self._purges.publish(self.world.west, object_of(True, 0))
        self._purges.publish(self.world.west, 0, int(self._draws.draw() * 0x20))
        gevent.sleep(0.8 if self._quick else 3.0)
        return self._purges.cuts[-1][0], now()

    def _recover_under_load(self) -> tuple[float, float]:
        """End the cut, with twice the load for the first second; return start and end of this phase."""
        self._faults.heal()
        healed_at = now()
        self._traffic.set_rate_factor(2.0)
        gevent.sleep(1.0)
        self._traffic.set_rate_factor(1.0)
        gevent.sleep(1.0)
        return healed_at, now()

    def _stop_processes(self) -> dict[str, int]:
        """Make all processes log their counters, then stop them; return their exit codes by name."""
        for process in self.world.processes.values():
            if process.is_running():
                process.signal(signal.SIGUSR1)
        gevent.sleep(0.2)
        return {name: process.stop() for name, process in self.world.processes.items()}


def main() -> int:
    """Run the benchmark from the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.gateway", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of all random choices (default 1)")
    parser.add_argument("--quick", action="store_true", help="a shorter run, which ends within 45 s")
    parser.add_argument("--keep", action="store_true", help="keep the log directory and print its path")
    arguments = parser.parse_args()
    benchmark = GatewayBenchmark(arguments.seed, arguments.quick)
    try:
        figures = benchmark.run()
    finally:
        benchmark.world.close(arguments.keep)
        if arguments.keep:
            print(f"logs: {benchmark.world.folder}")
    broken = broken_rules(figures)
    if broken:
        print(f"broken: {', '.join(broken)}")
    print(json.dumps(figures))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
