"""The `marbleglade` command and its smaller sub-commands, built with click."""

from __future__ import annotations

import sys
from importlib import import_module

import click

from .. import __version__
from .deployment_commands import DEPLOYMENT_PATH, check, route
from .invalid_input import exit_invalid

COMPLETION_VARIABLE = "_MARBLEGLADE_COMPLETE"


class LazyGroup(click.Group):
    """A group that imports the module of a larger sub-command only when the sub-command is used."""

    LAZY_COMMANDS = ("control", "disk", "fleet", "timeline", "work")

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all sub-commands, sorted."""
        return sorted([*super().list_commands(ctx), *self.LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a sub-command, or None if there is none of that name."""
        if cmd_name not in self.LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        command: click.Command = getattr(import_module(f".{cmd_name}", __package__), cmd_name)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def marbleglade_command() -> None:
    """A front for caches of large objects behind low-bandwidth links, and gateways between regions.

    Without a sub-command, run one front, configured by the file whose path is in GW_CONFIG.

    Exit codes: 0 success; 1 a check failed; 2 a deployment, a configuration or the arguments are invalid;
    3 a library that the sub-command needs is not installed.
    """


marbleglade_command.add_command(check)
marbleglade_command.add_command(route)


@marbleglade_command.command()
def front() -> None:
    """Run one front, configured by the file whose path is in GW_CONFIG.

    SIGHUP reloads the file. SIGUSR1 logs the counters. SIGTERM or SIGINT stops the front after it has
    answered all requests. SIGUSR2 is ignored.
    """
    from ..__main__ import run_front

    sys.exit(run_front())


@marbleglade_command.command()
@click.option(
    "--deployment", required=True, type=DEPLOYMENT_PATH, help="Path of the deployment file (textproto)."
)
@click.option("--name", default="", help="Name of the gateway to run. Default: the file's `self`.")
def gateway(deployment: str, name: str) -> None:
    """Run one gateway between regions.

    SIGUSR1 logs the counters and the links. SIGTERM or SIGINT stops the gateway after it has answered all
    requests that it accepted. SIGHUP and SIGUSR2 are ignored.
    """
    from ..deployment.reader import InvalidDeploymentError, read

    try:
        local_deployment = read(deployment, name)
    except InvalidDeploymentError as error:
        exit_invalid(error.errors)
    from ..gateway.gateway_process import run

    try:
        run(local_deployment)
    except OSError as error:
        exit_invalid([str(error)])


@marbleglade_command.command()
def version() -> None:
    """Print the version."""
    click.echo(f"marbleglade {__version__}")


@marbleglade_command.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL, which has to be sourced in that shell."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    if completion_class is None:
        exit_invalid([f"no completion is available for shell {shell!r}"])
    click.echo(completion_class(marbleglade_command, {}, "marbleglade", COMPLETION_VARIABLE).source())
