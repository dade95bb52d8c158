"""Load generator: clients that request small pages from each front of a fleet at a given rate."""

from __future__ import annotations

import itertools
import math
import time
from collections import Counter, deque

import gevent
from gevent.pool import Group

from marbleglade.testing.client import Client
from marbleglade.testing.front_fleet import FrontFleet
from marbleglade.testing.object_store import hashed_fraction, version_of
from tests.harness.messages import numbered_id, request_fields
from tests.harness.objects import page_object

TIMEOUT_MS = 1500  # timeout of a request
RESPONSE_TIMEOUT_SECONDS = 30.0  # time limit for each response, which holds even on a busy machine
MAX_CATCH_UP_SECONDS = 0.2  # greatest delay of the schedule for which clients catch up by sending faster
CLIENTS_PER_FRONT = 4  # number of client connections to each front
HOT_SHARE = 0.4  # share of all requests that go to the hot objects


class PageStream:
    """The clients of one front, which send requests at random intervals with a given mean rate."""

    def __init__(self, load: PageLoad, number: int, address: tuple[str, int], rate: float) -> None:
        self.load, self.number, self.address, self.rate = load, number, address, rate
        self.rate_factor, self.down, self.request_count = 1.0, False, 0
        self.clients: deque[Client] = deque()
        self.loop = gevent.spawn(self._run)

    def _run(self) -> None:
        next_request_at = time.monotonic()
        while True:
            self.request_count += 1
            gap = -math.log(1 - hashed_fraction(self.load.seed, "gap", self.number, self.request_count))
            next_request_at = max(
                next_request_at + gap / (self.rate * self.rate_factor),
                time.monotonic() - MAX_CATCH_UP_SECONDS,
            )
            gevent.sleep(max(0.0, next_request_at - time.monotonic()))
            if not self.down:
                self.load.open_requests.spawn(
                    self._send_request, self.load.object_id(self.request_count * 97 + self.number)
                )

    def _client(self) -> Client:
        """The next client in round-robin order; a closed one is replaced by a new one."""
        if len(self.clients) < CLIENTS_PER_FRONT:
            self.clients.append(Client(self.address, self.number + 1))
        self.clients.rotate()
        if self.clients[0].closed:
            self.clients[0] = Client(self.address, self.number + 1)
        return self.clients[0]

    def _send_request(self, object_id: int) -> None:
        try:
            client = self._client()
        except OSError:
            self.load.record_fault(self, "refused")
            return
        trace = (self.number + 1) << 40 | next(Client.trace_ids)
        fields = request_fields(numbered_id(trace), TIMEOUT_MS, object_id, group=0)
        response = client.send_command(
            next(client.tags),
            b"ASK",
            b"menu-pages",
            fields.encode(),
            b"",
            timeout_seconds=RESPONSE_TIMEOUT_SECONDS,
        )
        if response is None or response.connection_lost:
            self.load.record_fault(self, "lost" if response else "no answer")
        elif response.status == "ok" and version_of(response.body, object_id, 0) != 1:
            self.load.record_fault(self, "wrong object")


class PageLoad:
    """Clients of all fronts that request small pages of one size with equal probability.

    While `hot` is not empty, `HOT_SHARE` of all requests go to its objects in turn. `faults` counts faults
    of fronts that are up, such as a lost response.
    """

    def __init__(self, fleet: FrontFleet, seed: int, rate: float, object_count: int) -> None:
        self.seed, self.object_count = seed, object_count
        self.hot: tuple[int, ...] = ()
        self.faults: Counter[str] = Counter()
        self.open_requests = Group()
        self.streams = [
            PageStream(self, number, address, rate) for number, address in enumerate(fleet.client_addresses)
        ]

    def object_id(self, number: int) -> int:
        """The object id of the request with a given number."""
        if self.hot and hashed_fraction(self.seed, "hot", number) < HOT_SHARE:
            return self.hot[number % len(self.hot)]
        return page_object(self.seed, int(hashed_fraction(self.seed, "thing", number) * self.object_count))

    def record_fault(self, stream: PageStream, fault: str) -> None:
        """Counts a fault, unless the front is down."""
        self.faults[f"{fault} at f{stream.number}"] += not stream.down

    def finish(self) -> Counter[str]:
        """Stops the load, waits for the responses to open requests, and returns the counted faults."""
        gevent.killall([stream.loop for stream in self.streams])
        self.open_requests.join(RESPONSE_TIMEOUT_SECONDS)
        for client in itertools.chain.from_iterable(stream.clients for stream in self.streams):
            client.close()
            self.faults["duplicate or malformed"] += client.duplicate_responses + client.malformed_responses
        return +self.faults
