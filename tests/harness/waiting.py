"""Waits for a condition, with a time limit."""

from collections.abc import Callable

import gevent

TIMEOUT_SECONDS = 2  # far longer than any step within one process takes
START_TIMEOUT_SECONDS = 20  # time limit for the start of a process, even while many others start


def wait_until(
    condition: Callable[[], object], seconds: float = TIMEOUT_SECONDS, interval: float = 0.001
) -> None:
    """Waits until a condition holds; checks it every `interval` seconds.

    Raises:
        gevent.Timeout: The condition did not hold within `seconds`.
    """
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(interval)
