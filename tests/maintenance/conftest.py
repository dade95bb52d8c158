"""Fixtures of the maintenance tests."""

import gevent
import pytest

from benchmarks.maintenance.workers import MaintenanceWorkers
from tests.fleet.fleet_under_load import fleets_under_load
from tests.harness.waiting import wait_until

HEARTBEAT_MS = 200
LEASE_SECONDS = 6 * HEARTBEAT_MS / 1000


@pytest.fixture
def start_fleet(tmp_path):
    """Starts a fleet of front processes under load; their invariants are checked at its end."""
    with fleets_under_load(tmp_path) as start:
        yield start


@pytest.fixture
def start_maintenance(start_fleet):
    """Starts five fronts under load, and workers that maintain the machines that are out of service."""
    started = []

    def start():
        fleet, load = start_fleet(count=5, heartbeat_ms=HEARTBEAT_MS, with_maintenance=True, rate=8.0)
        workers = MaintenanceWorkers(fleet, load.mark_down, load.mark_up)
        started.append(workers)
        gevent.sleep(1.0)  # fronts give no vote for a lease after their start
        return fleet, load, workers

    yield start
    for workers in started:
        workers.loop.kill()
        # A front that is just starting can't be ended cleanly yet.
        wait_until(lambda workers=workers: not workers.busy, 15, interval=0.05)
        assert workers.requests_during_maintenance == 0, (
            "requests were sent to a cache during its maintenance"
        )
