"""Fixtures of the tests of a front's control plane client."""

import pytest

from tests.control.front_client.client_harness import ClientHarness


@pytest.fixture
def make_client(tmp_path):
    """Creates client harnesses, and closes them after the test."""
    harnesses = []
    with (tmp_path / "log").open("ab") as sink:

        def make(count=2, **options):
            harnesses.append(ClientHarness(sink, count, **options))
            return harnesses[-1]

        yield make
        for harness in harnesses:
            harness.close()
