"""Helpers of the cases 6 to 10: the record of a run, the processes that it starts, and a sound store for orders."""

from __future__ import annotations

import ctypes
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from hashlib import blake2b
from pathlib import Path

import gevent

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from marbleglade.protocols.cache_protocol import CacheStatus  # noqa: E402
from marbleglade.protocols.cache_server_protocol import encode_response  # noqa: E402
from marbleglade.testing.cache_server import StandInUpstream  # noqa: E402
from marbleglade.testing.client import Client  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 20, 21, 22  # `run.sh` turns them into 0, 1 and 2
PR_SET_PDEATHSIG = 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def end_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CouldNotRunError(Exception):
    """The case could not be set up; says nothing about the rule."""


class Run:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.time()
        self.file = (folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.path = Path(self.temporary.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: dict[str, Path] = {}
        self.broken: list[str] = []
        self.note("trouble" if TROUBLE else "no trouble")

    def note(self, text: str) -> None:
        self.file.write(f"{time.time() - self.started_at:8.3f} {text}\n")
        self.file.flush()

    def breach(self, text: str) -> None:
        self.broken.append(text)
        self.note("BROKEN " + text)

    def start(self, name: str, *arguments: str, environment: dict[str, str] | None = None) -> None:
        """Start the program with the command `run` of the deploy file, and arguments."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        command += "".join(" " + shlex.quote(one) for one in arguments)
        self.logs[name] = self.path / f"{name}.log"
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("MARBLEGLADE_")}
        with self.logs[name].open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=inherited | {"TMPDIR": str(self.path)} | (environment or {}),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.note(f"start {name}: {command}")

    def signal(self, name: str, number: signal.Signals) -> None:
        self.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def log_has(self, name: str, text: str, count: int = 1) -> bool:
        return self.logs[name].read_text().count(text) >= count

    def wait_for(self, what: str, condition, seconds: float = 30.0) -> None:
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CouldNotRunError(f"waited {seconds} s for: {what}")
            gevent.sleep(0.02)

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name, path in self.logs.items():
            lines = path.read_text(errors="replace").splitlines()
            self.file.write(f"-- log of {name}, last lines\n" + "".join(f"{one[:600]}\n" for one in lines[-12:]))
        self.file.close()
        self.temporary.cleanup()


def main(folder: Path, case) -> None:
    """Run `case(run)` and exit with a code of those above."""
    run = Run(folder)
    code = COULD_NOT_RUN
    runner = gevent.getcurrent()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, lambda: runner.throw(CouldNotRunError("ended by a signal")))
    try:
        with gevent.Timeout(110):
            case(run)
        code = BROKEN if run.broken else HELD
    except (CouldNotRunError, OSError, gevent.Timeout) as error:
        run.note(f"could not run: {error!r}")
    finally:
        run.note(f"{len(run.broken)} breaches")
        run.close()
    print({HELD: "held", BROKEN: "BROKEN"}.get(code, "could not run"), f"({len(run.broken)} breaches)", flush=True)
    os._exit(code)


class OrderStore(StandInUpstream):
    """A stand-in hub that runs orders as the store would; each answer belongs to one order and is not kept."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.runs: list[tuple[float, str, bytes]] = []
        self.answer_size = 0

    def _execute(self, request):
        body = bytes(request.body)
        self.runs.append((time.monotonic(), request.id, body))
        gevent.sleep(self.effect_seconds)
        answer = b"receipt of " + body
        answer += b"." * max(0, self.answer_size - len(answer))
        tag = blake2b(answer, digest_size=8).hexdigest()
        fields = {"entity": tag, "issued": str(self.clock() // 1_000_000)}
        return encode_response(request.id, CacheStatus.SERVED, fields, answer)


def use_order_stores(module) -> None:
    """Have the stand-in regions create `OrderStore`s as hubs and store."""
    module.StandInUpstream = OrderStore


def region_runs(region) -> list[tuple[float, str, bytes]]:
    """What the hubs and the store of a region ran, in order."""
    return sorted(one for hub in (*region.caches, region.origin) for one in hub.runs)


def start_gateways(run: Run, regions) -> Path:
    deployment = run.path / "two.textproto"
    deployment.write_text(regions.deployment_text())
    for region in regions.both:
        for name in region.gateways:
            run.start(name, "gateway", "--deployment", str(deployment), "--name", name)
    return deployment


def await_links(run: Run, regions, count: int) -> None:
    """Wait until each gateway logged `count` links as up."""
    for region in regions.both:
        for name in region.gateways:
            run.wait_for(f"links of {name}", lambda name=name: run.log_has(name, '"link.up"', count))


def connect(run: Run, address, seed: int) -> Client:
    clients: list[Client] = []

    def connected() -> bool:
        try:
            clients.append(Client(address, seed))
        except OSError:
            return False
        return True

    run.wait_for(f"connection to {address[1]}", connected)
    return clients[0]
