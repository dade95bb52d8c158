"""`marbleglade control`: commands that check a control plane, run its nodes and show their status."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import click

from ..runtime.units import MILLISECOND_NS, SECOND_NS
from .control_propose import propose
from .control_settings_file import read_settings
from .invalid_input import exit_invalid

if TYPE_CHECKING:
    from ..control.settings import ControlSettings

FILE_PATH = click.Path(dir_okay=False)
STATUS_TIMEOUT_S = 2.0


@click.group()
def control() -> None:
    """Control nodes: distribute purges and configuration to fronts, which confirm them."""


control.add_command(propose)


@control.command()
@click.argument("file", type=FILE_PATH)
def check(file: str) -> None:
    """Check FILE, the description of a control plane. Print its settings, or all errors if there are any."""
    settings = read_settings(file)
    for region in settings.regions:
        click.echo(
            f"region {region.name}: discovery {_address_text(region.discovery)}, {len(region.fronts)} fronts"
        )
    for node in settings.nodes:
        click.echo(
            f"node {node.name}: region {node.region}, zone {node.zone}, "
            f"{_address_text(node.address)}, quorum {_address_text(node.quorum_address)}"
        )
    click.echo(
        f"deployment {settings.deployment}: a purge within {settings.purge_deadline_ns / SECOND_NS:g} s, "
        f"a configuration within {settings.configuration_deadline_ns / SECOND_NS:g} s, "
        f"{settings.catch_up_bytes_per_s} bytes a second to a front that catches up"
    )
    click.echo(f"load views: {_describe_load_view_source(settings)}")


def _describe_load_view_source(settings: ControlSettings) -> str:
    """Describe which processes aggregate the load views and, for control nodes, how often."""
    if not settings.view_period_ns:
        return "made by fronts among themselves"
    return f"made by the nodes every {settings.view_period_ns / SECOND_NS:g} s"


def _address_text(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"


@control.command()
@click.argument("file", type=FILE_PATH)
@click.option("--name", required=True, help="Name of the node in FILE to run.")
@click.option("--store", type=click.Path(file_okay=False), help="Directory for the node's durable state.")
def run(file: str, name: str, store: str | None) -> None:
    """Run one control node of FILE until SIGTERM.

    The node follows the discovery service of its region and serves fronts. At each start it receives again
    the events that it distributes, so only configuration versions are stored, in --store.
    """
    settings = read_settings(file)
    from ..control.node import control_node

    configuration = None
    try:
        if store:
            from ..control.quorum.quorum_node import open_quorum_node

            configuration = open_quorum_node(settings, name, store)
        control_node.run(settings, name, configuration)
    except (OSError, ValueError) as error:
        exit_invalid([f"control node {name}: {error}"])


@control.command()
@click.argument("file", type=FILE_PATH)
@click.option("--json", "as_json_object", is_flag=True, help="Print one JSON object.")
@click.option(
    "--timeout",
    type=click.FloatRange(0.05, 60.0),
    default=STATUS_TIMEOUT_S,
    show_default=True,
    help="Seconds to wait for the answer of each node.",
)
def status(file: str, as_json_object: bool, timeout: float) -> None:
    """Query all nodes of FILE for purges and the configuration, and print which fronts lack them.

    The exit code is 1 if a node does not answer, if a front rejected the configuration, or if a front lacks a
    purge or the configuration after its deadline.
    """
    settings = read_settings(file)
    from ..control.status.merge import merge
    from ..control.status.query import query_all
    from .control_status import as_json, as_text, is_healthy

    deployment_status = merge(settings, query_all(settings, timeout))
    if as_json_object:
        click.echo(as_json(deployment_status))
    else:
        for text in as_text(deployment_status):
            click.echo(text)
    sys.exit(0 if is_healthy(deployment_status, settings, time.time_ns() // MILLISECOND_NS) else 1)
