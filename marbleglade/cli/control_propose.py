"""`marbleglade control propose`: proposes a new configuration version to the control nodes."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from .control_settings_file import read_settings
from .invalid_input import exit_invalid

FILE_PATH = click.Path(dir_okay=False)
MAX_DOCUMENT_BYTES = 1 << 20  # bytes read of a document file; any valid document is smaller
# Exit codes, listed in docs/commands.md.
EXIT_CONFLICT = 4
EXIT_NOT_ACCEPTED = 5
EXIT_UNKNOWN = 6
PROPOSE_TIMEOUT_S = 10.0


@click.command()
@click.argument("file", type=FILE_PATH)
@click.argument("document", type=FILE_PATH)
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 30.0),
    default=PROPOSE_TIMEOUT_S,
    show_default=True,
    help="Seconds to wait for the outcome.",
)
def propose(file: str, document: str, timeout: float) -> None:
    """Propose DOCUMENT as the next configuration version to the control nodes of FILE.

    Exit codes: 0 accepted; 2 the document is invalid, each error is printed on a line; 4 another version was
    accepted first; 5 not accepted, as no majority of the nodes answered; 6 unknown whether it was accepted.
    """
    settings = read_settings(file)
    from ..control.configuration import proposer
    from ..control.quorum.messages import ProposalAccepted, ProposalConflict, ProposalInvalid

    started = time.monotonic()
    match proposer.Proposer(settings, _read_document(document), timeout).run():
        case ProposalAccepted(version):
            click.echo(f"version {version} accepted in {time.monotonic() - started:.3f} s")
        case ProposalInvalid(errors):
            exit_invalid(f"{document}: {error}" for error in errors)
        case ProposalConflict(version):
            _exit_with(
                EXIT_CONFLICT,
                f"not accepted: version {version} is in force; propose a change to that version",
            )
        case proposer.NotAccepted(reasons):
            for node, reason in reasons.items():
                click.echo(f"marbleglade: {node}: {reason}", err=True)
            _exit_with(
                EXIT_NOT_ACCEPTED, "not accepted: no majority of the control nodes accepted the proposal"
            )
        case proposer.OutcomeUnknown(reason):
            _exit_with(EXIT_UNKNOWN, f"not known whether the proposal was accepted: {reason}")


def _read_document(path: str) -> str:
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES).decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_invalid([f"{path}: {error}"])


def _exit_with(code: int, text: str) -> None:
    click.echo(f"marbleglade: {text}", err=True)
    sys.exit(code)
