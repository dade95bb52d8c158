"""Fixtures for the policy tests."""

import pytest

from tests.policy.policy_harness import PolicyHarness


@pytest.fixture
def create_harness():
    """Return the harness class; a test calls it with the policy parameters to override."""
    return PolicyHarness
