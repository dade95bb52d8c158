"""Processes of the program that a benchmark runs: their logs, counters, processor time and memory."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

from marbleglade.testing.object_store import NS_PER_MS, RegionClock

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STOP_TIMEOUT_S = 6
KILLED = -9


LogEvent = dict[str, Any]  # one line of a log: the event name and its fields


def now() -> float:
    """Return monotonic seconds; the event loop's own time does not advance while a greenlet runs."""
    return time.monotonic()


def processor_time_of(pid: int) -> float:
    """Return the seconds of processor time that a process has used. Raises `OSError` if it has ended."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_of(pid: int) -> int:
    """Return the resident memory of a process in bytes. Raises `OSError` if it has ended."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def new_folder() -> Path:
    """Create a temporary folder for configurations and logs, and return its path."""
    return Path(tempfile.mkdtemp(prefix="marbleglade-bench-"))


class ProgramProcess:
    """A process of the program that can be restarted; each start writes its own log file.

    Args:
        name: Prefix of the names of its log files.
        arguments: Command line arguments of the program.
        folder: Folder of its log files.
        clock: Clock of its region; without one, the clock has no error.
        environ: Environment variables in addition to those of this process.

    Attributes:
        arguments: Command line arguments of the program.
        command: The complete command of the process.
        running: The process of the latest start.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        folder: Path,
        clock: RegionClock | None = None,
        environ: dict[str, str] | None = None,
    ) -> None:
        self.name, self.folder = name, folder
        error = [clock.offset / NS_PER_MS, clock.drift * 1e6, clock.start] if clock else [0, 0, 0]
        program = [sys.executable, "-O", "-m", "benchmarks.with_region_clock"]
        self.arguments = arguments
        self.command = [*program, *map(str, error), *arguments]
        self._environ = os.environ | (environ or {})
        self._start_count = 0
        self.start()

    def start(self) -> None:
        """Start the process with a new log file."""
        self._start_count += 1
        with (self.folder / f"{self.name}.{self._start_count}.log").open("wb") as log:
            self.running = subprocess.Popen(self.command, stderr=log, stdout=log, env=self._environ)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.running.poll() is None

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.running.send_signal(number)

    def kill(self) -> None:
        """Kill the process, and wait until it has ended."""
        self.running.kill()
        self.running.wait()

    def stop(self) -> int:
        """Send SIGTERM, and kill the process if it runs on for 6 s; return its exit code."""
        with suppress(ProcessLookupError):
            self.signal(signal.SIGTERM)
        try:
            return self.running.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return KILLED

    def processor_time(self) -> float:
        """Return the seconds of processor time used since the latest start."""
        return processor_time_of(self.running.pid)

    def memory(self) -> int:
        """Return the resident memory in bytes."""
        return memory_of(self.running.pid)

    def log_events(self) -> list[LogEvent]:
        """Return the events that all starts logged, except lines that a kill truncated."""
        return [event for path in self._logs() for event in _read_log(path)]

    def counters(self) -> Counter[str]:
        """Return the sum of the last logged counters of all starts; SIGUSR1 makes the process log them."""
        total: Counter[str] = Counter()
        for path in self._logs():
            logged = [event["counts"] for event in _read_log(path) if event.get("event") == "counters"]
            total.update(logged[-1] if logged else {})
        return total

    def _logs(self) -> list[Path]:
        return sorted(self.folder.glob(f"{self.name}.*.log"))


class UnwrappedProcess(ProgramProcess):
    """A process of the program without the clock-shifting wrapper, for measurements of processor time."""

    def start(self) -> None:
        """Start the process without the wrapper."""
        self.command = [sys.executable, "-O", "-m", "marbleglade", *self.arguments]
        super().start()


def _read_log(path: Path) -> list[LogEvent]:
    events = []
    for line in path.read_bytes().splitlines():
        with suppress(ValueError):
            events.append(json.loads(line))
    return events
