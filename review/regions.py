"""Two regions for the cases: gateways as separate processes, and small stand-ins on loopback.

`run_case` runs a case and exits with its status; it is used by all cases.

The discovery service, the TCP proxies and the client are the project's own stand-ins
(`marbleglade/testing`). `Ledger` is a stand-in server of the caches' protocol that runs work.
"""

from __future__ import annotations

import hashlib
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import NoReturn

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import gevent  # noqa: E402
from gevent import socket  # noqa: E402

from marbleglade.protocols.cache_protocol import CacheStatus, InvalidLineError, UpstreamRequest  # noqa: E402
from marbleglade.protocols.cache_server_protocol import (  # noqa: E402
    CancelRequest,
    HealthCheck,
    InvalidUpstreamRequest,
    RequestDecoder,
    encode_response,
)
from marbleglade.testing.client import Client, ClientResponse  # noqa: E402
from marbleglade.testing.discovery_service import DiscoveryService  # noqa: E402
from marbleglade.testing.sockets import LOOPBACK_HOST, address_text, free_port, listening_socket  # noqa: E402
from marbleglade.testing.tcp_proxy import TcpProxy  # noqa: E402

READY_SECONDS = 20.0
CASE_SECONDS = 100.0
EXIT_CODE_OF_OK = 10


class Record:
    """Writes what was sent, answered and run to `record.txt` beside the script, in seconds from the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def __call__(self, text: str) -> None:
        """Write one line."""
        print(f"{time.monotonic() - self.started:8.3f} {text}", file=self.file, flush=True)


class Ledger:
    """One machine of a region that runs the work it is sent.

    Args:
        id: Name of the machine in the endpoint list.
        handle: Runs a request and returns the bytes of the answer, None for no answer, or raises
            `ConnectionResetError` to reset the connection in place of the answer.
    """

    def __init__(self, id: str, handle: Callable[[Ledger, UpstreamRequest], bytes | None]) -> None:
        self.id = id
        self.handle = handle
        self.listener = listening_socket()
        self.address = self.listener.getsockname()
        self.loop = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.spawn(self._read, sock)

    def _read(self, sock: socket.socket) -> None:
        decoder = RequestDecoder()
        open_requests: dict[str, gevent.Greenlet] = {}
        with suppress(OSError, InvalidLineError):
            while data := sock.recv(65536):
                for message in decoder.feed(data):
                    if isinstance(message, CancelRequest):
                        open_requests.pop(message.id, None)  # what has begun runs to its end, unanswered
                    elif isinstance(message, HealthCheck):
                        sock.sendall(encode_response(message.id, CacheStatus.HEALTHY, {}))
                    elif isinstance(message, InvalidUpstreamRequest):
                        sock.sendall(encode_response(message.id, CacheStatus.FAILED, {}))
                    else:
                        open_requests[message.id] = gevent.spawn(self._answer, sock, message, open_requests)
        sock.close()

    def _answer(
        self, sock: socket.socket, request: UpstreamRequest, open_requests: dict[str, gevent.Greenlet]
    ) -> None:
        with suppress(OSError):
            try:
                data = self.handle(self, request)
            except ConnectionResetError:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
                return
            if data is not None and open_requests.pop(request.id, None):
                sock.sendall(data)

    def close(self) -> None:
        """Stop listening."""
        self.loop.kill()
        self.listener.close()


def served(request: UpstreamRequest, body: bytes) -> bytes:
    """Return the answer `HIT` with its tag and time of issue, as the protocol page asks."""
    tag = hashlib.blake2b(body, digest_size=8).hexdigest()
    fields = {"entity": tag, "issued": str(time.time_ns() // 1_000_000)}
    return encode_response(request.id, CacheStatus.SERVED, fields, body)


class Regions:
    """Regions east and west: gateways, proxies between them, discovery services, machines.

    Args:
        record: Writes the record.
        machines: The machines of each region, with their kinds.
        more: The deployment's routes, profiles, limits and rules.
        gateways: Number of gateways in each region.
    """

    def __init__(
        self, record: Record, machines: dict[str, list[tuple[Ledger, str]]], more: str, gateways: int = 2
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.machines = machines
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.client_ports: dict[str, int] = {}
        self.proxies: dict[str, TcpProxy] = {}
        self.discovery: dict[str, DiscoveryService] = {}
        self.clients = 0
        text = ""
        for region in ("east", "west"):
            service = self.discovery[region] = DiscoveryService()
            service.announce(machines[region], full_list=True)
            rows = ""
            for number in range(1, gateways + 1):
                name = f"{region}-{number}"
                clients, places, links = (free_port() for _ in range(3))
                self.client_ports[name] = clients
                proxy = self.proxies[name] = TcpProxy((LOOPBACK_HOST, links))
                rows += (
                    f'  gateways {{ name: "{name}" clients: "{LOOPBACK_HOST}:{clients}" '
                    f'places: "{LOOPBACK_HOST}:{places}" links: "{LOOPBACK_HOST}:{links}" '
                    f'reached_at: "{address_text(proxy.address)}" }}\n'
                )
            text += (
                f'regions {{\n  name: "{region}" coordinator: "{address_text(service.address)}" '
                f'zone: "hubs" hub_kind: "hub" store_kind: "store"\n{rows}}}\n'
            )
        self.deployment = self.folder / "gateway.textproto"
        self.deployment.write_text(text + more)

    def start(self, name: str) -> None:
        """Start a gateway with the command of the README, as a process of its own."""
        python = (
            f"exec .venv/bin/python -O -m marbleglade gateway --deployment {self.deployment} --name {name}"
        )
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(["/bin/sh", "-c", python], cwd=ROOT, stderr=log, stdout=log)
        self.record(f"start gateway {name}")

    def start_all(self) -> None:
        """Start all gateways and wait until their links are up."""
        for name in self.client_ports:
            self.start(name)
        self.wait_for_links(len(self.client_ports) // 2)

    def wait_for_links(self, per_gateway: int) -> None:
        """Wait until each gateway has logged `link.up` for each gateway of the other region."""
        until = time.monotonic() + READY_SECONDS
        while any(self.log_text(name).count('"link.up"') < per_gateway for name in self.processes):
            if time.monotonic() > until:
                raise RuntimeError("the links did not come up")
            gevent.sleep(0.05)
        gevent.sleep(0.3)

    def log_text(self, name: str) -> str:
        """Return the log of a gateway."""
        return (self.folder / f"{name}.log").read_text()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a gateway."""
        self.record(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def client(self, name: str) -> Client:
        """Connect a client to a gateway."""
        self.clients += 1
        return Client((LOOPBACK_HOST, self.client_ports[name]), random.randrange(1, 1 << 24))

    def close(self) -> None:
        """End all processes that were started, and close all stand-ins."""
        for process in self.processes.values():
            with suppress(OSError):
                process.kill()
                process.wait()
        stand_ins = [machine for rows in self.machines.values() for machine, _ in rows]
        for one in (*self.discovery.values(), *self.proxies.values(), *stand_ins):
            with suppress(OSError):
                one.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class EndedError(Exception):
    """The script was told to end."""


def run_case(main: Callable[[], int], record: Record) -> NoReturn:
    """Run a case for `CASE_SECONDS` at most, and exit with its status; 2 if it could not run.

    SIGTERM and SIGINT end the case as its time limit does, so that it ends the processes that it started.
    """
    status = 2
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gevent.kill, gevent.getcurrent(), EndedError("told to end"))
    try:
        with gevent.Timeout(CASE_SECONDS):
            status = main()
    except (Exception, gevent.Timeout):
        record(traceback.format_exc())
        traceback.print_exc()
    os._exit(EXIT_CODE_OF_OK + status)  # run.sh tells it from the status 1 of an uncaught exception


__all__ = [
    "CacheStatus",
    "Client",
    "ClientResponse",
    "Ledger",
    "Record",
    "Regions",
    "UpstreamRequest",
    "encode_response",
    "gevent",
    "os",
    "run_case",
    "served",
    "signal",
    "time",
]
