"""Fixtures for tests that run control nodes as processes."""

import pytest

from tests.control.node.control_plane_processes import ControlPlaneProcesses


@pytest.fixture
def start_plane(tmp_path):
    planes = []

    def start(nodes=1, fronts=3, running=True):
        planes.append(ControlPlaneProcesses(tmp_path, nodes, fronts))
        if running:
            planes[-1].start()
        return planes[-1]

    yield start
    for plane in planes:
        plane.close()
