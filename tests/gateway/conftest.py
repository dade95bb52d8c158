"""Fixtures for the tests of gateways."""

import pytest

from marbleglade.testing.regions import StandInRegions
from tests.harness.regions import LINK
from tests.harness.waiting import wait_until


@pytest.fixture
def west_gateways_stopped(two_regions):
    """Two regions whose west gateways are stopped, so that a test can connect to the east in their names."""
    for name in ("west-1", "west-2"):
        two_regions.kill(name)
    wait_until(lambda: not two_regions.gateways["east-1"].components.responder.peers)
    return two_regions


@pytest.fixture
def stand_in_regions(tmp_path):
    """The stand-in servers of two regions without gateways, and the path of the deployment file."""
    regions = StandInRegions(LINK)
    path = tmp_path / "two_regions.textproto"
    path.write_text(regions.deployment_text())
    yield regions, str(path)
    regions.close()
