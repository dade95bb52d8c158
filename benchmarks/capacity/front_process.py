"""One real front process on loopback, with clients and with stand-in caches that answer at once."""

from __future__ import annotations

import json
import os
import time
from contextlib import suppress
from pathlib import Path

import gevent

from benchmarks.processes import UnwrappedProcess
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.client import Client
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.front_settings import ZONE, front_configuration, front_settings
from marbleglade.testing.object_store import (
    NS_PER_MS,
    ObjectStore,
    ObjectVersion,
    PartKey,
    RegionClock,
    etag_of,
)
from marbleglade.testing.sockets import free_port

from .hosted_front import nth_object_id

MEMORY_MB = 1024
DESCRIPTORS = 1024
FLOW_BYTES_PER_S = 1_000_000_000  # of one transfer, if the front keeps copies: so high that it never limits
TIMEOUT_MS = 2500
READY_SECONDS = 20.0
CLASS_NAME = "dish-media"


class FrontFailedError(RuntimeError):
    """The front did not answer or stop as expected, so that the figures of the run are invalid."""


class FrontProcess(UnwrappedProcess):
    """The process `python -O -m marbleglade` of a front."""

    def descriptors(self) -> int:
        """Return the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.running.pid}/fd"))


class FrontTestbed:
    """A front with `caches` stand-in caches, which hold every object that is requested.

    Args:
        folder: Folder for the configuration and log of the front.
        caches: Number of stand-in caches.
        keeps_copies: Whether the front keeps copies of its own.
    """

    def __init__(self, folder: Path, caches: int = 4, keeps_copies: bool = False) -> None:
        self.folder = folder
        region_clock = RegionClock()
        self.origin = StandInUpstream("root", ObjectStore("store", region_clock, lambda _object_id: True))
        self.parent = StandInUpstream("hub0", clock=region_clock)
        self.caches = [StandInUpstream(f"box{number}", clock=region_clock) for number in range(caches)]
        self.discovery_service = DiscoveryService(ZONE)
        listed = [*((cache, "box") for cache in self.caches), (self.parent, "hub"), (self.origin, "root")]
        self.discovery_service.announce(listed, full_list=True)
        self.address = ("127.0.0.1", free_port())
        self.bodies: dict[int, bytes] = {}
        self.clients: list[Client] = []
        self.process = FrontProcess(
            "front", [], folder, environ={"GW_CONFIG": str(self._configuration(keeps_copies))}
        )
        self._wait_ready()

    def _configuration(self, keeps_copies: bool) -> Path:
        configuration = front_configuration(
            "front",
            self.address,
            self.discovery_service.address,
            front_settings(1, PeerMessages=False),
            event_lines=self.discovery_service.event_lines,
            memory_mb=MEMORY_MB,
            descriptors=DESCRIPTORS,
        )
        if keeps_copies:
            configuration |= {
                "flow_bytes_per_s": FLOW_BYTES_PER_S,
                "link_bytes_per_s": FLOW_BYTES_PER_S * 100,
            }
        path = self.folder / "front.json"
        path.write_text(json.dumps(configuration))
        return path

    def _wait_ready(self) -> None:
        with gevent.Timeout(READY_SECONDS, FrontFailedError("the front was not ready in time")):
            while True:
                with suppress(OSError):
                    client = Client(self.address)
                    response = client.status()
                    client.close()
                    if response and response.status == "yes":
                        return
                gevent.sleep(0.05)

    def fill_caches(self, first: int, count: int, size: int) -> list[int]:
        """Put `count` objects of `size` bytes into all caches and return their IDs."""
        issued = time.time_ns() // NS_PER_MS
        found = [nth_object_id(number) for number in range(first, first + count)]
        for object_id in found:
            body = object_id.to_bytes(8) * (size // 8)
            self.bodies[object_id] = body
            for cache in self.caches:
                cache.cache.versions[PartKey(object_id, 0)] = ObjectVersion(
                    etag_of(object_id, 0, 1), issued, body
                )
        return found

    def connect(self, count: int) -> None:
        """Open client connections until there are `count`."""
        while len(self.clients) < count:
            self.clients.append(Client(self.address, len(self.clients) + 1))

    def request_all(self, object_ids: list[int], workers: int) -> None:
        """Request each object once, with `workers` connections at a time, and check every response.

        Raises `FrontFailedError` if a response is missing or has other bytes than the object.
        """
        self.connect(workers)
        remaining = list(reversed(object_ids))
        failed: list[str] = []

        def send_requests(client: Client) -> None:
            while remaining:
                object_id = remaining.pop()
                response = client.request(CLASS_NAME, object_id, timeout_ms=TIMEOUT_MS)
                if response is None or response.body != self.bodies[object_id]:
                    failed.append(f"{object_id:016x}: {response.status if response else 'no answer'}")

        gevent.joinall(
            [gevent.spawn(send_requests, client) for client in self.clients[:workers]], raise_error=True
        )
        unexpected_responses = sum(
            client.duplicate_responses + client.malformed_responses for client in self.clients
        )
        if failed or unexpected_responses:
            raise FrontFailedError(
                f"{len(failed)} of {len(object_ids)} requests failed, the first are {failed[:3]}; "
                f"{unexpected_responses} duplicate or malformed responses"
            )

    def close(self) -> None:
        """Stop the front and stand-ins. Raises `FrontFailedError` if the front failed or counted errors."""
        for client in self.clients:
            client.close()
        returned = self.process.stop()
        self.discovery_service.close()
        for upstream in (self.parent, self.origin, *self.caches):
            upstream.close()
        prefixes = ("exception.", "violated_invariant.")
        faults = [name for name in self.process.counters() if name.startswith(prefixes)]
        if returned or faults:
            raise FrontFailedError(
                f"the front ended with exit code {returned} and counted these errors: {faults}"
            )
