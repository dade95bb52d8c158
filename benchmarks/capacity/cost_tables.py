"""Tables of the capacity page on the cost of roles, the slopes it is computed from, and the runs."""

from __future__ import annotations

from . import budgets, operators
from .front_machine import cache_load, machine_need
from .markdown import table
from .number_format import formula, number_text, with_unit
from .records import CapacityRecord, Conditions, Slope
from .scale_record import ScaleRecord
from .totals import Term, total

SCALE_COMMAND = "python -m benchmarks.scale"
PART_SIZES = (operators.LARGEST_PART_BYTES, 20_000, 2_000)  # bytes

CONTROL_MEMORY = (Term("control log memory"), Term("control confirmation memory"))

ROLES: tuple[tuple[str, str, str, tuple[Term, ...]], ...] = (
    ("front", "control bytes received", "B/s", (Term("watch"), Term("hints"), budgets.AGENT_BYTES[1])),
    ("front", "control bytes sent", "B/s", (Term("hints"), budgets.AGENT_BYTES[0])),
    ("front", "fleet datagrams sent", "1/s", (Term("fleet loaded front datagrams sent"),)),
    (
        "front",
        "bytes with two control nodes watched, both ways",
        "B/s",
        (Term("control bytes to a front", 2), Term("control bytes from a front", 2)),
    ),
    (
        "front",
        "control processor time",
        "core",
        (*budgets.AGENT_CPU, *budgets.SCANNED_PURGE_CPU, *budgets.LIST_CHANGE_CPU),
    ),
    (
        "front",
        "control processor time, purges by index",
        "core",
        (*budgets.AGENT_CPU, *budgets.INDEXED_PURGE_CPU, *budgets.LIST_CHANGE_CPU),
    ),
    (
        "front",
        "bytes of its fleet agent, load view by control nodes",
        "B/s",
        budgets.CONTROL_NODE_VIEW_BYTES,
    ),
    (
        "front",
        "processor time of its fleet agent, load view by control nodes",
        "core",
        budgets.CONTROL_NODE_VIEW_CPU,
    ),
    ("front", "member table", "B", budgets.AGENT_MEMORY),
    ("front", "memory with a full directory", "B", (Term("memory by directory"),)),
    ("front", "memory with 170 MB of own copies", "B", (Term("memory by copies"),)),
    ("front", "descriptors with 128 clients busy", "1", (Term("descriptors"),)),
    ("discovery service", "bytes sent", "B/s", (Term("watch", per_front=True),)),
    ("view aggregator", "bytes sent", "B/s", budgets.AGGREGATOR_BYTES[:1]),
    ("view aggregator", "bytes received", "B/s", budgets.AGGREGATOR_BYTES[1:]),
    ("view aggregator", "datagrams sent", "1/s", (Term("fleet loaded view aggregator datagrams sent"),)),
    ("view aggregator", "processor time", "core", budgets.AGGREGATOR_CPU),
    (
        "control machine",
        "processor time, without sockets",
        "core",
        (Term("control node purge", operators.EXPECTED_PURGES_PER_S),),
    ),
    ("control machine", "bytes sent", "B/s", (Term("control bytes to a front", per_front=True),)),
    ("control machine", "bytes received", "B/s", (Term("control bytes from a front", per_front=True),)),
    ("control machine", "memory of its state", "B", CONTROL_MEMORY),
    *(
        (
            "control machine",
            f"{quantity} for the load view",
            unit,
            (Term(f"load view control machine {quantity}"),),
        )
        for quantity, unit in (("bytes sent", "B/s"), ("bytes received", "B/s"), ("processor time", "core"))
    ),
    ("maintenance leader", "bytes sent", "B/s", budgets.LEADER_BYTES[:1]),
    ("maintenance leader", "bytes received", "B/s", budgets.LEADER_BYTES[1:]),
    ("maintenance leader", "datagrams sent", "1/s", (Term("maintenance leader quorum datagrams sent"),)),
    *(
        (
            "maintenance leader",
            f"{quantity}, nine voters",
            unit,
            (Term(f"maintenance leader with nine voters {quantity}"),),
        )
        for quantity, unit in (("bytes sent", "B/s"), ("bytes received", "B/s"), ("datagrams sent", "1/s"))
    ),
)
"""Role, quantity, unit, and the terms whose sum is the quantity."""


def totals(recorded: CapacityRecord, scale: ScaleRecord | None) -> list[str]:
    """Return the table of each role's whole cost, at the expected fronts and at twice as many."""
    sizes = (operators.FRONTS, operators.DOUBLED_FRONTS)
    body = [
        (
            role,
            quantity,
            *(_total_text(recorded, terms, fronts, unit) for fronts in sizes),
            " + ".join(map(str, terms)),
        )
        for role, quantity, unit, terms in ROLES
    ]
    body += [
        (
            slope.role.replace("_", " "),
            f"{slope.quantity}, {slope.mode}",
            *(
                _value_text(
                    slope.value_at(**operators.slope_variables(fronts)), _unit(slope), [slope], fronts
                )
                for fronts in sizes
            ),
            f"{slope.name} of the scale run",
        )
        for slope in (scale.slopes if scale else ())
    ]
    return table(("role", "quantity", f"at {sizes[0]} fronts", f"at {sizes[1]:,} fronts", "sum of"), body)


def _total_text(recorded: CapacityRecord, terms: tuple[Term, ...], fronts: int, unit: str) -> str:
    return _value_text(
        total(recorded, terms, fronts), unit, [recorded.slope(term.name) for term in terms], fronts
    )


def _value_text(value: float, unit: str, used_slopes: list[Slope], fronts: int) -> str:
    """Return the text of a figure, marked as worked out if a slope was not measured with so many fronts."""
    if value < 0:
        return "not known: the line falls below 0"
    within = all(fronts <= slope.range.get("fronts", [fronts, fronts])[1] for slope in used_slopes)
    return with_unit(value, unit) + ("" if within else " (worked out)")


def slopes(recorded: CapacityRecord, scale: ScaleRecord | None) -> list[str]:
    """Return the table of all slopes with their errors and the ranges in which they were measured."""
    found = [(slope, f"`{slope.command}`") for slope in recorded.slopes]
    found += [(slope, f"`{SCALE_COMMAND}`, {slope.mode}") for slope in (scale.slopes if scale else ())]
    return table(
        ("role", "name", "quantity", "line", "residual error", "measured from to", "points", "command"),
        (
            (
                slope.role.replace("_", " "),
                slope.name,
                slope.quantity,
                formula(slope.intercept, slope.per, _unit(slope)),
                with_unit(slope.error, _unit(slope)),
                measured_range(slope),
                str(slope.points),
                command,
            )
            for slope, command in found
        ),
    )


def _unit(slope: Slope) -> str:
    """Return the unit with "byte" shortened to "B"."""
    return slope.unit.replace("byte", "B")


def measured_range(slope: Slope) -> str:
    """Return the text of the least and greatest sizes at which a slope was measured."""
    parts = []
    for size, (least, most) in slope.range.items():
        span = f"{number_text(least)} to {number_text(most)}" if least != most else number_text(least)
        parts.append(f"{span} {size.replace('_', ' ')}")
    return ", ".join(parts)


def front_machine(recorded: CapacityRecord, _scale: ScaleRecord | None) -> list[str]:
    """Return the table of what a front machine needs at the peak, by the size of an object's parts."""
    head = (
        "parts of",
        "parts a request",
        "requests of parts a second and front",
        "sent a second and front",
        "requests a core",
        "bytes a core",
        "cores wholly busy",
        "processes at 60% of a core",
        "link each way at 60%",
    )
    return table(head, (_machine_row(recorded, size) for size in PART_SIZES))


def _machine_row(recorded: CapacityRecord, part_bytes: int) -> tuple[str, ...]:
    found = machine_need(recorded, part_bytes)
    return (
        with_unit(part_bytes, "B"),
        number_text(found.parts),
        number_text(found.requests_per_s),
        with_unit(found.bytes_per_s, "B"),
        number_text(recorded.value("requests a core", object_bytes=part_bytes)),
        with_unit(recorded.value("bytes a core", object_bytes=part_bytes), "B/s"),
        number_text(found.cores),
        number_text(found.processes),
        f"{found.link} Gbit/s",
    )


def caches(recorded: CapacityRecord, _scale: ScaleRecord | None) -> list[str]:
    """Return the table of the load of all fronts on one cache at the peak."""
    sizes = (operators.FRONTS, operators.DOUBLED_FRONTS)
    loads = [cache_load(recorded, fronts) for fronts in sizes]
    body = (
        ("requests of parts a second", *(number_text(one.requests_per_s) for one in loads)),
        ("sent to fronts", *(with_unit(one.bytes_per_s, "B/s") for one in loads)),
        ("connections, fronts with 128 clients busy", *(number_text(one.connections) for one in loads)),
    )
    return table(("one cache at the peak", f"{sizes[0]} fronts", f"{sizes[1]:,} fronts"), body)


def gateway(recorded: CapacityRecord, _scale: ScaleRecord | None) -> list[str]:
    """Return the table of the gateway's figures by the number of open requests."""
    found = [point for point in recorded.points if point.role == "gateway"]
    sizes = sorted({point.at["open_requests"] for point in found})
    return table(
        ("quantity", *(f"{number_text(size)} open" for size in sizes)),
        (
            (name, *(with_unit(recorded.value(name, open_requests=size), unit) for size in sizes))
            for name, unit in dict.fromkeys((point.name, point.unit) for point in found)
        ),
    )


def runs(recorded: CapacityRecord, scale: ScaleRecord | None) -> list[str]:
    """Return the table of when and where each measurement was made, and how busy the machine was."""
    body = [
        (
            name + (", few sizes" if conditions.quick else ""),
            conditions.taken,
            conditions.commit,
            conditions.machine,
            _other_work(conditions),
        )
        for name, conditions in sorted(recorded.conditions.items())
    ]
    if scale:
        body.append(("scale run", scale.taken, scale.commit, scale.machine, _other_work(scale)))
    return table(("measurement", "taken", "commit", "machine", "other work on the machine"), body)


def _other_work(measured: Conditions | ScaleRecord) -> str:
    text = "**busy**" if measured.busy else "quiet"
    return f"{text}, load {measured.load_before} before, {measured.load_after} after"
