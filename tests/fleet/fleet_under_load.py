"""A fleet of front processes, with a stream of requests at each front."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import gevent

from benchmarks.fleet_load import FleetLoad
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.front_fleet import FrontFleet

FRONTS = 6
REQUESTS_PER_SECOND = 12.0  # at each front
SETTLE_SECONDS = 2.0  # until caches are filled, and all fronts have their members and a load view


class FleetUnderLoad(NamedTuple):
    """The processes of a fleet, and the load on them."""

    fleet: FrontFleet
    load: FleetLoad


StartFleet = Callable[..., FleetUnderLoad]


@contextmanager
def fleets_under_load(folder: Path) -> Iterator[StartFleet]:
    """Yield a function that starts a fleet under load.

    At the end it checks that no response was lost, duplicated, stale or corrupted,
    that clients and fronts report no faults, and that no cache or parent crashed.
    """
    started: list[FleetUnderLoad] = []

    def start(
        count: int = FRONTS,
        rate: float = REQUESTS_PER_SECOND,
        rates: list[float] | None = None,
        **options: Any,
    ) -> FleetUnderLoad:
        fleet = FrontFleet(count, folder, 11, **options)
        fleet.wait_until_ready()
        started.append(FleetUnderLoad(fleet, FleetLoad(fleet, 5, rates or [rate] * count)))
        gevent.sleep(SETTLE_SECONDS)
        return started[-1]

    yield start
    for fleet, load in started:
        protocol_errors = load.finish()
        faults = fleet.close()
        assert not faults
        assert not protocol_errors
        results = load.results
        assert results.lost == results.duplicates == results.stale == results.corrupted == 0, results.notes
        assert not any(upstream.crashed for upstream in (*fleet.caches, *fleet.parents))


def fleet_status(fleet: FrontFleet, number: int) -> dict[str, Any]:
    """Have a front log its counters, and return the fleet status in them."""
    return fleet.counters_event(number)["fleet"]


def fleet_statuses(fleet: FrontFleet) -> list[dict[str, Any]]:
    """Have each front log its counters, and return the fleet statuses in them."""
    return [fleet_status(fleet, number) for number in range(fleet.count)]


def leaders_of(fleet: FrontFleet) -> list[int]:
    """Return the numbers of the fronts that compute the load view, by their own status."""
    statuses = fleet_statuses(fleet)
    return [number for number, status in enumerate(statuses) if status["leadership"]["is_leader"]]


def requests_since(upstream: StandInUpstream, since: float) -> int:
    """Return the number of requests that an upstream has received since a time of `time.monotonic`, s."""
    return sum(received_at > since for received_at in upstream.request_times)
