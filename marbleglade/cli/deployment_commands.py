"""`marbleglade check` and `marbleglade route`: print the errors and the routes of a deployment file."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import click

from .invalid_input import exit_invalid

if TYPE_CHECKING:
    from ..deployment.deployment_pb2 import Deployment

DEPLOYMENT_PATH = click.Path(dir_okay=False)
EXIT_CHECK_FAILED = 1
OBJECT_HEX_DIGITS = 16


@click.command()
@click.argument("deployment", type=DEPLOYMENT_PATH)
@click.option("--quiet", is_flag=True, help="Print nothing if the file is valid.")
def check(deployment: str, quiet: bool) -> None:
    """Check the file DEPLOYMENT and print its settings, including default values.

    If there are errors, each is printed with its field on a line of standard error, and the exit code is 1.
    """
    from ..deployment.checks import find_errors
    from ..deployment.reader import InvalidDeploymentError, load, to_text

    try:
        message = load(deployment)
        errors = find_errors(message)
    except InvalidDeploymentError as error:
        errors = error.errors
    for line in errors:
        click.echo(line, err=True)
    if errors:
        sys.exit(EXIT_CHECK_FAILED)
    if not quiet:
        click.echo(to_text(message), nl=False)


@click.command()
@click.argument("deployment", type=DEPLOYMENT_PATH)
@click.argument("object_hex", metavar="OBJECT")
@click.option(
    "--group", type=click.IntRange(0, 255), help="Purge group of the object. If absent, it is unknown."
)
@click.option(
    "--from", "origin", default="", help="Requesting region. Default: the region of the file's `self`."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def route(deployment: str, object_hex: str, group: int | None, origin: str, as_json: bool) -> None:
    """Print the regions that are asked for OBJECT (16 hex digits) by DEPLOYMENT's routes, in their order."""
    from ..gateway.routes import Routes, read_route_rules
    from ..state.purge_history import UNKNOWN_GROUP

    message = _load_valid_deployment(deployment)
    object_id = _object_id(object_hex)
    names = [region.name for region in message.regions]
    local_region = origin or _region_of(message, message.self) or names[0]
    if local_region not in names:
        raise click.BadParameter(
            f"no region is named {local_region!r}; the regions are {', '.join(names)}", param_hint="--from"
        )
    remote_regions = [name for name in names if name != local_region]
    routes = Routes(local_region, remote_regions, read_route_rules(message.routes), 1, 1)
    known_group = UNKNOWN_GROUP if group is None else group
    regions = routes.regions_for(object_id, known_group, (), 0)
    reason = routes.reason_for(object_id, known_group, 0)
    if as_json:
        click.echo(json.dumps({"object": object_hex, "from": local_region, "regions": regions, "by": reason}))
    else:
        click.echo(f"{' then '.join(regions)}   (by {reason})")


def _load_valid_deployment(path: str) -> Deployment:
    """Load a deployment file. If it has errors, print them and end the command."""
    from ..deployment.checks import find_errors
    from ..deployment.reader import InvalidDeploymentError, load

    try:
        message = load(path)
    except InvalidDeploymentError as error:
        exit_invalid(error.errors)
    if errors := find_errors(message):
        exit_invalid(errors)
    return message


def _object_id(object_hex: str) -> int:
    try:
        object_id = int(object_hex, 16)
    except ValueError:
        object_id = None
    if object_id is None or len(object_hex) != OBJECT_HEX_DIGITS:
        raise click.BadParameter(
            f"expected {OBJECT_HEX_DIGITS} hex digits, got {object_hex!r}", param_hint="OBJECT"
        )
    return object_id


def _region_of(message: Deployment, gateway_name: str) -> str | None:
    """Return the name of a gateway's region, or None if there is no gateway of that name."""
    return next(
        (
            region.name
            for region in message.regions
            for gateway in region.gateways
            if gateway.name == gateway_name
        ),
        None,
    )
