"""`marbleglade work`: checks and forecasts maintenance plans, and shows their state from logs of fronts."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .front_logs import LogRecord, last_states
from .invalid_input import exit_invalid

if TYPE_CHECKING:
    from ..maintenance.forecast import PlannedStep
    from ..maintenance.plan import MaintenancePlan
    from ..maintenance.plan_file import LoadedPlan
    from ..maintenance.snapshot import FleetSnapshot

DEFAULT_WARM_UP_MS = 10_000
STATE_EVENTS = ("maintenance", "drain")


@click.group()
def work() -> None:
    """Maintenance: the fronts take machines out of service in an order on which they agree."""


@work.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check FILE, a maintenance plan. Print its settings, or all errors if there are any."""
    loaded = _load_plan(file)
    plan = loaded.plan
    kinds = Counter(machine.kind.name.lower() for machine in plan.machines)
    counts = ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))
    click.echo(f"{len(plan.machines)} machines: {counts or 'none'}")
    for limit in plan.limits:
        click.echo(f"at most {limit}")
    click.echo(
        f"floor {plan.min_serving_share:g}, a front is drained in {plan.drain_timeout_ms} ms, "
        f"{len(loaded.packed)} bytes are sent{', withdrawn' if plan.withdrawn else ''}"
    )


@work.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--fleet",
    "description",
    type=click.Path(exists=True, dir_okay=False),
    required=True,
    help='JSON: {"fronts": 9, "places": [{"id", "kind", "zone", "pace"}], '
    '"load": {"cache": 0.4}, "near": [["box1", "box2"]]}; pace is the slowdown factor of an upstream.',
)
@click.option(
    "--takes-ms",
    type=click.IntRange(1),
    help="Milliseconds that each machine is out of service. Default: its maximum in FILE.",
)
@click.option("--warms-ms", type=click.IntRange(0), default=DEFAULT_WARM_UP_MS, show_default=True)
def plan(file: str, description: str, takes_ms: int | None, warms_ms: int) -> None:
    """Print the order in which FILE's machines would go out of service, and why some never would."""
    from ..maintenance.forecast import forecast
    from ..maintenance.schedule import decide

    maintenance_plan = _load_plan(file).plan
    try:
        snapshot = _snapshot_of(json.loads(Path(description).read_bytes()), maintenance_plan)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        exit_invalid([f"fleet description {description}: {error!r}"])
    waiting_at_first = decide(maintenance_plan, snapshot).waiting
    forecast_of_plan = forecast(
        maintenance_plan, snapshot, lambda machine: takes_ms or machine.max_duration_ms, warms_ms
    )
    steps = forecast_of_plan.steps
    _print_steps(steps, waiting_at_first)
    for name, reason in sorted(forecast_of_plan.never.items()):
        click.echo(f"    never    {name:16} {reason}")
    if steps:
        total_ms = steps[-1].returns_ms
        serial_ms = sum(step.returns_ms - step.starts_ms + warms_ms for step in steps)
        click.echo(f"{len(steps)} machines in {total_ms / 1000:.1f} s; {serial_ms / 1000:.1f} s one by one")
    sys.exit(1 if forecast_of_plan.never else 0)


@work.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def show(logs: tuple[str, ...]) -> None:
    """Show the leader, the machines out of service and the reasons why others wait, from LOGS of fronts."""
    for front, status in sorted(last_states(logs, _state_fields).items()):
        is_leader = status.get("is_leader")
        click.echo(
            f"{front:12} at {status['at']} {status.get('stage', 'serving'):9} "
            f"leader {status.get('leader', '?')}{' (this one)' if is_leader else ''} "
            f"term {status.get('term', '?')} out of service {status.get('out_of_service', [])} "
            f"completed {status.get('completed', 0)}{' finished' if status.get('is_finished') else ''}"
        )
        if is_leader:
            for name, reason in status.get("waiting", {}).items():
                click.echo(f"{'':12} {name}: {reason}")
            for kind, reason in status.get("halted", {}).items():
                click.echo(f"{'':12} halted, {kind}: {reason}")


def _load_plan(file: str) -> LoadedPlan:
    from ..maintenance.plan_file import read_plan
    from ..runtime.errors import InvalidConfigurationError

    try:
        return read_plan(file)
    except InvalidConfigurationError as error:
        exit_invalid(str(error).split("; "))


def _print_steps(steps: list[PlannedStep], waiting_at_first: dict[str, str]) -> None:
    for step in steps:
        reason = waiting_at_first.get(step.name)
        click.echo(
            f"{step.starts_ms / 1000:9.1f} s  {step.name:16} back at {step.returns_ms / 1000:.1f} s"
            + (f"  (before that: {reason})" if reason else "")
        )


def _snapshot_of(description: dict[str, Any], plan: MaintenancePlan) -> FleetSnapshot:
    """Return a snapshot of the described fleet with all its machines in service."""
    from ..maintenance.plan import Group, Kind, front_name
    from ..maintenance.snapshot import FleetSnapshot, NodeObservation

    kinds = {"cache": Kind.CACHE, "parent": Kind.PARENT, "front": Kind.FRONT}
    zones = {machine.name: machine.zone for machine in plan.machines}
    observations: dict[str, NodeObservation] = {}
    groups: dict[str, Group] = {}
    for number in range(int(description.get("fronts", 0))):
        name = front_name(number)
        observations[name] = NodeObservation(1)
        groups[name] = Group(Kind.FRONT, zones.get(name, ""))
    for upstream in description.get("places", ()):
        name = upstream["id"]
        observations[name] = NodeObservation(1, slowdown=float(upstream.get("pace", 1.0)))
        groups[name] = Group(kinds[upstream.get("kind", "cache")], upstream.get("zone", ""))
    load = {kinds[kind]: float(share) for kind, share in description.get("load", {}).items()}
    adjacent = frozenset(frozenset(pair) for pair in description.get("near", ()))
    return FleetSnapshot(int(time.time() * 1000), observations, groups, {}, load, adjacent)


def _state_fields(record: LogRecord) -> LogRecord:
    """Return the fields of a log record that describe maintenance."""
    if record["event"] == "counters":
        status: LogRecord = record.get("maintenance", {})
        return status
    return record if record["event"] in STATE_EVENTS else {}
