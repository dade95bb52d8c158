"""Tables of the capacity page on the operators' budgets, before and with the control plane."""

from __future__ import annotations

import math

from . import budgets, operators
from .budgets import Budget
from .markdown import VERDICTS, table
from .number_format import number_text, with_unit
from .records import CapacityRecord
from .scale_record import ScaleBudget, ScaleRecord
from .totals import Term, total

NOT_RECORDED = "The scale run with the control plane has not been recorded yet."
RULE_FIELDS = ("stale", "missed_purges", "falsely_confirmed", "lost", "doubled")
"""Fields of the scale run's last line that count violations of rules."""
RUN_SIZE_FIELDS = ("fronts", "real_fronts", "processes", "purges_per_s", "control_machines")
MAX_FRONTS = 100_000  # largest fleet for which the page checks whether a budget is kept


def most_exceeded(recorded: CapacityRecord, _scale: ScaleRecord | None) -> list[str]:
    """Return text on the most exceeded budget before the control plane and those without a mechanism."""
    found = budgets.budgets_without_control_plane(recorded)
    pairs = zip(found, budgets.budgets_without_control_plane(recorded, operators.DOUBLED_FRONTS), strict=True)
    worst, doubled = max(
        (pair for pair in pairs if pair[0].value is not None), key=lambda pair: pair[0].ratio
    )
    missing = " and ".join(one.name for one in found if one.value is None)
    return [
        f"Before the control plane the budget that is exceeded by most is that on {worst.name}: "
        f"{_figure(worst)}",
        f"at {operators.FRONTS} fronts against {with_unit(worst.limit, worst.unit)}, "
        f"{number_text(worst.ratio)} times as much; "
        f"by the slopes it is exceeded from {least_fronts_over_limit(worst, doubled):,} fronts on.",
        f"There is no mechanism at all for: {missing}.",
    ]


def least_fronts_over_limit(expected: Budget, doubled: Budget) -> int | None:
    """Return the least number of fronts that exceeds a budget, by the line through its figures at two sizes.

    Args:
        expected: The budget with as many fronts as the operators expect.
        doubled: The same budget with twice as many fronts.

    Returns:
        The number of fronts, or None if the budget is kept with any number of fronts up to `MAX_FRONTS`.
    """
    if expected.value is None or doubled.value is None:
        return 1
    each = (doubled.value - expected.value) / (operators.DOUBLED_FRONTS - operators.FRONTS)
    fixed = expected.value - each * operators.FRONTS
    if fixed + each > expected.limit:
        return 1
    least_fronts = math.floor((expected.limit - fixed) / each) + 1 if each > 0 else MAX_FRONTS + 1
    return least_fronts if least_fronts <= MAX_FRONTS else None


def without_control_plane(recorded: CapacityRecord, _scale: ScaleRecord | None) -> list[str]:
    """Return the table of budgets before the control plane, at the expected fronts and twice as many."""
    pairs = zip(
        budgets.budgets_without_control_plane(recorded),
        budgets.budgets_without_control_plane(recorded, operators.DOUBLED_FRONTS),
        strict=True,
    )
    expected, doubled = f"at {operators.FRONTS} fronts", f"at {operators.DOUBLED_FRONTS:,} fronts"
    return table(
        ("budget", "limit", expected, "", doubled, "", "not kept from", "how known"),
        (_budget_row(*pair) for pair in pairs),
    )


def _budget_row(expected: Budget, doubled: Budget) -> tuple[str, ...]:
    least_fronts = least_fronts_over_limit(expected, doubled)
    return (
        expected.name,
        with_unit(expected.limit, expected.unit),
        _figure(expected),
        VERDICTS[expected.is_within_limit],
        _figure(doubled),
        VERDICTS[doubled.is_within_limit],
        "any number of fronts" if least_fronts == 1 else f"{least_fronts:,} fronts" if least_fronts else "",
        expected.basis + _later_figure(expected),
    )


def _later_figure(budget: Budget) -> str:
    """Return text on the figure with a later mechanism; empty if none was recorded."""
    if budget.later_value is None:
        return ""
    figure, verdict = with_unit(budget.later_value, budget.unit), VERDICTS[budget.later_value <= budget.limit]
    return f"; with {budget.later_mechanism} {figure} at {operators.FRONTS} fronts, {verdict}"


def _figure(budget: Budget) -> str:
    return "none" if budget.value is None else with_unit(budget.value, budget.unit)


def with_control_plane(_recorded: CapacityRecord, scale: ScaleRecord | None) -> list[str]:
    """Return the table of the budgets in the recorded scale run, which has the control plane."""
    if scale is None or not scale.budgets:
        return [NOT_RECORDED]
    run_sizes = ", ".join(f"{scale.summary.get(name)} {name.replace('_', ' ')}" for name in RUN_SIZE_FIELDS)
    body = [
        (
            one.name,
            f"{number_text(one.limit)} {one.unit}",
            _scale_figure(one),
            VERDICTS[is_within_limit(one)],
            f"`{one.summary_field}`",
        )
        for one in scale.budgets
    ]
    body += [
        (f"rule: {name}", "0", str(value), VERDICTS[is_kept], f"`{name}`")
        for name, value, is_kept in rule_violations(scale)
    ]
    return [
        f"The run had {run_sizes}; seed {scale.seed}.",
        f"The load of the machine was {scale.load_before} before and {scale.load_after} after; timers of the "
        f"run's own processes came up to {with_unit(_worst_timer_delay_s(scale), 's')} late.",
        "",
        *table(("budget", "limit", "measured", "", "field of the run's last line"), body),
    ]


def _worst_timer_delay_s(scale: ScaleRecord) -> float:
    """Return the longest delay (s) of a timer that the machine or the benchmark itself caused."""
    return max((point.get("host_late_s_worst", 0.0) for point in scale.points), default=0.0)


def rule_violations(scale: ScaleRecord) -> list[tuple[str, object, bool | None]]:
    """Return the name of each rule, its count of violations and whether it was kept; None: not checked."""
    found = [(name, scale.summary.get(name)) for name in RULE_FIELDS]
    return [(name, value, None if value is None else value == 0) for name, value in found]


def is_within_limit(budget: ScaleBudget) -> bool | None:
    """Return whether the figure of the run is within the limit, or None if there is no figure."""
    return None if budget.measured is None else budget.measured <= budget.limit


def _scale_figure(budget: ScaleBudget) -> str:
    return "none" if budget.measured is None else f"{number_text(budget.measured)} {budget.unit}"


def unmet(recorded: CapacityRecord, scale: ScaleRecord | None) -> list[str]:
    """Return a list item for each budget and rule that is not shown to be kept with the control plane."""
    found = [
        f"- {budget.name}: {_figure(budget)} against {with_unit(budget.limit, budget.unit)}, as before"
        for budget in budgets.budgets_without_control_plane(recorded)
        if not budget.is_within_limit and not _is_superseded(budget, scale)
    ]
    if scale:
        found += _unmet_with_control_plane(scale)
    return found or ["- none of those that were measured"]


def _unmet_with_control_plane(scale: ScaleRecord) -> list[str]:
    found = []
    for budget in scale.budgets:
        if not is_within_limit(budget):
            why = scale.not_measured.get(budget.summary_field, "")
            found.append(
                f"- {budget.name}: {_scale_figure(budget)} against {number_text(budget.limit)} {budget.unit} "
                "with the control plane" + (f" ({why})" if why else "")
            )
    for name, value, is_kept in rule_violations(scale) if scale.budgets else ():
        if not is_kept:
            found.append(f"- rule: {name}: {value} against 0 with the control plane")
    return found


def _is_superseded(budget: Budget, scale: ScaleRecord | None) -> bool:
    """Return whether a later figure replaces this one: by a later mechanism, or of the scale run."""
    if budget.later_value is not None:
        return budget.later_value <= budget.limit
    fields = {one.summary_field for one in scale.budgets if one.measured is not None} if scale else set()
    return budget.scale_summary_field in fields


def purge_cost(recorded: CapacityRecord, _scale: ScaleRecord | None) -> list[str]:
    """Return the table of the time of one purge in each kind of state, by a scan and by the index."""
    body = []
    for what in budgets.PURGED_STATE:
        figures = []
        for way in ("scan", "index"):
            name = f"purge by {way} of {what}"
            found = name in {slope.name for slope in recorded.slopes}
            figures.append(
                with_unit(total(recorded, [Term(name)], operators.FRONTS), "s") if found else "not recorded"
            )
        body.append((what, _size(recorded, what), *figures))
    return table(("looked up in", "how many", "one purge by a scan", "by an index"), body)


def _size(recorded: CapacityRecord, what: str) -> str:
    (variable,) = recorded.slope(f"purge by scan of {what}").per
    return f"{operators.slope_variables(operators.FRONTS)[variable]:,}"
