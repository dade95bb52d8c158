"""A seeded random sequence of events for one front, which runs as a process.

The events are requests, cancels, closes, resets, invalid messages, endpoint lists, purges, SIGHUP and, at the
end, SIGTERM. Meanwhile caches respond, reject, stay silent or close connections. What clients and caches
receive is recorded.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import gevent
from gevent import socket

from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.object_store import hashed_fraction
from marbleglade.testing.sockets import address_text, free_port
from tests.harness.connections import reset
from tests.harness.messages import request_message, resp_array
from tests.harness.programs import end_process
from tests.harness.settings import FRONT_SETTINGS, endpoint_entry, front_configuration
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until
from tests.system.random_peers import RandomCache, RecordingClient
from tests.system.script_checker import (
    NON_IDEMPOTENT,
    ClientLeft,
    DrainAnnounced,
    Event,
    PurgeAnnounced,
    RequestSent,
    ScriptChecker,
)

PAGE_CLASS = FRONT_SETTINGS["Classes"][0] | {"Aim": 150.0, "Deadline": 900.0}
STEP_CLASS = PAGE_CLASS | {"Name": NON_IDEMPOTENT, "Repeat": "single_shot"}
CACHING = {"NeverKept": [False, True], "MaxAge": [0.0, 0.0], "ClearedWithin": 400.0}
SETTINGS = FRONT_SETTINGS | {
    "Classes": [PAGE_CLASS, STEP_CLASS],
    "Specifics": FRONT_SETTINGS["Specifics"] | CACHING,
}
STEPS = 110
START_SECONDS, STOP_SECONDS = 20, 10


class RandomScript:
    """One script with its own front; `fault` is Python code that the front's process runs at its start."""

    def __init__(self, folder: Path, seed: int, fault: str = "") -> None:
        self.seed, self.draws = seed, 0
        self.record: list[Event] = []
        self.clients: list[RecordingClient] = []
        self.configuration_file = folder / f"{seed}{bool(fault)}.json"
        self.caches = [RandomCache(f"s{number}", seed, self.record) for number in (1, 2, 3)]
        self.discovery_services = [DiscoveryService("z"), DiscoveryService("z")]
        self.draining: set[RandomCache] = set()
        self.listen_address = "127.0.0.1", free_port()
        self.configure(0)
        code = f"import sys\n{fault}\nfrom marbleglade.__main__ import run_front\nsys.exit(run_front())"
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-c", code],
            stderr=subprocess.PIPE,
            env=os.environ | {"GW_CONFIG": str(self.configuration_file)},
        )

    def configure(self, discovery: int) -> None:
        """Writes the front's configuration with the discovery service of a given index."""
        entries = [endpoint_entry(cache.id, cache.address) for cache in self.caches]
        entries.append(endpoint_entry("o1", kind="root"))
        updates = [{"index": 0, "endpoints": {"full": True, "servers": entries}}]
        configuration = front_configuration(
            listen=address_text(self.listen_address),
            settings=SETTINGS,
            known={"index": 0, "updates": updates},
            flow_bytes_per_s=10**6,
            link_bytes_per_s=10**8,
            coordinator=address_text(self.discovery_services[discovery].address),
        )
        self.configuration_file.write_text(json.dumps(configuration))

    def draw(self, count: int) -> int:
        """A pseudo-random integer from 0 to `count` - 1."""
        self.draws += 1
        return int(hashed_fraction(self.seed, f"step {self.draws}") * count)

    def client(self) -> RecordingClient | None:
        """A client that may send, sometimes a new one; None if there is none."""
        clients = [client for client in self.clients if not client.closed and not client.has_left]
        if len(clients) < 6 or not self.draw(8):
            with suppress(OSError):
                client = RecordingClient(self.listen_address, len(self.clients), self.record)
                self.clients.append(client)
                return client
        return clients[self.draw(len(clients))] if clients else None

    def send_request(self, garbage: bytes = b"") -> None:
        """Sends a request from a random client, followed by `garbage`, which is not a valid message."""
        client = self.client()
        if not client or len(client.unanswered) >= 30:
            return
        tag, request_id = next(client.tags), f"{self.seed:06x}{self.draws:010x}"
        class_name = NON_IDEMPOTENT if not self.draw(4) else "page"
        timeout_ms = (300, 900)[self.draw(2)]
        object_id = self.draw(40)
        client.unanswered[tag] = request_id
        self.record.append(
            RequestSent(
                time.monotonic(),
                client.number,
                tag,
                request_id,
                timeout_ms / 1000,
                class_name,
                f"{object_id:016x}",
            )
        )
        message = request_message(tag, request_id, object_id, timeout_ms, class_name=class_name, group=3)
        client.send(message)
        if garbage:
            client.has_left = True  # the front may close the connection after all responses
            client.send(resp_array(garbage))

    def send_requests(self, count: int) -> None:
        """Sends `count` requests from random clients."""
        for _ in range(count):
            self.send_request()

    def leave(self, way: str) -> None:
        """Cancels a request of a random client, or closes or resets the client's connection."""
        clients = [one for one in self.clients if one.unanswered and not one.closed and not one.has_left]
        if not clients:
            return
        client = clients[self.draw(len(clients))]
        if way == "cancel":
            tag = list(client.unanswered)[self.draw(len(client.unanswered))]
            self.record.append(ClientLeft(time.monotonic(), client.unanswered.pop(tag)))
            client.send(resp_array(b"NEVERMIND", b"%d" % tag))
            return
        client.has_left = True
        self.record += [ClientLeft(time.monotonic(), id) for id in client.unanswered.values()]
        client.unanswered.clear()
        client.reader.kill()
        client.closed = True
        if way == "reset":
            reset(client.sock)
        else:
            client.sock.close()

    def drain_or_return(self, cache: RandomCache) -> None:
        """Announces at both discovery services that a cache drains, or that a drained one has restarted."""
        returned = cache in self.draining
        if not returned and len(self.draining) == 2:
            return
        (self.draining.discard if returned else self.draining.add)(cache)
        state = "active" if returned else "leaving"
        started_ms = time.time_ns() // NS_PER_MS - 60_000 if returned else 0
        for service in self.discovery_services:
            service.announce([(cache, "box")], state=state, started_ms=started_ms)
        self.record.append(DrainAnnounced(time.monotonic(), cache.id, returned))

    def purge(self) -> None:
        """Announces a purge of all objects at both discovery services."""
        unix_ms = time.time_ns() // NS_PER_MS
        for service in self.discovery_services:
            service.purge(0, 3, unix_ms)
        self.record.append(PurgeAnnounced(time.monotonic(), unix_ms))

    def step(self) -> None:
        """Performs one random event."""
        draw = self.draw(100)
        if draw < 70:
            self.send_request()
        elif draw < 85:
            self.leave(("cancel", "close", "reset")[self.draw(3)])
        elif draw < 89:
            self.drain_or_return(self.caches[self.draw(3)])
        elif draw < 92:
            self.purge()
        elif draw < 95:
            self.send_request(garbage=b"no such word\r\n")
        elif draw < 97:
            self.configure(self.draw(2))
            self.process.send_signal(signal.SIGHUP)

    def is_listening(self) -> bool:
        """Whether the front accepts connections."""
        with suppress(OSError):
            socket.create_connection(self.listen_address).close()
            return True
        return False

    def run(self) -> list[str]:
        """Runs the script; returns the violations that the checker found, and a nonzero exit code."""
        try:
            wait_until(self.is_listening, START_SECONDS, 0.02)
            self._run_steps()
            self._shut_down()
            code = self.process.returncode
            return ScriptChecker().check(self.record) + [f"exit {code}"] * bool(code)
        finally:
            end_process(self.process)
            for server in (*self.clients, *self.caches, *self.discovery_services):
                server.close()

    def _run_steps(self) -> None:
        for step in range(STEPS):
            self.step()
            gevent.sleep(0.02 * hashed_fraction(self.seed, f"pause {self.draws}"))
            if step % (STEPS // 3) == 0:  # many clients leave at once, right after they have sent requests
                self.purge()
                self.send_requests(12)
                for way in ("close", "cancel", "reset", "close", "cancel"):
                    self.leave(way)

    def _shut_down(self) -> None:
        """Sends requests until shortly after SIGTERM, and waits for the exit."""
        self.send_requests(12)
        self.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 0.35
        while time.monotonic() < end:
            self.send_request()
            gevent.sleep(0.01)
        wait_until(lambda: self.process.poll() is not None, STOP_SECONDS, 0.01)
        gevent.sleep(0.05)  # clients read what the kernel still buffers


def run_scripts(folder: Path, scripts: Iterable[tuple[int, str]]) -> list[list[str]]:
    """Runs scripts in parallel, each given by a seed and fault code; returns the violations of each."""
    running = [gevent.spawn(RandomScript(folder, *script).run) for script in scripts]
    gevent.joinall(running, timeout=60)
    return [script.get(block=False) for script in running]
