"""The phases of a scale run with a control plane: growth, faults chosen by the seed, checks in between."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

import gevent

from .checkers import Confirmation, Violations, stale_versions
from .configuring import ConfigurationProposer, ProposalError
from .deployment import Deployment, RealFrontsSample, RunSize
from .fault_runner import FaultRunner
from .faults import FaultKind, plan_faults
from .messages.common import Collect
from .messages.status import StatusReport
from .points import Point, Setting
from .population import PopulationError
from .purging import PurgeIssuer
from .summary import Summary
from .sweep import describe
from .topology import PURGE_DEADLINE_MS
from .verdict import RunRecords, evaluate
from .window import Window
from .worker import WorkerError

DEADLINE_US = PURGE_DEADLINE_MS * 1000
SHUTDOWN_RESERVE_S = 8.0  # time reserved for the checks and the shutdown after the last fault
SETTLING_TIME_S = 1.5  # between the last fault and the last check

Progress = Callable[[str], None]


class Scenario:
    """A run with a control plane.

    Attributes:
        points: The measured windows.
        confirmed: Purges that the control plane's status showed as applied everywhere.
        not_injected: Descriptions of faults that could not be injected.
        skipped: Faults for which no time was left.
        notes: Remarks that are printed after the run.
        stale: Cached versions that should have been purged.
        status: The latest status of the control plane.
    """

    def __init__(
        self,
        scale: RunSize,
        seed: int,
        quick: bool,
        progress: Progress,
        selected_faults: frozenset[FaultKind] = frozenset(),
    ) -> None:
        self.scale, self.seed, self.quick, self.progress, self.selected_faults = (
            scale,
            seed,
            quick,
            progress,
            selected_faults,
        )
        self.began = time.monotonic()
        self.deployment = Deployment(scale, seed)
        self.points: list[Point] = []
        self.confirmed: list[Confirmation] = []
        self.not_injected: list[str] = []
        self.skipped: list[str] = []
        self.notes: list[str] = []
        self.stale = Violations()
        self.status = StatusReport([], 0, 0, 0, [])

    def run(self) -> Summary:
        """Run all phases; return the summary."""
        try:
            self.build()
            for size in self.scale.front_counts[:-1]:
                self.grow(size)
                for purges in (*self.scale.other_purges_per_s, self.scale.purges_per_s):
                    self.measure(purges)
            self.grow(self.scale.final_front_count)
            before = self.deployment.sample_real_fronts()
            self.measure(self.scale.purges_per_s)
            after = self.deployment.sample_real_fronts()
            self.inject_faults()
            self.wait_for_purges()
            return self.summarize(before, after)
        finally:
            self.notes += self.deployment.close()

    def report_progress(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        self.progress(f"{self.elapsed():.0f} s: {text}")

    def elapsed(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.began

    def build(self) -> None:
        """Start all processes except lightweight fronts, and the clients of the real fronts."""
        deployment, scale = self.deployment, self.scale
        deployment.build()
        objects = deployment.begin_load()
        self.issuer = PurgeIssuer(
            self.seed, scale.directory_entries, deployment.publish, deployment.purge_at_origin, objects
        )
        self.window = Window(
            deployment.population, self.issuer, deployment.sample_nodes, DEADLINE_US, "control"
        )
        self.proposer = ConfigurationProposer(
            deployment.plane.settings_path, deployment.population, deployment.watch
        )
        self.report_progress(f"{scale.control_nodes} control nodes, {scale.real_fronts} real fronts ready")

    def grow(self, count: int) -> None:
        """Start lightweight fronts until `count` of them run."""
        self.deployment.grow(count)
        self.collect_reports()
        self.report_progress(f"{count} lightweight fronts are ready")

    def measure(self, purges: float) -> None:
        """Measure one window with the present number of fronts."""
        gevent.sleep(self.scale.catch_up_s)
        count = len(self.deployment.population.current)
        setting = Setting(count, purges, self.scale.directory_entries, self.deployment.listed_caches)
        self.points.append(self.window.measure("control", setting, self.scale.window_s))
        self.report_progress(describe(self.points[-1]))
        self.collect_reports()

    def inject_faults(self) -> None:
        """Inject the faults that the seed selects while purges continue, until no time is left."""
        deployment = self.deployment
        runner = FaultRunner(
            deployment.plane,
            deployment.population,
            deployment.discovery,
            self.issuer,
            self.proposer,
            deployment.listed_caches,
        )
        self.issuer.rate = self.scale.purges_per_s
        for fault in plan_faults(self.seed, self.quick, self.selected_faults or runner.available):
            if self.elapsed() + fault.total_seconds > self.scale.time_limit_s - SHUTDOWN_RESERVE_S:
                self.skipped.append(fault.kind.value)
                continue
            began, deployment.population.late_s = time.monotonic(), 0.0
            try:
                target = runner.inject(fault)
            except (WorkerError, PopulationError, ProposalError) as error:
                target = "not injected"
                self.not_injected.append(f"{fault.kind.value} could not be injected: {error}")
            self.collect_reports()
            late_s = deployment.population.late_s
            seconds = time.monotonic() - began
            self.report_progress(
                f"{fault.kind.value} ({target}), {seconds:.1f} s, timers late by {late_s:.2f} s"
            )
        self.issuer.rate = 0

    def wait_for_purges(self) -> None:
        """Wait until running fronts have applied all purges, or until a timeout."""
        gevent.sleep(SETTLING_TIME_S)
        waited = self.window.wait_for_purges(self.issuer.issued)
        self.collect_reports()
        self.report_progress(f"waited {SETTLING_TIME_S + waited:.1f} s for outstanding purges")

    def collect_reports(self) -> None:
        """Collect confirmations, check for stale cached versions, and update resource peaks."""
        self.status = self.deployment.watch.request(Collect(), StatusReport)
        reports, self.proposer.reports = [*self.proposer.reports, self.status], []
        for report in reports:
            self.confirmed += [
                Confirmation(purge.object, purge.group, purge.unix_ms, purge.confirmed_us)
                for purge in report.confirmed
            ]
        self._check_cached_versions()
        self.deployment.update_peaks()

    def _check_cached_versions(self) -> None:
        population = self.deployment.population
        population.collect(with_cached_versions=True)
        found = stale_versions(
            population.cached_versions,
            population.cached_at_us,
            self.issuer.issued,
            self.confirmed,
            population.incarnations,
            DEADLINE_US,
        )
        self.stale.count += found.count
        self.stale.notes += found.notes

    def summarize(self, before: RealFrontsSample, after: RealFrontsSample) -> Summary:
        """Stop the load and evaluate the run."""
        deployment = self.deployment
        real, population = deployment.finish_load(), deployment.population
        evaluation = evaluate(
            RunRecords(
                self.issuer.issued,
                population.index,
                population.incarnations,
                self.confirmed,
                self.stale,
                self.points,
                real,
                before,
                after,
                self.proposer.outcome,
            ),
            DEADLINE_US,
        )
        summary = evaluation.summary
        summary.fronts, summary.real_fronts = self.scale.final_front_count, self.scale.real_fronts
        summary.processes, summary.purges_per_s = deployment.peak_processes, self.scale.purges_per_s
        summary.memory_share = deployment.peak_memory_bytes / _machine_memory()
        summary.control_machines = self.scale.control_nodes
        summary.failures += self.not_injected
        self.notes += evaluation.notes
        self._report_totals([(report.request_count, report.served_share) for report in real])
        return summary

    def _report_totals(self, served: list[tuple[int, float]]) -> None:
        if counted := self.deployment.population.error_counts():
            self.notes.append(f"lightweight fronts counted {dict(counted)}")
        for requests, share in served:
            self.report_progress(f"real fronts: {requests} requests, {share:.3f} served")
        self.report_progress(
            f"{len(self.issuer.issued)} purges, {len(self.confirmed)} confirmed as applied everywhere; "
            f"{self.status.connected} fronts connected, {self.status.absent} absent"
        )


def _machine_memory() -> int:
    """Return the bytes of memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
