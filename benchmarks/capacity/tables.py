"""The tables of the capacity page, each a list of lines made from the recorded files alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from . import budgets, operators
from .budgets import Budget
from .failures import failures
from .front_machine import need
from .numbers_shown import digits, line, shown
from .records import Measurement, Slope
from .scale_record import ScaleRecord
from .totals import Term, total

NOT_RECORDED = "The scale run has not been recorded yet."
SIZE_OF = {"front": "fronts", "cache": "caches", "directory_entry": "directory_entries"}
CONDITIONS = ("streams", "purges", "list", "view", "fleet", "takeover", "maintenance", "front", "gateway")

Table = Callable[[Measurement, ScaleRecord | None], list[str]]


def rows(head: Iterable[str], body: Iterable[Iterable[str]]) -> list[str]:
    """A table in Markdown."""
    head = list(head)
    return [_row(head), _row("---" for _ in head), *map(_row, body)]


def _row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def verdict(kept: bool | None) -> str:
    """The word for a budget."""
    return {True: "kept", False: "**not kept**", None: "not measured"}[kept]


def first(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """Which budget breaks first before the control plane, and by how much."""
    with_figure = [one for one in budgets.before(recorded) if one.value is not None]
    worst = max(with_figure, key=lambda one: one.ratio)
    missing = [one.name for one in budgets.before(recorded) if one.value is None]
    return [
        f"Before the control plane the budget that breaks by most is the {worst.name}: "
        f"{shown(worst.value, worst.unit)} at {operators.FRONTS} fronts against "
        f"{shown(worst.limit, worst.unit)}, {digits(worst.ratio)} times as much. By the slopes it breaks at "
        f"{breaks_at(recorded, worst.name)} fronts. There is no mechanism at all for: {', '.join(missing)}.",
    ]


def breaks_at(recorded: Measurement, name: str) -> int:
    """The least number of fronts at which that budget is not kept any more."""
    low, high = 1, operators.TWICE * 100
    while low < high:
        middle = (low + high) // 2
        kept = next(one for one in budgets.before(recorded, middle) if one.name == name).kept
        low, high = (middle + 1, high) if kept else (low, middle)
    return low


def before(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """Each budget on main before the control plane, at the operators' fronts and at twice as many."""
    pairs = zip(budgets.before(recorded), budgets.before(recorded, operators.TWICE), strict=True)
    return rows(
        ("budget", "limit", f"at {operators.FRONTS} fronts", "", f"at {operators.TWICE:,}", "", "how known"),
        (
            (
                one.name,
                shown(one.limit, one.unit),
                _figure(one),
                verdict(one.kept),
                _figure(twice),
                verdict(twice.kept),
                one.origin,
            )
            for one, twice in pairs
        ),
    )


def _figure(budget: Budget) -> str:
    return "none" if budget.value is None else shown(budget.value, budget.unit)


def with_control(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """Each budget in the recorded scale run, with the control plane."""
    if scale is None:
        return [NOT_RECORDED]
    return rows(
        ("budget", "limit", "measured", "", "field of the run's last line"),
        (
            (
                one.name,
                f"{digits(one.limit)} {one.unit}",
                "not measured" if one.measured is None else f"{digits(one.measured)} {one.unit}",
                verdict(one.kept),
                f"`{one.summary_field}`",
            )
            for one in scale.budgets
        ),
    )


def still(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """What is not kept on the tree with the control plane, as far as it was recorded."""
    found = []
    for budget in budgets.before(recorded):
        if not budget.kept and not _mended(budget, scale):
            found.append(f"- {budget.name}: {_figure(budget)}, limit {shown(budget.limit, budget.unit)}")
    for one in scale.budgets if scale else ():
        if one.kept is not True:
            value = "not measured" if one.measured is None else f"{digits(one.measured)} {one.unit}"
            why = scale.not_measured.get(one.summary_field, "")
            found.append(
                f"- {one.name} with the control plane: {value}, limit {digits(one.limit)} {one.unit}"
                + (f" ({why})" if why else "")
            )
    return found or ["- nothing that was recorded"]


def _mended(budget: Budget, scale: ScaleRecord | None) -> bool:
    """Whether the scale run shows, with the control plane, that this budget is kept."""
    value = scale.summary.get(budget.mended_by) if scale and budget.mended_by else None
    return value is not None and value <= budget.limit


def totals(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """Each role as a whole, before the control plane, at the operators' fronts and at twice as many."""
    body = []
    for role, quantity, unit, terms in ROLES:
        figures = [total(recorded, terms, fronts) for fronts in (operators.FRONTS, operators.TWICE)]
        formula = " + ".join(map(str, terms))
        body.append((role, quantity, *(shown(one, unit) for one in figures), formula))
    return rows(
        ("role", "quantity", f"at {operators.FRONTS} fronts", f"at {operators.TWICE:,}", "sum of"), body
    )


ROLES: tuple[tuple[str, str, str, tuple[Term, ...]], ...] = (
    ("front", "control bytes received", "B/s", (Term("watch"), Term("hints"), budgets.AGENT_BYTES[1])),
    ("front", "control bytes sent", "B/s", (Term("hints"), budgets.AGENT_BYTES[0])),
    ("front", "fleet datagrams sent", "1/s", (Term("fleet loaded front datagrams sent"),)),
    (
        "front",
        "control processor time",
        "core",
        (*budgets.AGENT_CPU, *budgets.PURGES, *budgets.CHANGES),
    ),
    ("front", "member table", "B", budgets.AGENT_MEMORY),
    ("front", "memory with a full directory", "B", (Term("memory by directory"),)),
    ("front", "memory with 170 MB of own copies", "B", (Term("memory by copies"),)),
    ("front", "descriptors with 128 clients busy", "1", (Term("descriptors"),)),
    ("discovery service", "bytes sent, all fronts watching it", "B/s", (Term("watch", each_front=True),)),
    ("view aggregator", "bytes sent", "B/s", budgets.AGGREGATOR_BYTES[:1]),
    ("view aggregator", "bytes received", "B/s", budgets.AGGREGATOR_BYTES[1:]),
    ("view aggregator", "datagrams sent", "1/s", (Term("fleet loaded view aggregator datagrams sent"),)),
    ("view aggregator", "processor time", "core", budgets.AGGREGATOR_CPU),
    ("maintenance leader", "bytes sent", "B/s", budgets.LEADER_BYTES[:1]),
    ("maintenance leader", "bytes received", "B/s", budgets.LEADER_BYTES[1:]),
    (
        "maintenance leader",
        "datagrams sent",
        "1/s",
        (Term("maintenance maintenance leader datagrams sent"),),
    ),
)


def slopes(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """Every fitted line, with its error and the range in which it was measured."""
    found = [(slope, f"`{slope.command}`") for slope in recorded.slopes]
    found += [(slope, f"scale run, {slope.mode}") for slope in (scale.slopes if scale else ())]
    return rows(
        ("role", "name", "quantity", "line", "residual error", "measured from to", "command"),
        (
            (
                slope.role.replace("_", " "),
                slope.name,
                slope.quantity,
                line(slope.intercept, slope.per, _unit(slope)),
                shown(slope.error, _unit(slope)),
                measured_range(slope),
                command,
            )
            for slope, command in found
        ),
    )


def _unit(slope: Slope) -> str:
    """The unit in the short form."""
    return slope.unit.replace("byte", "B")


def measured_range(slope: Slope) -> str:
    """The sizes of a slope's points."""
    return ", ".join(
        f"{digits(least)} to {digits(most)} {size.replace('_', ' ')}"
        if least != most
        else f"{digits(least)} {size.replace('_', ' ')}"
        for size, (least, most) in slope.range.items()
    )


def front_machine(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """What the operators' peak asks of a front machine, by the size of parts."""
    return rows(
        (
            "parts of",
            "parts a request",
            "requests of parts a second and front",
            "sent a second and front",
            "requests a core",
            "bytes a core",
            "cores wholly busy",
            "processes at 60% of a core",
            "link each way",
        ),
        (
            (
                shown(one.part_bytes, "B"),
                digits(one.parts),
                digits(one.requests_per_s),
                shown(one.bytes_per_s, "B"),
                digits(recorded.value("requests a core", object_bytes=one.part_bytes)),
                shown(recorded.value("bytes a core", object_bytes=one.part_bytes), "B/s"),
                digits(one.cores),
                digits(one.processes),
                f"{one.link} Gbit/s",
            )
            for one in (need(recorded, size) for size in (operators.LARGEST_PART, 20_000, 2_000))
        ),
    )


def failure_table(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """The operators' events."""
    return rows(
        ("event", "lost", "carried by", "service is back", "control is back", "how known"),
        (
            (one.event, one.lost, one.mechanism, one.service, one.control, one.basis)
            for one in failures(recorded, scale)
        ),
    )


def runs(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """When and where each measurement was made, and how busy the machine was."""
    body = []
    for name in CONDITIONS:
        told = recorded.conditions.get(name)
        if told:
            body.append((name, told["taken"], told["commit"], told["machine"], _busy(told)))
    if scale:
        told = {"busy": scale.busy, "load_before": scale.load_before, "load_after": scale.load_after}
        body.append(("scale run", scale.taken, scale.commit, scale.machine, _busy(told)))
    return rows(("measurement", "taken", "commit", "machine", "other work on the machine"), body)


def _busy(told: dict) -> str:
    word = "**busy**" if told["busy"] else "quiet"
    return f"{word}, load {told['load_before']} before, {told['load_after']} after"


def gateway(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """The gateway's points by open requests."""
    found = [point for point in recorded.points if point.role == "gateway"]
    names = dict.fromkeys(point.name for point in found)
    sizes = sorted({point.at["open_requests"] for point in found})
    return rows(
        ("quantity", *(f"{digits(size)} open" for size in sizes)),
        (
            (
                name,
                *(
                    shown(point.value, point.unit)
                    for size in sizes
                    for point in found
                    if point.name == name and point.at["open_requests"] == size
                ),
            )
            for name in names
        ),
    )


TABLES: dict[str, Table] = {
    "first": first,
    "before": before,
    "with-control": with_control,
    "still": still,
    "totals": totals,
    "front-machine": front_machine,
    "failures": failure_table,
    "gateway": gateway,
    "slopes": slopes,
    "runs": runs,
}
"""By the names that stand in the page's marks."""
