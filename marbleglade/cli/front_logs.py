"""Reads the logs of fronts for the commands that show the last state of each front."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

LogRecord = dict[str, Any]  # the fields of one log line, by name


def last_states(logs: Iterable[str], select_fields: Callable[[LogRecord], LogRecord]) -> dict[str, LogRecord]:
    """Return the last state of each front, by front name.

    Args:
        logs: Paths of log files. A file may contain the records of several fronts.
        select_fields: Function that returns the fields of a record that belong to the state. The result is
            empty if the record has no such fields.

    Returns:
        By front name, the selected fields of all its records. Later records override earlier ones. The field
        `at` is the Unix time in milliseconds of the last record that had selected fields.
    """
    states: dict[str, LogRecord] = {}
    for path in logs:
        for line in Path(path).read_bytes().splitlines():
            try:
                record = json.loads(line)
                front, fields = record["front"], select_fields(record)
            except (ValueError, KeyError, TypeError):
                continue  # the line was truncated by a kill, or another program wrote it
            if fields:
                states.setdefault(front, {}).update(fields | {"at": record.get("at", 0)})
    return states
