"""Ends a command whose arguments or files are invalid."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import NoReturn

import click

EXIT_INVALID = 2  # a deployment, a configuration or the arguments are invalid


def exit_invalid(errors: Iterable[str]) -> NoReturn:
    """Print each error on a line of standard error, and end the command with exit code 2."""
    for error in errors:
        click.echo(f"marbleglade: {error}", err=True)
    sys.exit(EXIT_INVALID)
