"""The events in the log of a process."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any


def broken_rules(counts: Mapping[str, int]) -> dict[str, int]:
    """The counters that must not occur in any process: exceptions and violated invariants."""
    prefixes = ("exception.", "violated_invariant.")
    return {name: count for name, count in counts.items() if name.startswith(prefixes)}


class LogFile:
    """A log file with one JSON object per line, to which a process may still be writing."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def events(self, **fields: object) -> list[dict[str, Any]]:
        """The events of all complete lines that have all given fields with the given values."""
        lines = self.path.read_bytes().rpartition(b"\n")[0].splitlines()
        return [event for event in map(json.loads, lines) if fields.items() <= event.items()]

    def last_value(self, field: str) -> object:
        """The value of a field in the last event that has it; None if no event has it."""
        return next((event[field] for event in reversed(self.events()) if field in event), None)
