"""Evaluates a scale run: fills in the summary from the results of checkers and measurements; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .checkers import (
    AppliedIndex,
    Confirmation,
    FrontIncarnation,
    IssuedPurge,
    Violations,
    false_confirmations,
    missed_purges,
    purge_latencies_s,
    seconds_after_heal,
)
from .configuring import ConfigurationOutcome
from .deployment import RealFrontsSample
from .latency import summarize
from .messages.real_fronts import RealFrontsReport, RealFrontsUsage
from .points import Point
from .summary import Summary

MEGABYTE = 1e6
NOTES_PER_CHECKER = 5  # notes of each checker that are printed


@dataclass(slots=True)
class RunRecords:
    """The records of a run that is evaluated.

    Attributes:
        issued: Every purge.
        index: Times at which fronts applied purges, by their own records.
        incarnations: Every incarnation of every lightweight front.
        confirmed: Purges that the control plane showed as applied everywhere.
        stale: Cached versions that should have been purged.
        points: The measured windows; the last two are at half and at all fronts.
        real: Reports on the real fronts, with control and without.
        before, after: Counters of the real fronts around the last window.
        configuration: Results of the configuration versions.
    """

    issued: list[IssuedPurge]
    index: AppliedIndex
    incarnations: list[FrontIncarnation]
    confirmed: list[Confirmation]
    stale: Violations
    points: list[Point]
    real: list[RealFrontsReport]
    before: RealFrontsSample
    after: RealFrontsSample
    configuration: ConfigurationOutcome


@dataclass(slots=True)
class Evaluation:
    """The summary of a run, and notes that are printed after it."""

    summary: Summary
    notes: list[str] = field(default_factory=list)


def evaluate(records: RunRecords, deadline_us: int) -> Evaluation:
    """Run the checkers on the records of a run and fill in the summary."""
    evaluation = Evaluation(Summary())
    _count_violations(records, evaluation)
    _fill_purge_times(records, evaluation.summary, deadline_us)
    _fill_costs(records, evaluation)
    _fill_configuration(records.configuration, evaluation)
    return evaluation


def _count_violations(records: RunRecords, evaluation: Evaluation) -> None:
    missed = missed_purges(records.issued, records.index, records.incarnations)
    false = false_confirmations(records.confirmed, records.index, records.incarnations)
    summary = evaluation.summary
    summary.stale = records.stale.count + sum(report.stale for report in records.real)
    summary.missed_purges, summary.falsely_confirmed = missed.count, false.count
    summary.lost = sum(report.lost for report in records.real)
    summary.doubled = sum(report.duplicates for report in records.real)
    for notes in (missed.notes, false.notes, records.stale.notes, *(one.notes for one in records.real)):
        evaluation.notes += notes[:NOTES_PER_CHECKER]


def _fill_purge_times(records: RunRecords, summary: Summary, deadline_us: int) -> None:
    times = purge_latencies_s(records.issued, records.index, records.incarnations, deadline_us)
    latency = summarize(times.values())
    summary.purge_everywhere_s_p99, summary.purge_everywhere_s_worst = latency.p99, latency.worst
    summary.purge_after_cut_s = seconds_after_heal(records.issued, records.index, records.incarnations)


def _fill_costs(records: RunRecords, evaluation: Evaluation) -> None:
    summary, (half, full) = evaluation.summary, records.points[-2:]
    summary.control_bytes_per_s_front_mean = full.front_bytes_in_per_s + full.front_bytes_out_per_s
    summary.control_bytes_per_s_front_worst = full.front_bytes_per_s_worst
    summary.control_cpu_share_machine_worst = max(point.server_cpu for point in records.points)
    summary.growth_bytes_worst = _ratio(full.front_bytes_per_s_worst, half.front_bytes_per_s_worst)
    summary.growth_cpu_front = _ratio(full.front_cpu, half.front_cpu)
    before, after = records.before, records.after
    controlled = _cpu_shares(before.controlled, after.controlled, after.at - before.at)
    reference = _cpu_shares(before.reference, after.reference, after.at - before.at)
    summary.control_cpu_share_front = _mean(controlled) - _mean(reference)
    reference_memory = _mean(after.reference.memory_bytes)
    summary.control_memory_mb_front = (max(after.controlled.memory_bytes) - reference_memory) / MEGABYTE
    evaluation.notes.append(
        f"processor time of real fronts in cores: {[round(one, 4) for one in controlled]} with control, "
        f"{[round(one, 4) for one in reference]} without"
    )


def _fill_configuration(outcome: ConfigurationOutcome, evaluation: Evaluation) -> None:
    if outcome.in_force_seconds:
        evaluation.summary.config_everywhere_s_worst = max(outcome.in_force_seconds)
        evaluation.summary.config_refused_named = len(outcome.reported_rejecting)
        evaluation.notes.append(
            f"configuration versions in force after {[round(one, 2) for one in outcome.in_force_seconds]} s, "
            f"commands ended after {[round(one, 2) for one in outcome.command_seconds]} s"
        )
    evaluation.summary.failures += outcome.failures


def _ratio(over: float, under: float) -> float | None:
    return over / under if under else None


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _cpu_shares(before: RealFrontsUsage, after: RealFrontsUsage, seconds: float) -> list[float]:
    """Return the processor time of each real front as a share of a core."""
    return [(last - first) / seconds for first, last in zip(before.cpu_s, after.cpu_s, strict=True)]
