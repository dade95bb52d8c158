"""Worker process that polls the status of the control nodes like `control status`.

It reports each purge once, with the time at which the status first showed it as applied everywhere.
Argument: the settings file.
"""

from __future__ import annotations

import sys
import time
from dataclasses import replace

import gevent

from marbleglade.control.settings import read
from marbleglade.control.status.merge import merge
from marbleglade.control.status.query import query_all

from .messages.common import Collect, Ready
from .messages.status import ConfirmedPurge, StatusReport
from .worker import serve

POLL_INTERVAL_S = 0.5  # between two polls
ANSWER_TIMEOUT_S = 1.0  # for the status of each node


class StatusWatch:
    """Polls the status of the control plane."""

    def __init__(self, path: str) -> None:
        self.settings = read(path)
        self.seen: set[tuple[int, int, int]] = set()
        self.report = StatusReport([], 0, 0, 0, [])
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._poll()
            gevent.sleep(POLL_INTERVAL_S)

    def _poll(self) -> None:
        answers = query_all(self.settings, ANSWER_TIMEOUT_S)
        polled_us = time.time_ns() // 1000
        status = merge(self.settings, answers)
        for purge in status.purges:
            identity = purge.identity.object_id, purge.identity.group, purge.identity.unix_ms
            if not purge.missing_fronts.count and identity not in self.seen:
                self.seen.add(identity)
                duration_ms = -1 if purge.duration_ms is None else purge.duration_ms
                self.report.confirmed.append(ConfirmedPurge(*identity, polled_us, duration_ms))
        configuration = status.configuration
        self.report.connected, self.report.absent = status.connected_count, status.absent_fronts.count
        self.report.version = configuration.version
        self.report.refused = [one.front for one in configuration.rejections]

    def handle(self, command: object) -> object | None:
        """Return the reply to `Collect`: purges confirmed since the last report and the latest status."""
        if not isinstance(command, Collect):
            raise TypeError(f"unknown command: {command!r}")
        report = self.report
        self.report = replace(report, confirmed=[])
        return report


if __name__ == "__main__":
    serve(Ready(), StatusWatch(sys.argv[1]).handle)
