"""Fixtures for tests of a complete front under faults."""

import os
import signal
from contextlib import suppress

import pytest

from tests.harness.faulty_front import FaultyFront
from tests.harness.scripted_cache import ScriptedCache


@pytest.fixture
def start_front(tmp_path):
    """A function that starts a `FaultyFront` with the given caches; all of them are closed after the test."""
    started: list[FaultyFront] = []

    def start(*caches: ScriptedCache, **options: dict) -> FaultyFront:
        started.append(FaultyFront(tmp_path, *caches, **options))
        return started[-1]

    yield start
    for front in started:
        front.control.set("hold", 0)
        with suppress(ProcessLookupError):
            os.kill(front.process.pid, signal.SIGCONT)
        front.close()
