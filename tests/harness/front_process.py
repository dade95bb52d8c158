"""A front that runs as a process: its configuration, log, counters and shutdown."""

from __future__ import annotations

import json
import os
import signal
import subprocess
from pathlib import Path
from typing import Any

from tests.harness.log_file import LogFile
from tests.harness.programs import POLL_SECONDS, end_process, start_program
from tests.harness.waiting import wait_until


class FrontProcess:
    """A front process; `configure` writes its configuration and `start` starts it.

    Args:
        folder: The directory of its configuration and its log.
        seconds: Time limit of each wait, far longer than the process needs.
        environment: Environment variables of the process in addition to those of the tests.
        optimize: Whether the process runs without assertions, as in production.
    """

    def __init__(
        self,
        folder: Path,
        seconds: float,
        environment: dict[str, str] | None = None,
        optimize: bool = True,
    ) -> None:
        self.folder, self.seconds, self.optimize = folder, seconds, optimize
        self.configuration_file = folder / "front.json"
        self.environment = {"GW_CONFIG": str(self.configuration_file)} | (environment or {})
        self.log = LogFile(folder / "front.log")
        self.started: subprocess.Popen[bytes] | None = None

    def configure(self, configuration: dict[str, Any]) -> None:
        """Writes the configuration file."""
        self.configuration_file.write_text(json.dumps(configuration))

    def start(self) -> None:
        """Starts the process, and returns without waiting for it to be ready."""
        with self.log.path.open("wb") as log:
            self.started = start_program(log, environment=self.environment, optimize=self.optimize)

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The process; `start` must have been called."""
        assert self.started
        return self.started

    def events(self, name: str) -> list[dict[str, Any]]:
        """The log events of one name."""
        return self.log.events(event=name)

    def counters_event(self) -> dict[str, Any]:
        """Sends SIGUSR1, and returns the `counters` event that the process then logs."""
        before = len(self.events("counters"))
        self.process.send_signal(signal.SIGUSR1)
        wait_until(lambda: len(self.events("counters")) > before, self.seconds, POLL_SECONDS)
        return self.events("counters")[-1]

    def counter(self, name: str) -> int:
        """The current value of a counter."""
        return int(self.counters_event()["counts"].get(name, 0))

    def logged_counter(self, name: str) -> int:
        """The value of a counter in the last `counters` event of the log."""
        return int(self.events("counters")[-1]["counts"].get(name, 0))

    def open_descriptors(self) -> int:
        """The number of open descriptors of the process without its connections to upstreams."""
        connections = int(self.counters_event()["upstream_connections"])
        return len(os.listdir(f"/proc/{self.process.pid}/fd")) - connections

    def in_flight(self) -> int:
        """The sum of open requests and of all the front's counts of attempts in flight; 0 if it is idle."""
        event = self.counters_event()
        attempts = sum(
            upstream["ordered"] + upstream["policy_in_flight"] + upstream["in_flight"]
            for upstream in event["upstreams"]
        )
        return int(attempts + event["open_requests"])

    def stop(self) -> int:
        """Shuts the process down gracefully, and returns its exit code."""
        self.process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.process.poll() is not None, self.seconds, POLL_SECONDS)
        return self.process.returncode

    def kill(self) -> None:
        """Kills the process if it has been started and still runs."""
        if self.started:
            end_process(self.started)
