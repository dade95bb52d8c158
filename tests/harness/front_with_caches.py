"""A front process with scripted caches and a discovery service that can stop sending."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Any

from marbleglade.testing.client import Client, ClientResponse
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.sockets import address_text, reserve_address
from tests.harness.discovery import ScriptedDiscovery
from tests.harness.front_process import FrontProcess
from tests.harness.log_file import broken_rules
from tests.harness.messages import numbered_id, request_fields
from tests.harness.programs import POLL_SECONDS
from tests.harness.scripted_cache import ScriptedCache
from tests.harness.settings import REQUEST_TIMEOUT_MS, endpoint_entry, front_configuration
from tests.harness.waiting import wait_until

DESCRIPTORS = 600
SECONDS = 10.0  # time limit of each wait, which usually takes a small part of one second
TRANSFER_RATE = 100_000_000  # bytes per second of a response that is served from the front's own cache


class FrontWithCaches(FrontProcess):
    """A front process that is started together with a discovery service that lists its caches.

    Args:
        folder: The directory of its files.
        settings: The settings of the front.
        caches: The caches that the discovery service lists.
        unreachable: The addresses of further listed caches, by name.
        environment: Further environment variables of the process.
    """

    def __init__(
        self,
        folder: Path,
        settings: dict[str, Any],
        *caches: ScriptedCache,
        unreachable: dict[str, tuple[str, int]] | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        super().__init__(folder, SECONDS, environment)
        self.caches = caches
        self.clients: list[Client] = []
        self.discovery = ScriptedDiscovery()
        self.discovery_services: list[DiscoveryService] = [self.discovery]
        entries = [endpoint_entry(cache.name, cache.address, cell=cache.cell) for cache in caches]
        entries += [endpoint_entry(name, address) for name, address in (unreachable or {}).items()]
        entries += [endpoint_entry("h1", kind="hub"), endpoint_entry("o1", kind="root")]
        self.discovery.announce_entries(entries, full_list=True)
        self.reserved = reserve_address()
        self.listen_address = self.reserved.getsockname()
        self.configure_discovery(settings, self.discovery)
        self.start()
        wait_until(lambda: self.events("ready") and self.discovery.watchers, SECONDS, POLL_SECONDS)

    def configure_discovery(self, settings: dict[str, Any], discovery: DiscoveryService) -> None:
        """Writes a configuration that includes all events that a discovery service has sent so far."""
        updates = [json.loads(line) for line in discovery.event_lines]
        self.configure(
            front_configuration(
                name="n1",
                listen=address_text(self.listen_address),
                limits={"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS},
                coordinator=address_text(discovery.address),
                known={"index": len(updates), "updates": updates},
                flow_bytes_per_s=TRANSFER_RATE,
                link_bytes_per_s=TRANSFER_RATE,
                settings=settings,
            )
        )

    def reload_with_discovery(self, settings: dict[str, Any], discovery: DiscoveryService) -> None:
        """Makes the front reload its configuration with another discovery service."""
        self.discovery_services.append(discovery)
        self.configure_discovery(settings, discovery)
        self.process.send_signal(signal.SIGHUP)

    def connect_client(self) -> Client:
        """Connects a new client."""
        self.clients.append(Client(self.listen_address, len(self.clients) + 1))
        return self.clients[-1]

    def send_request(
        self,
        client: Client,
        class_name: str,
        object_id: int,
        timeout_ms: int = REQUEST_TIMEOUT_MS,
        key: str = "",
    ) -> ClientResponse | None:
        """Sends a client's request and waits for its response; `key` is the idempotency key."""
        trace = client.seed << 40 | next(Client.trace_ids)
        fields = request_fields(numbered_id(trace), timeout_ms, object_id)
        fields += f",nonce={key}" if key else ""
        arguments = (class_name.encode(), fields.encode(), b"")
        seconds = timeout_ms / 1000 + SECONDS
        return client.send_command(next(client.tags), b"ASK", *arguments, timeout_seconds=seconds)

    def close(self) -> None:
        """Shuts everything down, and asserts that the front exited with 0 and no invariant was violated."""
        broken = sum(client.duplicate_responses + client.malformed_responses for client in self.clients)
        for client in self.clients:
            client.close()
        try:
            code = self.process.poll() if self.process.poll() is not None else self.stop()
        finally:
            self.kill()
            self.reserved.close()
            for discovery in self.discovery_services:
                discovery.close()
            for cache in self.caches:
                cache.close()
        counts = self.events("counters")[-1]["counts"]
        assert (code, broken_rules(counts), broken) == (0, {}, 0)
