"""`python -m marbleglade.simulator`: serves the simulator's protocol on standard input and output."""

import sys

from .adapter import serve
from .messages import MalformedMessageError

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedMessageError as error:
        print(f"marbleglade.simulator: {error}", file=sys.stderr)
        sys.exit(2)
