"""Computes the figures of a run, and prints them as tables."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from benchmarks.request_results import RequestResults

from .cost import RequestCost
from .faults import Faults
from .purges import GRACE_S, Purges
from .traffic import Traffic
from .world import World

RECOVERED_SHARE, RECOVERY_STEP_S, RECOVERY_WINDOW_S = 0.95, 0.05, 0.5
MUST_BE_ZERO = (
    "lost",
    "doubled",
    "stale",
    "spoilt",
    "double_effects",
    "cold_fallen",
    "drain_broken",
    "orders_missing",
    "crashed",
    "troubles_inside",
)
Counts = Counter[str]
Span = tuple[float, float]  # start and end in monotonic seconds


@dataclass(frozen=True, slots=True)
class Phases:
    """The measured phases of a run, and the end of the run in monotonic seconds."""

    before_cut: Span
    in_cut: Span
    after_cut: Span
    until: float


class Report:
    """Evaluates a run after all processes have ended.

    Args:
        world: The processes and stand-ins of the run.
        traffic: The clients' requests and their results.
        purges: The purges, whose expectations have been checked.
        faults: The faults that were injected.
        cost: Processor time and added latency of a request.
        phases: The measured phases of the run.
        exit_codes: Exit codes of the processes by name.
    """

    def __init__(
        self,
        world: World,
        traffic: Traffic,
        purges: Purges,
        faults: Faults,
        cost: RequestCost,
        phases: Phases,
        exit_codes: dict[str, int],
    ) -> None:
        self._world, self._traffic, self._purges, self._faults = world, traffic, purges, faults
        self._cost, self._phases = cost, phases
        self._results = traffic.results
        self._crashed = [name for name, code in exit_codes.items() if code not in (0, -15)]
        self._counts = {
            "gateway": self._sum_counters([region.gateways for region in world.regions.both]),
            "no journal": self._sum_counters([one.gateways for one in world.without_journal.values()]),
        }

    def _sum_counters(self, gateways: list[list[str]]) -> Counts:
        processes = self._world.processes
        return sum((processes[name].counters() for names in gateways for name in names), Counter())

    def figures(self, seed: int) -> dict[str, float]:
        """Return the figures by name; the names stay as they are so that results of older runs compare."""
        main, cost, phases = self._results["gateway"], self._cost, self._phases
        before, in_cut = phases.before_cut, phases.in_cut
        counts, orders = self._counts["gateway"], self._traffic.order_statuses
        figures: dict[str, float] = {
            "taken": len(main.records),
            "lost": main.lost,
            "doubled": main.duplicates + self._protocol_errors(),
            "stale": main.stale,
            "spoilt": main.corrupted,
            "double_effects": self._double_effects(),
            "cold_fallen": sum(cache.crashed for one in self._world.regions.both for cache in one.caches),
            "settled_share": main.served_share(before[0], phases.until),
            "settled_share_before_cut": main.served_share(*before),
            "settled_share_in_cut": main.served_share(*in_cut),
            "back_to_95_s": self._recovery_seconds(main),
            "purge_worst_ms": max(0.0, (main.worst_staleness_s + GRACE_S) * 1000),
            "resent_share": _resent_share(counts),
            "other_copy_share": _discarded_share(counts),
            "added_median_ms": cost.added_latency_ms,
            "cpu_per_carry_ratio": (cost.sender_ms + cost.receiver_ms) / cost.plain_ms,
            "cpu_near_ratio": cost.sender_ms / cost.plain_ms,
            "cpu_far_ratio": cost.receiver_ms / cost.plain_ms,
            "cpu_idle_share": cost.idle_share,
            "home_share_before_cut": main.served_share(*before, is_local=True),
            "home_share_in_cut": main.served_share(*in_cut, is_local=True),
            "drain_broken": self._faults.requests_after_drain,
            "orders": len(orders),
            "orders_missing": sum(
                status == "ok" and not self._world.regions.effects[body] for body, status in orders.items()
            ),
            "crashed": len(self._crashed),
            "troubles_inside": self._internal_errors(),
            "clock_apart_ms": self._world.clock_error_ms,
            "seed": seed,
        }
        return {name: round(value, 4) for name, value in figures.items()}

    def _protocol_errors(self) -> int:
        pools = self._world.pools.items()
        return sum(pool.protocol_errors() for name, pool in pools if "-b-" not in name and name != "reach")

    def _double_effects(self) -> int:
        effects, orders = self._world.regions.effects, self._traffic.order_statuses
        twice = sum(count > 1 for count in effects.values())
        rejected_but_run = sum(status == "full" and effects[body] > 0 for body, status in orders.items())
        return twice + rejected_but_run

    def _internal_errors(self) -> int:
        prefixes = ("exception.", "violated_invariant.")
        return sum(
            count
            for counts in self._counts.values()
            for name, count in counts.items()
            if name.startswith(prefixes)
        )

    def _recovery_seconds(self, results: RequestResults) -> float:
        """Return the seconds from the end of the cut until remote requests are served as before it.

        That is when 95 % of the share before the cut is served at the first attempt. If that does not happen,
        return the length of the whole phase.
        """
        share_before_cut = results.served_share(*self._phases.before_cut, is_local=False)
        start, end = self._phases.after_cut
        for step in range(int((end - start) / RECOVERY_STEP_S)):
            at = start + step * RECOVERY_STEP_S
            share = results.served_share(at, at + RECOVERY_WINDOW_S, is_local=False, max_attempts=1)
            if share >= RECOVERED_SHARE * share_before_cut:
                return round(step * RECOVERY_STEP_S, 3)
        return round(end - start, 3)

    def print(self, figures: dict[str, float], faults: list[str]) -> None:
        """Print the tables and the details of failures."""
        print(
            f"seed {figures['seed']}; played: cut, {', '.join(faults)}; figures from stand-ins on loopback\n"
        )
        self._print_variants()
        print(
            "\nprocessor time of a forwarded request, sender + receiver, against one of the plain front: "
            f"{figures['cpu_near_ratio']:.2f} + {figures['cpu_far_ratio']:.2f}"
            f" (which takes {self._cost.plain_ms:.3f} ms here)"
        )
        counts = self._counts["gateway"]
        statuses = {name: n for name, n in sorted(counts.items()) if name.startswith("forward.status")}
        print(f"orders: {dict(Counter(self._traffic.order_statuses.values()))}; statuses: {statuses}")
        self._print_failures(figures)

    def _print_variants(self) -> None:
        phases, results = self._phases, list(self._results.values())
        counts = [self._counts["gateway"], self._counts["no journal"], Counter()]
        until = float("inf")
        rows: list[tuple[str, list[float]]] = [
            ("requests", [len(one.records) for one in results]),
            ("served before the cut", [one.served_share(*phases.before_cut) for one in results]),
            (
                "  of the own region",
                [one.served_share(*phases.before_cut, is_local=True) for one in results],
            ),
            ("served in the cut", [one.served_share(*phases.in_cut) for one in results]),
            ("  of the own region", [one.served_share(*phases.in_cut, is_local=True) for one in results]),
            ("served after the cut", [one.served_share(*phases.after_cut) for one in results]),
            ("in time, before the cut", [one.weighted_share(*phases.before_cut) for one in results]),
            ("in time, in the cut", [one.weighted_share(*phases.in_cut) for one in results]),
            ("in time, in all", [one.weighted_share(phases.before_cut[0], until) for one in results]),
            ("served in all", [one.served_share(phases.before_cut[0], until) for one in results]),
            ("s to 95 in 100", [self._recovery_seconds(one) for one in results]),
            ("lost", [one.lost for one in results]),
            ("stale", [one.stale for one in results]),
            ("corrupted", [one.corrupted for one in results]),
            ("bytes sent again, share", [_resent_share(one) for one in counts]),
            ("bytes discarded, share", [_discarded_share(one) for one in counts]),
            ("resumed requests", [one["forward.resumed"] for one in counts]),
        ]
        print(f"{'':26}" + "".join(f"{variant:>12}" for variant in self._results))
        for name, values in rows:
            cells = (f"{value:12.3f}" if isinstance(value, float) else f"{value:12}" for value in values)
            print(f"{name:26}" + "".join(cells))

    def _print_failures(self, figures: dict[str, float]) -> None:
        for note in self._results["gateway"].notes:
            print(f"! {note}")
        for name, process in self._world.processes.items():
            for event in process.log_events():
                if event.get("event") == "exception":
                    print(f"! exception at {name}: {event}")
        if figures["stale"]:
            for purge in self._purges.expectations.purges:
                times = {target: round(at, 2) for target, at in purge.effective_at.items()}
                print(f"! purge of {purge.object_id:016x} {purge.group} at {purge.purged_at:.2f}: {times}")
            print("! cuts: " + "; ".join(f"{start:.2f} to {end:.2f}" for start, end in self._purges.cuts))
        for name in self._crashed:
            print(f"! {name} exited with an unexpected code; its log is in {self._world.folder}")


def _resent_share(counts: Counts) -> float:
    """Return the share of the reusable partial bytes that were nevertheless sent again."""
    kept = counts["forward.partial_bytes"] - counts["forward.discarded_bytes"]
    return counts["forward.resent_bytes"] / kept if kept else 0.0


def _discarded_share(counts: Counts) -> float:
    """Return the share of the partial bytes that were discarded because their version is no longer served."""
    return counts["forward.discarded_bytes"] / max(1, counts["forward.partial_bytes"])


def broken_rules(figures: dict[str, float]) -> list[str]:
    """Return the names of the figures that must be zero but are not."""
    return [name for name in MUST_BE_ZERO if figures[name]]
