"""Compares the cost of a log line: the program's own writer, and structlog with orjson and the same sink."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time

from marbleglade.runtime.counters import Counters
from marbleglade.runtime.json_log import Log
from marbleglade.runtime.structlog_log import StructlogLog


def cost(log: Log, count: int) -> float:
    """Return the processor time (us) of a log line like that of each attempt at debug level."""
    start = time.process_time_ns()
    for number in range(count):
        log.info(
            "attempt_finished",
            trace="9b1f03aa5c7e2d41",
            request_class="menu-pages",
            upstream="s-00c41f7a",
            fill_source="s-1",
            result="OK",
            duration_us=number,
            cache_priority=1,
            bytes=8000,
        )
    return (time.process_time_ns() - start) / count / 1000


def main() -> int:
    """Run the benchmark from the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.logs", description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=1, help="accepted like in other benchmarks, without effect"
    )
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    count = 20_000 if arguments.quick else 100_000
    sink = os.open(os.devnull, os.O_WRONLY)
    figures = {"seed": arguments.seed}
    for name, kind in (("front", Log), ("structlog", StructlogLog)):
        log = kind("n1", Counters(), True, sink)
        cost(log, count // 10)
        figures[f"{name}_us"] = round(min(cost(log, count) for _ in range(3)), 3)
    figures["ratio"] = round(figures["structlog_us"] / figures["front_us"], 3)
    print(f"{'writer':12}{'us a line':>12}")
    for name in ("front", "structlog"):
        print(f"{name:12}{figures[f'{name}_us']:12.2f}")
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
