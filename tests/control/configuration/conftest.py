"""Fixtures for tests of configuration among control nodes."""

import pytest

from tests.control.configuration.proxied_nodes import ProxiedNodes


@pytest.fixture
def nodes(tmp_path):
    proxied_nodes = ProxiedNodes(tmp_path)
    yield proxied_nodes
    proxied_nodes.close()
