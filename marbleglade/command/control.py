"""`marbleglade control`: control nodes, and what they know of fronts, purges and configuration."""

from __future__ import annotations

import click

from .line import give_up

FILE = click.Path(dir_okay=False)


def read_settings(file: str):
    """The control plane that FILE describes; a file that can't be used ends the command with exit code 2."""
    from ..control.settings import InvalidSettingsError, read

    try:
        return read(file)
    except InvalidSettingsError as error:
        give_up(error.faults)


@click.group()
def control() -> None:
    """Control nodes: distribution of purges and configuration to fronts, with confirmation."""


@control.command()
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="Which node of FILE this is.")
@click.option("--store", type=click.Path(file_okay=False), help="Directory of the node's durable state.")
def run(file: str, name: str, store: str | None) -> None:
    """Run one control node of FILE until SIGTERM."""
    settings = read_settings(file)
    from ..control import node

    try:
        node.run(settings, name)
    except (OSError, ValueError) as error:
        give_up([f"node {name}: {error}"])
