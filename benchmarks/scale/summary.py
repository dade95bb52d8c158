"""The summary line of a scale run, its rules and its budgets; no I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

RULES = ("stale", "missed_purges", "falsely_confirmed", "lost", "doubled")  # figures that must be 0
NOT_RUN = "not run"
FIGURE_DIGITS = 5  # digits after the decimal point


@dataclass(slots=True)
class Summary:
    """The fields of the summary line; None where nothing was measured, for the reason in `not_measured`."""

    fronts: int = 0
    real_fronts: int = 0
    processes: int = 0
    memory_share: float = 0.0
    purges_per_s: float = 0.0
    purge_everywhere_s_p99: float | None = None
    purge_everywhere_s_worst: float | None = None
    purge_after_cut_s: float | None = None
    config_everywhere_s_worst: float | None = None
    config_refused_named: int | None = None
    control_cpu_share_front: float | None = None
    control_memory_mb_front: float | None = None
    control_bytes_per_s_front_mean: float | None = None
    control_bytes_per_s_front_worst: float | None = None
    control_machines: int = 0
    control_cpu_share_machine_worst: float | None = None
    growth_bytes_worst: float | None = None
    growth_cpu_front: float | None = None
    stale: int | None = None
    missed_purges: int | None = None
    falsely_confirmed: int | None = None
    lost: int | None = None
    doubled: int | None = None
    not_measured: dict[str, str] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)  # descriptions of failures other than RULES

    def figures(self) -> dict[str, float | None]:
        """Return all figures by name, rounded."""
        content: dict[str, float | None] = asdict(self)
        del content["not_measured"], content["failures"]
        return {
            name: round(value, FIGURE_DIGITS) if isinstance(value, float) else value
            for name, value in content.items()
        }

    def missing_reasons(self) -> dict[str, str]:
        """Return the reason for each figure that was not measured, by name."""
        missing = [name for name, value in self.figures().items() if value is None]
        return {name: self.not_measured.get(name, NOT_RUN) for name in missing}

    def line(self) -> dict[str, object]:
        """Return the content of the summary line: all figures, and the reasons for missing ones."""
        return {**self.figures(), "not_measured": self.missing_reasons()}

    def broken_rules(self) -> list[str]:
        """Return descriptions of all broken rules and other failures."""
        return [f"{name} is {getattr(self, name)}" for name in RULES if getattr(self, name)] + self.failures


@dataclass(frozen=True, slots=True)
class BudgetLimit:
    """An upper limit (inclusive) of a field of the summary."""

    name: str
    field: str
    limit: float
    unit: str


BUDGET_LIMITS = (
    BudgetLimit("purge applied by every front", "purge_everywhere_s_worst", 2.6, "s"),
    BudgetLimit("configuration in force at every front", "config_everywhere_s_worst", 5.0, "s"),
    BudgetLimit("processor time of a front for control", "control_cpu_share_front", 0.016, "core"),
    BudgetLimit("memory of a front for control", "control_memory_mb_front", 128.0, "MB"),
    BudgetLimit("bytes of a front for control, mean", "control_bytes_per_s_front_mean", 6000.0, "byte/s"),
    BudgetLimit(
        "bytes of a front for control, worst front", "control_bytes_per_s_front_worst", 6000.0, "byte/s"
    ),
    BudgetLimit("processor time of a control machine", "control_cpu_share_machine_worst", 0.5, "core"),
    BudgetLimit("bytes of the worst front, twice the fronts over once", "growth_bytes_worst", 1.2, "ratio"),
    BudgetLimit("processor time of a front, twice the fronts over once", "growth_cpu_front", 1.2, "ratio"),
    BudgetLimit("memory of the machine that the run takes", "memory_share", 0.5, "share"),
    BudgetLimit("processes of the run", "processes", 200, "count"),
)


def is_within_budget(budget: BudgetLimit, summary: Summary) -> bool | None:
    """Whether the figure is within the budget; None where nothing was measured."""
    value = getattr(summary, budget.field)
    return None if value is None else value <= budget.limit
