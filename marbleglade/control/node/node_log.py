"""The structured log of a control node."""

from __future__ import annotations

import time

import orjson

from ...runtime.json_log import Log
from ...runtime.units import MILLISECOND_NS


class NodeLog(Log):
    """A JSON log like that of a front, with the name of the control node in the field `node`."""

    def info(self, event: str, **fields: object) -> None:
        """Write one log line."""
        head = {"at": time.time_ns() // MILLISECOND_NS, "node": self.name, "event": event}
        self.write(orjson.dumps(head | fields, default=str, option=orjson.OPT_APPEND_NEWLINE))
