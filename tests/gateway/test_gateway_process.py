"""Gateways as processes: each request is answered when gateways are stopped under load."""

import json
import signal
import subprocess
import time
from contextlib import suppress

import gevent

from marbleglade.testing.client import Client
from tests.harness.programs import start_program
from tests.harness.region_requests import GET_SECONDS, WEST

START_SECONDS = 40  # for the start of all gateways on a busy machine
CLIENTS_PORT = 0  # index in a gateway's list of ports


def connected_clients(regions, deadline):
    """Returns a client of each east gateway once a request to the west is served through each of them."""
    clients = {}
    names = ("east-1", "east-2")
    while True:
        for number, name in enumerate(names, 1):
            if name not in clients or clients[name].closed:
                with suppress(OSError):
                    address = ("127.0.0.1", regions.east.ports[name][CLIENTS_PORT])
                    clients[name] = Client(address, len(clients) * 10 + number)
        if len(clients) == len(names) and all(map(is_served, clients.values())):
            return [clients[name] for name in names]
        assert time.monotonic() < deadline
        gevent.sleep(0.05)


def is_served(client):
    response = client.request("menu-pages", WEST | 4, 0, 0, 500)
    return response is not None and response.status == "ok"


def test_a_gateway_stops_under_load_with_no_request_unanswered(stand_in_regions):
    regions, deployment = stand_in_regions
    names = [name for region in regions.both for name in region.gateways]
    processes = {
        name: start_program(
            subprocess.PIPE, "gateway", "--deployment", deployment, "--name", name, optimize=False
        )
        for name in names
    }
    try:
        clients = connected_clients(regions, time.monotonic() + START_SECONDS)
        waiting = []
        for number in range(120):
            client = clients[number % 2]
            waiting.append(gevent.spawn(client.request, "menu-pages", WEST | number << 32, 0, 0, 1500))
            if number == 40:
                processes["west-1"].send_signal(signal.SIGTERM)  # on the responding side
            if number == 80:
                processes["east-1"].send_signal(signal.SIGTERM)  # on the requesting side
            gevent.sleep(0.005)
        responses = [request.get(timeout=GET_SECONDS) for request in waiting]
        assert all(
            response and not response.connection_lost and response.status in ("ok", "full")
            for response in responses
        )
        assert sum(response.status == "ok" for response in responses) > 100
        for name in ("west-1", "east-1"):
            assert processes[name].wait(10) == 0
    finally:
        for process in processes.values():
            process.kill()
        logs = {name: process.stderr.read().splitlines() for name, process in processes.items()}
    assert json.loads(logs["west-1"][-1])["event"] == "counters"
    assert not [line for log in logs.values() for line in log if b'"exception"' in line]
