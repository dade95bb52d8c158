"""Compares layouts of parts on disk: a file for each part, blobs in LMDB, and the disk cache's segments.

Writes parts of 4 to 200 KB with a sync after every 64, then reads parts at random. Prints a row for each
layout, and one JSON object as the last line.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import lmdb

from marbleglade.disk.cached_part import CachedPart
from marbleglade.disk.disk_cache import DiskCache
from marbleglade.disk.entry_table import part_key
from marbleglade.disk.files import SegmentFiles
from marbleglade.disk.index import Index
from marbleglade.disk.write_budget import WriteBudget

PARTS_PER_SYNC = 64
DIRECTORIES = 256
BLOCK_BYTES = 512  # unit of `st_blocks`
PARTS, QUICK_PARTS = 4000, 1000
ETAG = "00000000000000aa"


class LayoutError(Exception):
    """A layout did not store a part, or returned other bytes."""


class Layout(Protocol):
    """Storage of parts by their numbers."""

    def put(self, number: int, body: bytes) -> None:
        """Store a part; durable after `sync`."""

    def sync(self) -> None:
        """Make all parts durable."""

    def get(self, number: int) -> bytes:
        """Return the bytes of a part."""


class FilePerPart:
    """A file for each part, in 256 directories."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._unsynced: list[int] = []

    def _path(self, number: int) -> Path:
        return self._directory / f"{number % DIRECTORIES:02x}" / str(number)

    def put(self, number: int, body: bytes) -> None:
        """Store a part; durable after `sync`."""
        path = self._path(number)
        path.parent.mkdir(exist_ok=True)
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        os.write(descriptor, body)
        self._unsynced.append(descriptor)

    def sync(self) -> None:
        """Make all parts durable."""
        for descriptor in self._unsynced:
            os.fsync(descriptor)
            os.close(descriptor)
        self._unsynced.clear()

    def get(self, number: int) -> bytes:
        """Return the bytes of a part."""
        return self._path(number).read_bytes()


class LmdbBlobs:
    """Parts as values in LMDB, one transaction for each sync."""

    def __init__(self, directory: Path) -> None:
        self._environment = lmdb.open(str(directory), map_size=1 << 34, readahead=False)
        self._unsynced: dict[int, bytes] = {}

    def put(self, number: int, body: bytes) -> None:
        """Store a part; durable after `sync`."""
        self._unsynced[number] = body

    def sync(self) -> None:
        """Make all parts durable."""
        with self._environment.begin(write=True) as transaction:
            for number, body in self._unsynced.items():
                transaction.put(number.to_bytes(8, "big"), body)
        self._unsynced.clear()

    def get(self, number: int) -> bytes:
        """Return the bytes of a part."""
        with self._environment.begin() as transaction:
            return transaction.get(number.to_bytes(8, "big")) or b""


class Segments:
    """Parts in the segments of the disk cache."""

    def __init__(self, directory: Path) -> None:
        path, budget = str(directory), WriteBudget(1e15, 1, 2)
        self._cache = DiskCache(SegmentFiles(path), Index(path), 1 << 33, budget, checkpoint_bytes=1 << 40)
        self._cache.load()

    def put(self, number: int, body: bytes) -> None:
        """Store a part; durable after `sync`."""
        self._cache.eviction.record_use(part_key(number, 0))
        if not self._cache.put(number, 0, CachedPart(body, ETAG, 1, 1), 0):
            raise LayoutError(f"part {number} was not stored")

    def sync(self) -> None:
        """Make all parts durable."""
        self._cache.checkpoint()

    def get(self, number: int) -> bytes:
        """Return the bytes of a part."""
        stored = self._cache.get(number, 0)
        return stored.body if stored else b""


LAYOUTS: dict[str, Callable[[Path], Layout]] = {
    "FileEach": FilePerPart,
    "Blobs": LmdbBlobs,
    "Segments": Segments,
}


def measure(create: Callable[[Path], Layout], bodies: list[bytes], rng: random.Random) -> dict[str, float]:
    """Write all parts to a new layout, then read as many; return speeds, and disk space over size."""
    directory = Path(tempfile.mkdtemp(prefix="marbleglade-layout-"))
    try:
        layout, began = create(directory), time.monotonic()
        for number, body in enumerate(bodies, 1):
            layout.put(number, body)
            if number % PARTS_PER_SYNC == 0:
                layout.sync()
        layout.sync()
        write_seconds = time.monotonic() - began
        read_seconds = sorted(_read_one(layout, bodies, rng) for _ in bodies)
        files = (path.stat() for path in directory.rglob("*") if path.is_file())
        space, size = sum(file.st_blocks * BLOCK_BYTES for file in files), sum(map(len, bodies))
        return {
            "write_mb_s": round(size / write_seconds / 1e6, 1),
            "read_median_us": round(read_seconds[len(read_seconds) // 2] * 1e6, 1),
            "space": round(space / size, 3),
        }
    finally:
        shutil.rmtree(directory, ignore_errors=True)


def _read_one(layout: Layout, bodies: list[bytes], rng: random.Random) -> float:
    number = rng.randrange(len(bodies))
    began = time.perf_counter()
    body = layout.get(number + 1)
    seconds = time.perf_counter() - began
    if body != bodies[number]:
        raise LayoutError(
            f"part {number + 1}: read {len(body)} bytes that differ from the {len(bodies[number])} written"
        )
    return seconds


def main() -> int:
    """Run the benchmark; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.disk_layouts", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    sizes = [
        rng.randrange(4000, 12_000) if rng.random() < 0.75 else rng.randrange(60_000, 200_000)
        for _ in range(QUICK_PARTS if arguments.quick else PARTS)
    ]
    bodies = [rng.randbytes(size) for size in sizes]
    rows = {name: measure(create, bodies, rng) for name, create in LAYOUTS.items()}
    print(f"{'layout':12}{'MB/s written':>14}{'read, us':>12}{'space':>10}")
    for name, row in rows.items():
        print(f"{name:12}{row['write_mb_s']:14.1f}{row['read_median_us']:12.1f}{row['space']:10.3f}")
    print(json.dumps({"seed": arguments.seed} | rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
