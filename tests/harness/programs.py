"""Starts and ends the program as a process."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from subprocess import CompletedProcess
from typing import IO, NamedTuple

from marbleglade.testing.sockets import address_text
from tests.harness.servers import LineServer, bound_socket
from tests.harness.settings import front_configuration
from tests.harness.waiting import START_TIMEOUT_SECONDS, wait_until

ROOT = Path(__file__).parents[2]  # root directory of the checkout
POLL_SECONDS = 0.01


def program_command(*arguments: object, optimize: bool = True) -> list[str]:
    """The command line that starts the program; `optimize` disables assertions, as in production."""
    return [sys.executable, *["-O"] * optimize, "-m", "marbleglade", *map(str, arguments)]


def start_process(
    command: list[str],
    stderr: IO[bytes] | int,
    environment: dict[str, str],
    stdout: IO[bytes] | None = None,
    folder: Path | None = None,
) -> subprocess.Popen[bytes]:
    """Starts a process; `environment` is added to that of the tests without MARBLEGLADE_CONTROL."""
    inherited = {name: value for name, value in os.environ.items() if name != "MARBLEGLADE_CONTROL"}
    return subprocess.Popen(command, stderr=stderr, stdout=stdout, env=inherited | environment, cwd=folder)


def start_program(
    stderr: IO[bytes] | int,
    *arguments: object,
    environment: dict[str, str] | None = None,
    optimize: bool = True,
) -> subprocess.Popen[bytes]:
    """Starts the program."""
    return start_process(program_command(*arguments, optimize=optimize), stderr, environment or {})


def run_program(
    *arguments: object, seconds: float = 60.0, environment: dict[str, str] | None = None
) -> CompletedProcess[str]:
    """Runs the program with assertions until it exits, while servers in the test process continue to run.

    Raises:
        gevent.Timeout: The program did not exit within `seconds`; it is killed.
    """
    with tempfile.TemporaryFile() as stdout, tempfile.TemporaryFile() as stderr:
        command = program_command(*arguments, optimize=False)
        process = start_process(command, stderr, environment or {}, stdout)
        try:
            wait_until(lambda: process.poll() is not None, seconds, POLL_SECONDS)
        finally:
            end_process(process)
        texts = []
        for stream in (stdout, stderr):
            stream.seek(0)
            texts.append(stream.read().decode())
        return CompletedProcess(command, process.returncode, *texts)


def end_process(process: subprocess.Popen[bytes]) -> None:
    """Kills a process if it still runs."""
    process.kill()
    process.wait()


class StartedFront(NamedTuple):
    """A front process, with stand-ins for its cache and its discovery service."""

    process: subprocess.Popen[bytes]
    listen_address: tuple[str, int]
    cache: LineServer
    discovery: LineServer


def start_with_piped_log(environment: dict[str, str]) -> subprocess.Popen[bytes]:
    """Starts a front that logs to a pipe."""
    return start_program(subprocess.PIPE, environment=environment)


@contextmanager
def started_front(
    folder: Path,
    changes: dict[str, object],
    start: Callable[[dict[str, str]], subprocess.Popen[bytes]] = start_with_piped_log,
) -> Iterator[StartedFront]:
    """Starts a front with `start`, which is called with the environment variables of the process.

    `changes` replaces entries of its configuration, which is written to the file `c.json`.
    """
    cache, discovery = LineServer(), LineServer()
    with bound_socket() as reserved:
        listen_address = reserved.getsockname()
    updates = front_configuration()["known"]["updates"]
    for server in updates[0]["endpoints"]["servers"]:
        server["addr"] = address_text(cache.address)
    configuration = front_configuration(
        listen=address_text(listen_address),
        coordinator=address_text(discovery.address),
        known={"index": 2, "updates": updates},
    )
    path = folder / "c.json"
    path.write_text(json.dumps(configuration | changes))
    process = start({"GW_CONFIG": str(path)})
    discovery.wait_for_lines(1, START_TIMEOUT_SECONDS)
    yield StartedFront(process, listen_address, cache, discovery)
    end_process(process)
    cache.close()
    discovery.close()
