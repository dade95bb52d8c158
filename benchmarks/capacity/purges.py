"""Processor time of a purge by a front's state: directory, local cache, open requests and recent purges.

Purges are for objects that the front has no state of, like all but one in ten thousand. Sockets are left out.
The figure is the least of several runs, as that run was disturbed least by other work on the machine.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib.util import find_spec

from marbleglade.model.watch_event import Purge
from marbleglade.runtime import clock

from .fit import fit_slope
from .hosted_front import SocketlessFront, mean_processor_seconds, nth_object_id
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only purges"
PURGE_METHOD = "index" if find_spec("marbleglade.state.purge_index") else "scan"
"""How this tree finds the state of a purged object: before the purge index a front scanned all its state."""
FIRST_UNKNOWN_OBJECT = 1 << 40  # objects from this number on are unknown to the front
RUNS, PURGES_PER_RUN = 40, 10  # runs are short and many, so that some are not disturbed by other work


class PurgeCost:
    """Measures the cost of a purge at one front."""

    def __init__(self) -> None:
        self.front, self.next_object = SocketlessFront(), FIRST_UNKNOWN_OBJECT

    def purge_directory(self, _: int) -> None:
        """Have the policy apply a purge of an unknown object."""
        self.next_object += 1
        self.front.driver.handle_purge(nth_object_id(self.next_object), 0, clock.now())

    def purge_copies(self, _: int) -> None:
        """Have the local cache apply a purge of an unknown object."""
        self.next_object += 1
        self.front.local_cache.purge(nth_object_id(self.next_object), 0, clock.now())

    def purge_front(self, _: int) -> None:
        """Have the whole front apply a purge of an unknown object."""
        self.next_object += 1
        unix_ms = clock.to_unix_ms(clock.now())
        self.front.handler.events.apply(Purge(self.next_object, nth_object_id(self.next_object), 0, unix_ms))

    def least_mean(self, work: Callable[[int], object]) -> float:
        """Return the seconds of one call of `work`, the least of the means of several runs."""
        return min(mean_processor_seconds(work, PURGES_PER_RUN) for _ in range(RUNS))


def by_directory(size: int) -> Point:
    """Measure a purge at the policy with `size` objects in the directory."""
    cost = PurgeCost()
    for number in range(size):
        cost.front.serve(number)
    return _point(
        f"purge by {PURGE_METHOD} of directory",
        "directory_entries",
        size,
        cost.least_mean(cost.purge_directory),
        cost,
    )


def by_copies(size: int) -> Point:
    """Measure a purge at the local cache with `size` objects in it."""
    cost = PurgeCost()
    for number in range(size):
        cost.front.cache_object(number, b"x")
    return _point(
        f"purge by {PURGE_METHOD} of copies", "copies", size, cost.least_mean(cost.purge_copies), cost
    )


def by_open_requests(size: int) -> Point:
    """Measure a purge with `size` open requests that have a cached response, and an empty local cache."""
    cost = PurgeCost()
    for number in range(size):
        cost.front.open_request(number)
    cost.front.local_cache.objects.clear()
    seconds = cost.least_mean(cost.purge_front)
    return _point(f"purge by {PURGE_METHOD} of open requests", "open_requests", size, seconds, cost)


def by_recent_purges(size: int) -> Point:
    """Measure a purge after `size` recent ones, as after a disconnection between regions."""
    cost = PurgeCost()
    for _ in range(size):
        cost.purge_front(0)
    seconds = min(mean_processor_seconds(cost.purge_front, 16) for _ in range(RUNS))
    return _point(f"purge by {PURGE_METHOD} of recent purges", "recent_purges", size, seconds, cost)


def _point(name: str, size: str, at: int, seconds: float, cost: PurgeCost) -> Point:
    cost.front.close()
    return Point(name, "front", "processor time of a purge", "s", {size: at}, seconds, COMMAND)


MEASUREMENTS = (
    (by_directory, "directory_entries", (1024, 2048, 4096, 8192)),
    (by_copies, "copies", (1000, 4000, 16000)),
    (by_open_requests, "open_requests", (100, 1000, 4000)),
    (by_recent_purges, "recent_purges", (100, 400, 1600, 6400)),
)


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Run all measurements of a purge and fit their slopes."""
    points, slopes = [], []
    for measure, size, sizes in MEASUREMENTS:
        found = [measure(one) for one in (sizes[:2] if quick else sizes)]
        points += found
        slopes.append(fit_slope(found, size))
    return points, slopes
