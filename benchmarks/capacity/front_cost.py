"""Cost of a real front: memory, processor time by request and byte, and descriptors.

The front is the program itself in a process of its own. Caches and clients are stand-ins on loopback in this
process. Processor time is the sum of user and system time of the front's process, so other work on the
machine adds little to it. Its system time on loopback only approximates that on a real link.
"""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from contextlib import contextmanager

from benchmarks.processes import new_folder, now

from .fit import fit_slope, fit_slopes_by_name
from .front_process import FrontTestbed
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only front"
CONCURRENT_REQUESTS = 32
WARM_UP = 300  # requests that are sent before a measurement
REQUESTS_BY_OBJECT_SIZE = {2_000: 9000, 20_000: 6000, 240_000: 2500}  # of a full run, by size in bytes
QUICK_DIVISOR = 8
ENTRY_BYTES = 2_000  # size of the objects that fill the directory
COPY_BYTES = 20_000


@contextmanager
def front_testbed(keeps_copies: bool = False) -> Iterator[FrontTestbed]:
    """Run a front with its stand-ins; stop them and remove their folder at the end."""
    folder = new_folder()
    testbed = FrontTestbed(folder, keeps_copies=keeps_copies)
    try:
        yield testbed
    finally:
        try:
            testbed.close()
        finally:
            shutil.rmtree(folder, ignore_errors=True)


def request_cost(size: int, requests: int) -> list[Point]:
    """Measure the processor time of requests for objects of `size` bytes, none from the local cache."""
    with front_testbed() as testbed:
        testbed.request_all(testbed.fill_caches(0, WARM_UP, size), CONCURRENT_REQUESTS)
        object_ids = testbed.fill_caches(WARM_UP, requests, size)
        processor_s, started_at = testbed.process.processor_time(), now()
        testbed.request_all(object_ids, CONCURRENT_REQUESTS)
        processor_s, elapsed_s = testbed.process.processor_time() - processor_s, now() - started_at
    at = {"object_bytes": size}
    attempts = sum(cache.request_count for cache in testbed.caches) / (requests + WARM_UP)
    return [
        Point("attempts", "cache", "requests of a cache for one of a client", "1", at, attempts, COMMAND),
        Point("request", "front", "processor time of a request", "s", at, processor_s / requests, COMMAND),
        Point("requests a core", "front", "requests a core", "1/s", at, requests / processor_s, COMMAND),
        Point("bytes a core", "front", "bytes a core", "B/s", at, requests * size / processor_s, COMMAND),
        Point(
            "share of a core used",
            "front",
            "share of a core used",
            "core",
            at,
            processor_s / elapsed_s,
            COMMAND,
        ),
    ]


def directory_memory(sizes: tuple[int, ...]) -> list[Point]:
    """Measure resident memory by objects in the directory and object history, with an empty local cache."""
    points = []
    with front_testbed() as testbed:
        cached_count = 0
        for size in sizes:
            testbed.request_all(
                testbed.fill_caches(cached_count, size - cached_count, ENTRY_BYTES), CONCURRENT_REQUESTS
            )
            cached_count = size
            at = {"directory_entries": size}
            memory = testbed.process.memory()
            points.append(Point("memory by directory", "front", "memory", "B", at, memory, COMMAND))
    return points


def copies_memory(sizes: tuple[int, ...]) -> list[Point]:
    """Measure resident memory by bytes in the local cache, which admits an object at its second request."""
    points = []
    with front_testbed(keeps_copies=True) as testbed:
        cached_count = 0
        for size in sizes:
            object_ids = testbed.fill_caches(cached_count, size - cached_count, COPY_BYTES)
            testbed.request_all(object_ids, CONCURRENT_REQUESTS)
            testbed.request_all(object_ids, CONCURRENT_REQUESTS)
            cached_count = size
            at = {"copy_bytes": size * COPY_BYTES, "copies": size}
            memory = testbed.process.memory()
            points.append(Point("memory by copies", "front", "memory", "B", at, memory, COMMAND))
    return points


def descriptors(sizes: tuple[int, ...]) -> list[Point]:
    """Measure open descriptors by clients, with connections to all caches."""
    points = []
    with front_testbed() as testbed:
        testbed.request_all(testbed.fill_caches(0, WARM_UP, ENTRY_BYTES), min(sizes))
        for size in sizes:
            testbed.connect(size)
            testbed.request_all(testbed.fill_caches(WARM_UP + size, size, ENTRY_BYTES), size)
            at, count = {"clients": size, "caches": len(testbed.caches)}, testbed.process.descriptors()
            points.append(Point("descriptors", "front", "descriptors", "1", at, count, COMMAND))
            mean_connections = sum(len(cache.connections) for cache in testbed.caches) / len(testbed.caches)
            points.append(
                Point(
                    "cache connections", "cache", "connections of a front", "1", at, mean_connections, COMMAND
                )
            )
    return points


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Run all measurements of a front and fit their slopes."""
    divisor = QUICK_DIVISOR if quick else 1
    costs = [
        point
        for size, requests in REQUESTS_BY_OBJECT_SIZE.items()
        for point in request_cost(size, requests // divisor)
    ]
    memory = directory_memory((512, 1024) if quick else (1024, 2048, 4096, 8192))
    copies = copies_memory((256, 512) if quick else (512, 1024, 2048, 4096))
    counts = descriptors((8, 32) if quick else (8, 32, 64, 128))
    slopes = [
        fit_slope([point for point in costs if point.name == "request"], "object_bytes"),
        *fit_slopes_by_name(memory, "directory_entries"),
        *fit_slopes_by_name(copies, "copy_bytes"),
        *fit_slopes_by_name(counts, "clients"),
    ]
    return [*costs, *memory, *copies, *counts], slopes
