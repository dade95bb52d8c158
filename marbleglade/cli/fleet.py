"""`marbleglade fleet`: checks the settings of the fleet, and shows its state from the logs of the fronts."""

from __future__ import annotations

import click

from .front_logs import LogRecord, last_states
from .invalid_input import exit_invalid

STATE_EVENTS = ("membership", "leadership")


@click.group()
def fleet() -> None:
    """The fleet of fronts: its settings and its state."""


@fleet.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check FILE, a fleet settings file as given by MARBLEGLADE_FLEET, and print its settings."""
    from ..fleet.fleet_settings import read
    from ..runtime.errors import InvalidConfigurationError

    try:
        settings = read(file)
    except InvalidConfigurationError as error:
        exit_invalid([str(error)])
    click.echo(f"beat_ms: {settings.probe_interval_ms}")


@fleet.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def show(logs: tuple[str, ...]) -> None:
    """Show the last state of each front in LOGS: fronts alive, the leader, its share of the traffic."""
    for front, status in sorted(last_states(logs, _state_fields).items()):
        leadership = status.get("leadership") or {
            name: status.get(name) for name in ("term", "leader", "is_leader")
        }
        click.echo(
            f"{front:12} at {status['at']} alive {status.get('alive', '?')} of {status.get('listed', '?')} "
            f"not alive {status.get('not_alive', [])} "
            f"leadership term {leadership['term']} leader {leadership['leader']}"
            f"{' (this one)' if leadership['is_leader'] else ''} "
            f"traffic share {status.get('traffic_share')} "
            f"retry budget factor {status.get('retry_budget_factor')}"
        )


def _state_fields(record: LogRecord) -> LogRecord:
    """Return the fields of a log record that describe the fleet."""
    if record["event"] == "counters":
        status: LogRecord = record.get("fleet", {})
        return status
    return record if record["event"] in STATE_EVENTS else {}
