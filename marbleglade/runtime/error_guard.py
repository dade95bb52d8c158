"""Guard that confines an unexpected exception to the operation that raised it."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from .counters import Counters
from .json_log import Log


class ErrorGuard:
    """Counts and logs unexpected exceptions.

    Args:
        counters: Counts each exception under `exception.WHERE`.
        log: Receives an event `exception` for each exception.
    """

    def __init__(self, counters: Counters, log: Log) -> None:
        self.counters = counters
        self.log = log

    def record(self, where: str, error: BaseException) -> None:
        """Count an exception, and log it with the file and line that raised it."""
        self.counters.add(f"exception.{where}")
        raised_at = traceback.extract_tb(error.__traceback__)[-1]
        self.log.info(
            "exception", where=where, error=repr(error), file=raised_at.filename, line=raised_at.lineno
        )

    def call(self, where: str, function: Callable[..., object], *arguments: object) -> object:
        """Call a function and return its result; if it raises an exception, record that and return None."""
        try:
            return function(*arguments)
        except Exception as error:
            self.record(where, error)
            return None
