"""What the cases of the third review share: programs as processes, the record, and the end of a run."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

import gevent  # noqa: E402

LIMIT_SECONDS = 112
HARD_LIMIT_SECONDS = 117  # ends a run whose event loop hangs
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseNotRunError(Exception):
    """The case could not run; the text says why."""


class Case:
    """One run of a case.

    Attributes:
        trouble: False if the run is without the disruption (TROUBLE=0).
        folder: A temporary folder for settings files and logs.
        processes: The started programs, by name.
    """

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._began = time.monotonic()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._command = tomllib.load(file)["run"]
        self.note(f"trouble {int(self.trouble)}")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    def file(self, name: str, text: str) -> str:
        """Write a settings file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def start(self, name: str, arguments: str = "", environment: dict[str, str] | None = None) -> None:
        """Start the program with the command of the deploy file and further arguments."""
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("MARBLEGLADE_")}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["/bin/sh", "-c", f"{self._command} {arguments}"],
                cwd=ROOT,
                env=inherited | {"TMPDIR": str(self.folder)} | (environment or {}),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note(f"started {name}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a program that this case started."""
        self.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return what a program has logged so far."""
        with suppress(FileNotFoundError):
            return (self.folder / f"{name}.log").read_text(errors="replace")
        return ""

    def wait(self, condition: Callable[[], object], what: str, seconds: float = 30.0) -> None:
        """Wait until a condition holds.

        Raises:
            CaseNotRunError: It does not hold in time.
        """
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CaseNotRunError(f"not in time: {what}")
            gevent.sleep(0.02)

    def end(self) -> None:
        """End all started programs."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for name in self.processes:
            for line in self.log(name).splitlines()[-400:]:
                if '"exception"' in line or "Traceback" in line:
                    self.note(f"log of {name}: {line}")
        self._record.close()


def _end_at_once(case: Case) -> None:
    """Kill all started programs and exit, whatever the event loop does."""
    for process in list(case.processes.values()):
        with suppress(OSError):
            os.kill(process.pid, signal.SIGKILL)
    shutil.rmtree(case.folder, ignore_errors=True)
    os._exit(NOT_RUN)


def run_case(file: str, body: Callable[[Case], bool]) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    case = Case(Path(file).resolve().parent)
    code = NOT_RUN
    watchdog = threading.Timer(HARD_LIMIT_SECONDS, _end_at_once, [case])
    watchdog.daemon = True
    watchdog.start()
    ended = CaseNotRunError("ended by a signal")
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gevent.kill, gevent.getcurrent(), ended)
    try:
        with gevent.Timeout(LIMIT_SECONDS):
            code = HELD if body(case) else BROKEN
    except CaseNotRunError as error:
        case.note(f"not run: {error}")
        print(f"not run: {error}", file=sys.stderr)
    except (Exception, gevent.Timeout) as error:
        case.note(f"not run: {error!r}")
        print(f"not run: {error!r}", file=sys.stderr)
    finally:
        case.note({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
        if os.environ.get("KEEP"):
            print(case.folder)
        case.end()
        if not os.environ.get("KEEP"):
            shutil.rmtree(case.folder, ignore_errors=True)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
