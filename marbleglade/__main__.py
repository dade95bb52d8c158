"""`python -m marbleglade`: runs a front; with arguments, runs the command line."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Callable

EXIT_INVALID = 2
SERVER_COMMANDS = (["front"], ["gateway"], ["control", "run"])  # these run until a signal stops them


def run_front() -> int:
    """Run a front; return 0 after its graceful shutdown, 2 if the configuration is invalid."""
    gc.disable()  # objects created at startup live on; `FrontProcess.start` enables the collector again
    from .runtime.errors import InvalidConfigurationError
    from .service import front_process, startup_configuration

    try:
        front_process.run(startup_configuration.read_startup_configuration(os.environ))
    except InvalidConfigurationError as error:
        print(f"marbleglade: {error}", file=sys.stderr)
        return EXIT_INVALID
    return 0


def run_command() -> int:
    """Run the command named by the arguments; return its exit code."""
    from .cli import main as run_command_line

    return run_command_line()


def run_server(run: Callable[[], int]) -> int:
    """Run a server program; its signals are held until it handles them, and ignored once it has ended."""
    from .runtime.process_signals import process_signals

    process_signals.hold()  # before the other imports, which are slow
    try:
        return run()
    finally:
        process_signals.ignore()


def main() -> int:
    """Run a front, or the command named by the arguments; return the exit code."""
    arguments = sys.argv[1:]
    if not arguments:
        return run_server(run_front)
    if any(arguments[: len(command)] == command for command in SERVER_COMMANDS):
        return run_server(run_command)
    return run_command()


if __name__ == "__main__":
    sys.exit(main())
