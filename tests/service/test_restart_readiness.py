"""Twenty front processes restart at once while discovery is slow, refuses connections or is unreachable."""

from __future__ import annotations

import signal
from dataclasses import dataclass

import gevent
import pytest

from marbleglade.testing.client import Client
from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.front_fleet import FrontFleet
from marbleglade.testing.sockets import reserve_address
from tests.harness.discovery import GatedDiscovery, restarted_discovery
from tests.harness.fleet_restarts import start_all, stop_all
from tests.harness.servers import UnreachableAddress
from tests.harness.waiting import wait_until

FRONTS = 20
READY_S = 10.0  # limit for nine in ten fronts
MAX_READY_S = 30.0  # limit for each front
RETURN_S = 8.0  # limit for all fronts to watch discovery again; they try to connect four times a second


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    front_fleet = FrontFleet(
        FRONTS, tmp_path_factory.mktemp("restart"), 51, cooperating=False, peer_messages=False
    )
    event_lines, initial_services = (
        front_fleet.discovery_services[0].event_lines,
        front_fleet.discovery_services,
    )
    front_fleet.wait_until_ready(2 * MAX_READY_S)
    yield front_fleet, event_lines
    for service in initial_services:
        service.close()
    assert not (errors := front_fleet.close()), errors


class SlowDiscovery:
    """A discovery service that accepts connections and sends nothing on them until `bring_back`."""

    def __init__(self, event_lines: list[bytes]) -> None:
        self.held = GatedDiscovery()
        self.held.event_lines = list(event_lines)
        self.addresses = [self.held.address]

    def bring_back(self) -> list[DiscoveryService]:
        """Send everything that was held back."""
        assert self.held.connected >= FRONTS  # each front has connected and received nothing
        self.held.released.set()
        return [self.held]


class AbsentDiscovery:
    """Two discovery addresses: one refuses connections, the other neither accepts nor refuses them."""

    def __init__(self, event_lines: list[bytes]) -> None:
        self.event_lines, self.refusing, self.unreachable = (
            event_lines,
            reserve_address(),
            UnreachableAddress(),
        )
        self.addresses = [self.refusing.getsockname(), self.unreachable.address]

    def bring_back(self) -> list[DiscoveryService]:
        """Start a discovery service at each address."""
        self.unreachable.close()
        self.refusing.close()
        return [restarted_discovery(address, self.event_lines) for address in self.addresses]


@dataclass(frozen=True, slots=True)
class KnownDiscovery:
    """Address and events for the startup configuration of a front while no discovery service runs."""

    address: tuple[str, int]
    event_lines: list[bytes]

    def close(self) -> None:
        """Do nothing, because nothing is open."""


@pytest.mark.parametrize(
    "stop_signal, discovery",
    [(signal.SIGTERM, SlowDiscovery), (signal.SIGKILL, AbsentDiscovery)],
    ids=["graceful stop, slow discovery", "kill, absent discovery"],
)
def test_nine_in_ten_of_twenty_fronts_that_restart_at_once_are_ready_within_ten_seconds(
    fleet, stop_signal, discovery
):
    fleet, event_lines = fleet
    stop_all(fleet, stop_signal, MAX_READY_S)
    absent = discovery(event_lines)
    fleet.discovery_services = [
        KnownDiscovery(absent.addresses[n % len(absent.addresses)], event_lines) for n in range(FRONTS)
    ]
    ready_s = sorted(start.own_seconds for start in start_all(fleet, MAX_READY_S))
    assert sum(seconds <= READY_S for seconds in ready_s) * 10 >= FRONTS * 9, ready_s
    assert ready_s[-1] < MAX_READY_S, ready_s
    requests = [
        gevent.spawn(check_front_serves, address, number + 1)
        for number, address in enumerate(fleet.client_addresses)
    ]
    gevent.joinall(requests, raise_error=True)  # fronts that log `ready` serve requests
    returned = absent.bring_back()
    fleet.discovery_services = [returned[n % len(returned)] for n in range(FRONTS)]
    wait_until(lambda: sum(len(service.watchers) for service in returned) == FRONTS, RETURN_S)
    for service in returned:
        service.purge(0, 9, 1)
    wait_until(lambda: purges_received(fleet) == [1] * FRONTS, RETURN_S, interval=0.1)


def check_front_serves(address: tuple[str, int], number: int) -> None:
    """Request an object from a front with a new client, and check that it is served."""
    client = Client(address, number)
    response = client.request("menu-pages", number << 32, timeout_ms=2500)
    client.close()
    assert response and response.status == "ok", (number, response)


def purges_received(fleet: FrontFleet) -> list[int]:
    """Return the number of purges that each front has received since its start."""
    events = [gevent.spawn(fleet.counters_event, number) for number in range(FRONTS)]
    gevent.joinall(events, raise_error=True)
    return [event.value["counts"].get("purge.received", 0) for event in events]
