"""Fixtures for the tests of connections."""

import pytest

from marbleglade.policy.policy import Policy
from tests.harness.departure_front import DepartureFront


@pytest.fixture
def connections(front):
    """The registry of the front's client connections."""
    return front.client_listener.connections


@pytest.fixture
def start_front(monkeypatch):
    """A function that starts a front with a given policy; the front is closed after the test."""
    fronts = []

    def start(policy: type[Policy] = Policy) -> DepartureFront:
        fronts.append(DepartureFront(monkeypatch, policy))
        return fronts[0]

    yield start
    for front in fronts:
        front.close()
