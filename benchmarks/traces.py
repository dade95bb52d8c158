"""Byte hit ratios of eviction policies on random traces: the disk cache's policy, LRU, FIFO, sized Belady.

Sized Belady evicts by the distance of the next use times the size, so it needs the future of the trace. No
disk is accessed. Exit code 1 means that the disk cache's policy saves fewer bytes than LRU or FIFO on some
trace.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
from collections import OrderedDict
from typing import NamedTuple

from marbleglade.disk.entry_table import part_key
from marbleglade.disk.eviction import EvictionPolicy, RecordLocation

KINDS = ("zipf", "scan", "large", "shift")
CAPACITY_SHARES = (0.1, 0.25)  # cache capacity as a share of the bytes of all used parts
USES, QUICK_USES = 60_000, 20_000
ZIPF_EXPONENT = 0.9
MIN_BYTES, BYTES_RANGE = 4000, 8000
MAX_PART = 19


class Use(NamedTuple):
    """One use of a part of an object: key in the disk cache, size in bytes, and number of the part."""

    key: int
    size: int
    part: int


def trace(kind: str, seed: int, count: int) -> list[Use]:
    """Return a trace of uses with Zipf popularity.

    Args:
        kind: "zipf" without additions; "scan": a quarter of the time, only objects that are used once;
            "large": some objects have 5 to 29 times the usual size; "shift": the popularity shifts.
        seed: Seed of all random choices.
        count: Number of uses.
    """
    rng = random.Random(f"{seed} {kind}")
    objects = max(200, count // 30)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(objects)]
    ranks = rng.choices(range(objects), weights, k=count)
    uses, last_scanned = [], objects
    for number, rank in enumerate(ranks):
        object_id = rank
        if kind == "shift":
            object_id = (rank + number * objects // (4 * count) * 8) % objects
        if kind == "scan" and (number // 500) % 4 == 3:
            last_scanned += 1
            object_id = last_scanned
        part = 0 if kind == "large" else min(MAX_PART, int(rng.expovariate(0.2)))
        size = MIN_BYTES + (object_id * 2654435761 % BYTES_RANGE)
        if kind == "large" and object_id % 8 == 1:
            size *= 5 + object_id % 25
        uses.append(Use(part_key(object_id, part), size, part))
    return uses


def saved_by_policy(uses: list[Use], capacity: int, seed: int) -> int:
    """Return the bytes of hits with the disk cache's policy."""
    policy, saved = EvictionPolicy(capacity, seed, max(64, capacity // 8000)), 0
    for key, size, part in uses:
        policy.record_use(key)
        if policy.locate(key):
            saved += size
            continue
        victims = policy.choose_victims(key, size, part)
        if victims is not None:
            for victim in victims:
                policy.remove(victim)
            policy.add(key, RecordLocation(1, 0, size), part)
    return saved


def saved_by_order(uses: list[Use], capacity: int, by_last_use: bool) -> int:
    """Return the bytes of hits with LRU, or with FIFO if not `by_last_use`; everything is admitted."""
    cached: OrderedDict[int, int] = OrderedDict()
    used = saved = 0
    for key, size, _ in uses:
        if key in cached:
            saved += size
            if by_last_use:
                cached.move_to_end(key)
            continue
        if size > capacity:
            continue
        cached[key] = size
        used += size
        while used > capacity:
            used -= cached.popitem(last=False)[1]
    return saved


def saved_by_belady(uses: list[Use], capacity: int) -> int:
    """Return the bytes of hits when the part with the largest (uses until its next use) * size is evicted."""
    next_uses = _next_uses(uses)
    cached: dict[int, tuple[int, int]] = {}  # size in bytes, index of the next use
    heap: list[tuple[float, int, int]] = []
    used = saved = 0
    for number, (key, size, _) in enumerate(uses):
        if key in cached:
            saved += size
        elif size <= capacity:
            used += size
        else:
            continue
        cached[key] = size, next_uses[number]
        heapq.heappush(heap, (-float(next_uses[number] - number) * size, key, next_uses[number]))
        while used > capacity:
            _, victim, next_use = heapq.heappop(heap)
            if victim in cached and cached[victim][1] == next_use:
                used -= cached.pop(victim)[0]
    return saved


def _next_uses(uses: list[Use]) -> list[int]:
    """Return for each use the index of the next use of the same part."""
    next_uses, seen = [0] * len(uses), dict[int, int]()
    for number in range(len(uses) - 1, -1, -1):
        key = uses[number].key
        next_uses[number] = seen.get(key, len(uses) * 4)
        seen[key] = number
    return next_uses


def measure(kind: str, seed: int, count: int, capacity_share: float) -> dict[str, float]:
    """Return the byte hit ratio of each policy on one trace."""
    uses = trace(kind, seed, count)
    total = sum(use.size for use in uses)
    capacity = int(sum({use.key: use.size for use in uses}.values()) * capacity_share)
    saved = {
        "policy": saved_by_policy(uses, capacity, seed),
        "lru": saved_by_order(uses, capacity, True),
        "admit all": saved_by_order(uses, capacity, False),
        "belady": saved_by_belady(uses, capacity),
    }
    return {name: round(value / total, 4) for name, value in saved.items()}


def main() -> int:
    """Run the benchmark from the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.traces", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    count = QUICK_USES if arguments.quick else USES
    rows: list[dict[str, object]] = []
    worse_traces = []
    print(f"{'trace':8}{'room':>6}{'policy':>11}{'lru':>11}{'admit all':>11}{'belady':>11}{'of belady':>11}")
    for kind in KINDS:
        for share in CAPACITY_SHARES:
            row = measure(kind, arguments.seed, count, share)
            of_belady = row["policy"] / row["belady"]
            rows.append({**row, "trace": kind, "room": share, "of_belady": round(of_belady, 4)})
            cells = "".join(f"{value:11.3f}" for value in row.values())
            print(f"{kind:8}{share:6.2f}{cells}{of_belady:11.3f}")
            if row["policy"] < max(row["lru"], row["admit all"]):
                worse_traces.append(f"{kind} {share}")
    if worse_traces:
        print(f"policy saves less than LRU or FIFO: {', '.join(worse_traces)}")
    print(json.dumps({"seed": arguments.seed, "rows": rows}))
    return int(bool(worse_traces))


if __name__ == "__main__":
    sys.exit(main())
