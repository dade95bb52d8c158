"""Log with bound fields, based on structlog. All programs use it except the front."""

from __future__ import annotations

import time
from collections.abc import MutableMapping
from typing import Any

import orjson
import structlog

from .counters import Counters
from .json_log import Log
from .units import MILLISECOND_NS


def _add_time(_logger: object, _method: str, event: MutableMapping[str, Any]) -> dict[str, Any]:
    return {"at": time.time_ns() // MILLISECOND_NS, **event}


def _encode_line(_logger: object, _method: str, event: MutableMapping[str, Any]) -> bytes:
    line: bytes = orjson.dumps(event, default=str, option=orjson.OPT_APPEND_NEWLINE)
    return line


class _Sink:
    """The logger to which structlog passes encoded lines; it never blocks."""

    def __init__(self, log: Log) -> None:
        self.msg = log.write


class StructlogLog(Log):
    """A `Log` with fields bound to it, as in `link_log = log.bind(link="west-1")`.

    Args:
        name: Name of the process, written in the field `front` of each line.
        counters: Counts dropped lines.
        debug: Whether events passed to `debug` are written too.
        sink: File descriptor to write to; None for standard error.
    """

    def __init__(self, name: str, counters: Counters, debug: bool = False, sink: int | None = None) -> None:
        super().__init__(name, counters, debug, sink)
        self.logger = structlog.wrap_logger(
            _Sink(self),
            processors=[_add_time, _encode_line],
            wrapper_class=structlog.BoundLoggerBase,
            context_class=dict,
            cache_logger_on_first_use=True,
        ).bind(front=name)

    def info(self, event: str, **fields: object) -> None:
        """Write an event, with the bound fields."""
        self.logger._proxy_to_logger("msg", event, **fields)

    def bind(self, **fields: object) -> StructlogLog:
        """Return a log with the same sink and counters that adds these fields to each line."""
        bound = object.__new__(StructlogLog)
        bound.__dict__.update(self.__dict__)
        bound.logger = self.logger.bind(**fields)
        return bound
