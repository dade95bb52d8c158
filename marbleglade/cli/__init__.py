"""The command line. Each sub-command imports only the modules that it needs."""

from __future__ import annotations

import sys

EXIT_LIBRARY_MISSING = 3


def main() -> int:
    """Run the command given by the arguments. Return its exit code, see `docs/commands.md`."""
    try:
        from .root_command import marbleglade_command
    except ModuleNotFoundError as error:
        print(f"marbleglade: {error.name} is not installed; install marbleglade[gateway]", file=sys.stderr)
        return EXIT_LIBRARY_MISSING
    return marbleglade_command.main(prog_name="marbleglade", standalone_mode=True) or 0
