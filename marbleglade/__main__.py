"""`python -m marbleglade`: one front of the platform; with words behind it, the command line."""

from __future__ import annotations

import os
import sys


def front() -> int:
    """The front that the environment tells of; 0 at its planned end, 2 where the configuration is unfit."""
    from .life import early

    early.note()  # first of all: the rest takes a while to load
    from .life import assignment, service
    from .runtime.errors import InvalidConfigurationError

    try:
        service.run(assignment.read(os.environ))
    except InvalidConfigurationError as trouble:
        print(f"marbleglade: {trouble}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    if len(sys.argv) < 2:
        return front()
    from .command import main as command

    return command()


if __name__ == "__main__":
    sys.exit(main())
