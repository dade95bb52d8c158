"""Worker processes of the scale run, with commands on standard input and replies on standard output."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TypeVar

import gevent
from gevent.fileobject import FileObject
from gevent.lock import Semaphore

from .messages.codec import decode, encode
from .messages.common import Done, Failed, Ready

LIFETIME_S = 1200.0  # a worker exits after this time in any case
REPLY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 5.0  # from closing the input of a worker until it is killed
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

ReplyT = TypeVar("ReplyT")


class WorkerError(Exception):
    """A worker ended, did not reply in time, sent an unexpected reply, or failed to execute a command."""


class Worker:
    """The scale run's side of one worker process.

    Args:
        module: Module of `benchmarks.scale` that the worker runs.
        arguments: Command line arguments of the worker.
    """

    def __init__(self, module: str, *arguments: str) -> None:
        self.name = module
        self.log = tempfile.TemporaryFile()  # noqa: SIM115, `stop` closes it
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", f"benchmarks.scale.{module}", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
        )
        self.commands = FileObject(self.process.stdin, "wb")
        self.replies = FileObject(self.process.stdout, "rb")
        self.lock = Semaphore()

    @property
    def pid(self) -> int:
        """Process id of the worker."""
        return self.process.pid

    def wait_until_ready(self, timeout_s: float = REPLY_TIMEOUT_S) -> Ready:
        """Wait for the worker's first line. Raises `WorkerError`."""
        return self._reply(Ready, timeout_s)

    def execute(self, command: object, timeout_s: float = REPLY_TIMEOUT_S) -> None:
        """Send a command that has no result and wait until it is executed. Raises `WorkerError`."""
        self.request(command, Done, timeout_s)

    def request(
        self, command: object, reply_type: type[ReplyT], timeout_s: float = REPLY_TIMEOUT_S
    ) -> ReplyT:
        """Send a command and return its reply. Raises `WorkerError`, also if the reply has another type."""
        with self.lock:
            try:
                self.commands.write(encode(command))
                self.commands.flush()
            except OSError as error:
                raise WorkerError(f"{self.name} has ended: {self.log_tail()}") from error
            return self._reply(reply_type, timeout_s)

    def _reply(self, reply_type: type[ReplyT], timeout_s: float) -> ReplyT:
        line = None
        with gevent.Timeout(timeout_s, False):
            line = self.replies.readline()
        if not line:
            raise WorkerError(
                f"{self.name}: {'no reply' if line is None else 'ended'}, log: {self.log_tail()}"
            )
        reply = decode(line)
        if isinstance(reply, Failed):
            raise WorkerError(f"{self.name}: {reply.reason}")
        if not isinstance(reply, reply_type):
            raise WorkerError(f"{self.name}: expected {reply_type.__name__}, received {reply!r}")
        return reply

    def log_tail(self) -> str:
        """Return the end of the worker's standard error."""
        self.log.seek(max(0, self.log.seek(0, os.SEEK_END) - 600))
        return self.log.read().decode("utf-8", "replace").strip()

    def stop(self) -> None:
        """Close the worker's input, and kill the worker if it does not exit in time."""
        with suppress(OSError):
            self.commands.close()
        end = time.monotonic() + STOP_TIMEOUT_S
        while self.process.poll() is None and time.monotonic() < end:
            gevent.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        with suppress(OSError):
            self.replies.close()
        self.log.close()


def serve(ready: object, handle: Callable[[object], object | None]) -> None:
    """Run the worker's side: send `ready`, reply to each command, and return when the input ends."""
    commands = FileObject(sys.stdin.buffer, "rb", close=False)
    replies = FileObject(sys.stdout.buffer, "wb", close=False)
    gevent.spawn_later(LIFETIME_S, os._exit, 3)
    replies.write(encode(ready))
    replies.flush()
    while line := commands.readline():
        try:
            reply = handle(decode(line)) or Done()
        except Exception as error:
            reply = Failed(repr(error))
        data = encode(reply)
        replies.write(data)
        replies.flush()


def memory_of(pid: int) -> int:
    """Return the resident bytes of a process; 0 if it has ended."""
    with suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    return 0


def cpu_of(pid: int) -> float:
    """Return the processor seconds of a process so far; 0.0 if it has ended."""
    with suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return 0.0
