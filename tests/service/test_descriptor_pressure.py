"""Idle clients use up the client share of a front's descriptors while the discovery service is absent."""

from __future__ import annotations

import os

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from marbleglade.testing.client import Client, ClientResponse
from marbleglade.testing.front_fleet import FrontFleet
from tests.harness.discovery import GatedDiscovery, restarted_discovery
from tests.harness.waiting import wait_until

DESCRIPTORS = 120
CLIENTS_LIMIT = DESCRIPTORS // 3
NEW_CLIENT_S = 0.25  # time after connecting during which a client is not closed
WAITING, SILENT, STATUS_ONLY, SERVED = 6, 14, 10, 10
NEWCOMERS = 8
FEW, MANY = 20, 150  # idle connections that are opened at once
HELD_CLASS = "dish-media"  # the request class whose responses the caches hold back
REQUEST_TIMEOUT_MS = 3000
WAIT_LIMIT_S = 10.0  # generous: each wait normally ends within a fraction of a second


class CrowdedFront:
    """One front, with clients that wait for responses, are idle, or never send anything."""

    def __init__(self, folder) -> None:
        self.fleet = FrontFleet(
            1, folder, 61, cooperating=False, peer_messages=False, descriptor_limit=DESCRIPTORS
        )
        self.released = Event()
        for cache in self.fleet.caches:
            cache.response_gates[HELD_CLASS] = self.released
        self.fleet.wait_until_ready()
        self.clients: list[Client] = []
        self.connections: list[socket.socket] = []
        self.responses: list[ClientResponse | None] = []

    def connect(self, count: int) -> list[Client]:
        """Connect new clients, which send nothing yet, and return them."""
        new = [Client(self.fleet.client_addresses[0], len(self.clients) + n + 1) for n in range(count)]
        self.clients += new
        return new

    def request_status(self, clients: list[Client]) -> None:
        """Let each client request the front's status, but no object."""
        for client in clients:
            assert client.status().status == "yes"

    def request_objects(self, clients: list[Client]) -> None:
        """Let each client request an object, and check that it is served."""
        for number, client in enumerate(clients):
            response = client.request("menu-pages", (number + 1) << 32, timeout_ms=2500)
            assert response and response.status == "ok", response

    def start_held_requests(self, clients: list[Client]) -> None:
        """Let each client request an object whose response the caches hold back."""
        for number, client in enumerate(clients):
            gevent.spawn(
                lambda client, object_id: self.responses.append(
                    client.request(HELD_CLASS, object_id, timeout_ms=REQUEST_TIMEOUT_MS)
                ),
                client,
                (number + 1) << 32,
            )
        wait_until(
            lambda: sum(cache.request_count for cache in self.fleet.caches) >= len(clients), WAIT_LIMIT_S
        )

    def open_idle_connections(self, count: int) -> None:
        """Open connections at once that send nothing; return when the front has accepted them."""
        before = self.counter("client.accepted")
        for _ in range(count):
            self.connections.append(socket.create_connection(self.fleet.client_addresses[0], WAIT_LIMIT_S))
        wait_until(lambda: self.counter("client.accepted") >= before + count, WAIT_LIMIT_S, interval=0.05)

    def counter(self, name: str) -> int:
        """Return one of the front's counters."""
        return self.fleet.counters_event(0)["counts"].get(name, 0)

    def assert_within_limits(self) -> None:
        """Check that clients use at most their share of descriptors, and the process at most its limit."""
        descriptors = os.listdir(f"/proc/{self.fleet.processes[0].pid}/fd")
        assert (
            self.fleet.counters_event(0)["client_connections"] <= CLIENTS_LIMIT
            and len(descriptors) <= DESCRIPTORS
        ), len(descriptors)

    def close(self) -> None:
        """Close all connections and the front; check that no response was invalid and no error occurred."""
        for connection in (*self.clients, *self.connections):
            connection.close()
        invalid = sum(client.duplicate_responses + client.malformed_responses for client in self.clients)
        errors = self.fleet.close()
        assert not errors and not invalid, (errors, invalid)


@pytest.fixture
def front(tmp_path):
    crowded_front = CrowdedFront(tmp_path)
    yield crowded_front
    crowded_front.close()


def refuses_connections(front: CrowdedFront, _address: tuple[str, int]) -> None:
    """Wait until the front has counted a refused connection to the closed discovery address."""
    wait_until(lambda: front.counter("discovery.ConnectionRefusedError"), WAIT_LIMIT_S, interval=0.05)


def sends_nothing(_front: CrowdedFront, address: tuple[str, int]) -> GatedDiscovery:
    """Accept connections on which nothing is ever sent, not even after the service has returned."""
    held = GatedDiscovery(address, silence_early_connections=True)
    wait_until(lambda: held.connected, WAIT_LIMIT_S)
    return held


def closed_count(clients: list[Client]) -> int:
    """Return how many of these clients the front has closed."""
    return sum(client.closed for client in clients)


@pytest.mark.parametrize(
    "absence", [refuses_connections, sends_nothing], ids=lambda absence: absence.__name__
)
def test_idle_clients_fill_the_descriptors_while_discovery_is_away(front, absence):
    first = front.fleet.discovery_services[0]
    first.close()
    held = absence(front, first.address)

    # Clients use their whole share. Those that sent the least connected last, so that closing clients by age
    # alone would fail.
    waiting, served = front.connect(WAITING), front.connect(SERVED)
    front.start_held_requests(waiting)
    front.request_objects(served)
    status_only = front.connect(STATUS_ONLY)
    front.request_status(status_only)
    silent = front.connect(SILENT)
    gevent.sleep(NEW_CLIENT_S)
    assert front.fleet.counters_event(0)["client_connections"] == CLIENTS_LIMIT and not closed_count(
        front.clients
    )

    # Requests of new clients are served; clients that never sent anything are closed, the oldest first.
    newcomers = front.connect(NEWCOMERS)
    front.request_objects(newcomers)
    wait_until(lambda: closed_count(silent) == NEWCOMERS, WAIT_LIMIT_S)
    assert [client.closed for client in silent] == [True] * NEWCOMERS + [False] * (SILENT - NEWCOMERS)
    assert not closed_count([*waiting, *status_only, *served, *newcomers])
    front.open_idle_connections(FEW)
    wait_until(lambda: closed_count(silent) == SILENT, WAIT_LIMIT_S)
    wait_until(
        lambda: closed_count(status_only) == STATUS_ONLY or not closed_count([*served, *newcomers]),
        WAIT_LIMIT_S,
    )
    front.open_idle_connections(MANY)
    front.assert_within_limits()

    # Discovery returns while all these connections are open, and its events are applied promptly.
    if held:
        held.event_lines = list(first.event_lines)
        held.released.set()
    returned = held or restarted_discovery(first.address, first.event_lines)
    front.fleet.discovery_services = [returned]
    wait_until(lambda: returned.watchers, WAIT_LIMIT_S)
    leaving = front.fleet.caches[0]
    returned.announce([(leaving, "box")], state="leaving")
    wait_until(
        lambda: any(
            event["event"] == "endpoints" and event["index"] == 2 for event in front.fleet.log_events(0)
        ),
        WAIT_LIMIT_S,
    )
    requests_before = leaving.request_count
    front.request_objects(front.connect(NEWCOMERS))
    assert leaving.request_count == requests_before

    # No accepted request is lost.
    assert not closed_count(waiting)
    front.released.set()
    wait_until(lambda: len(front.responses) == WAITING, WAIT_LIMIT_S)
    assert all(response and response.status in ("ok", "full") for response in front.responses), (
        front.responses
    )
    front.assert_within_limits()
