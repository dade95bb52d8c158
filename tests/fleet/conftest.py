"""Fixtures for tests of the fleet."""

import pytest

from tests.fleet.fleet_under_load import fleets_under_load


@pytest.fixture
def start_fleet(tmp_path):
    """Starts fleets of processes under load, and checks their invariants at the end."""
    with fleets_under_load(tmp_path) as start:
        yield start
