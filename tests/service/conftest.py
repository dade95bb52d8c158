"""Fixture for tests that run fronts as processes, with scripted caches as upstreams."""

from __future__ import annotations

import itertools

import gevent
import pytest

from tests.harness.front_with_caches import FrontWithCaches


@pytest.fixture
def start_front(tmp_path):
    """Return a function that starts a front; the fronts are closed at the end of the test."""
    fronts: list[FrontWithCaches] = []
    numbers = itertools.count(1)

    def start(*parts: object, **more: object) -> FrontWithCaches:
        folder = tmp_path / f"front{next(numbers)}"
        folder.mkdir()
        front = FrontWithCaches(folder, *parts, **more)
        fronts.append(front)
        return front

    yield start
    gevent.joinall([gevent.spawn(front.close) for front in fronts], raise_error=True)
