"""Clients that send requests at a steady rate and check every response."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import gevent

from marbleglade.testing.client import Client
from marbleglade.testing.object_store import VIDEO_BITS, group_of, hashed_fraction, version_of

from .processes import now
from .request_results import RequestRecord, RequestResults, ServedVersion

MAX_CLIENTS = 6
MAX_RETRIES = 3  # retries of a request that is rejected
MAX_RETRIED_LATENCY_S = 1.0  # a retry that took longer than this is the last
MIN_RETRY_AFTER_S, RETRY_JITTER_S, DEFAULT_RETRY_AFTER_MS = 0.1, 0.1, 100
OWN_LATENESS_S = 0.35  # tolerated lateness of a response, because the benchmark itself may stall
MAX_CATCH_UP_S = 0.2  # after a stall of the benchmark, requests that were due earlier are skipped
BODY_BYTES_PER_S = 2e6  # expected transfer rate of a body
VIDEO_CLASS, PAGE_CLASS = "dish-media", "menu-pages"
TIMEOUT_MS = {VIDEO_CLASS: 2500, PAGE_CLASS: 1500}
LATENCY_OBJECTIVE_S = {VIDEO_CLASS: 0.6, PAGE_CLASS: 0.3}
TRANSFER_TIME_FACTOR = 2  # the latency objective is extended by this many times the expected transfer
FINISH_TIMEOUT_S = 5

Availability = Callable[[float, float], bool]  # (start, end) -> whether the target was up throughout
PickObject = Callable[
    [int], tuple[int, bool]
]  # number of the request -> its object, and whether that is local


def class_of(object_id: int) -> str:
    """Return the request class of an object."""
    return VIDEO_CLASS if object_id & VIDEO_BITS == VIDEO_BITS else PAGE_CLASS


class ClientPool:
    """Several connections to one front or gateway; closed connections are replaced.

    Args:
        name: Name of the target.
        region: Region of the target.
        address: Address on which the target listens.
        seed: Base of the seeds of the clients.
        was_available: Returns whether the target was up from a start to an end time.
        max_clients: Maximum number of connections.
    """

    def __init__(
        self,
        name: str,
        region: str,
        address: tuple[str, int],
        seed: int,
        was_available: Availability,
        max_clients: int = MAX_CLIENTS,
    ) -> None:
        self.name, self.region, self.address = name, region, address
        self.was_available = was_available
        self.clients: deque[Client] = deque()
        self._seed, self._max_clients = seed, max_clients
        self._client_count = 0
        self._errors_of_closed = 0

    def next_client(self) -> Client | None:
        """Return the next connection in rotation, or None if a new one could not be opened."""
        for client in [client for client in self.clients if client.closed]:
            self.clients.remove(client)
            self._errors_of_closed += _protocol_errors(client)
        if len(self.clients) < self._max_clients:
            self._client_count += 1
            try:
                self.clients.append(Client(self.address, self._seed * 1000 + self._client_count))
            except OSError:
                return None
        self.clients.rotate()
        return self.clients[0]

    def protocol_errors(self) -> int:
        """Return the number of duplicate and malformed responses on all connections, closed ones included."""
        return self._errors_of_closed + sum(map(_protocol_errors, self.clients))

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()


def _protocol_errors(client: Client) -> int:
    return client.duplicate_responses + client.malformed_responses


class RequestStream:
    """Requests at a mean rate, with exponentially distributed gaps drawn from the seed.

    Args:
        pool: Connections to the target of the requests.
        results: Receives the records of the requests and the violations.
        seed: Seed of the sending times and the retry jitter.
        rate: Requests per second.
        pick: Chooses the object of a request by its number.

    Attributes:
        running: Whether further requests and retries are sent.
        rate_factor: Factor on the rate.
    """

    def __init__(
        self, pool: ClientPool, results: RequestResults, seed: int, rate: float, pick: PickObject
    ) -> None:
        self.pool, self.results = pool, results
        self.running = True
        self.rate_factor = 1.0
        self._seed, self._rate, self._pick = seed, rate, pick
        self._number = 0
        self._in_flight: set[gevent.Greenlet] = set()

    def run(self) -> None:
        """Send requests until `finish` is called."""
        due_at = now()
        while self.running:
            self._number += 1
            gap = -math.log(1 - hashed_fraction(self._seed, "gap", self._number))
            due_at += gap / (self._rate * self.rate_factor)
            gevent.sleep(max(0, due_at - now()))
            due_at = max(due_at, now() - MAX_CATCH_UP_S)
            self.start_request(*self._pick(self._number))

    def start_request(self, object_id: int, is_local: bool) -> None:
        """Send a request in a new greenlet, without waiting for its response."""
        greenlet = gevent.spawn(self.request, object_id, is_local)
        self._in_flight.add(greenlet)
        greenlet.link(self._in_flight.discard)

    def request(self, object_id: int, is_local: bool) -> RequestRecord:
        """Send a request, retry it while it is rejected, and return its record."""
        record = RequestRecord(now(), self.pool.name, is_local)
        self.results.records.append(record)
        for number in range(1 + MAX_RETRIES):
            began = now()
            record.attempts = number + 1
            retry_after = self._attempt(record, object_id)
            is_too_slow = number and now() - began > MAX_RETRIED_LATENCY_S
            if retry_after is None or is_too_slow or not self.running:
                break
            jitter = RETRY_JITTER_S * hashed_fraction(self._seed, "wait", self._number, number)
            gevent.sleep(max(retry_after, MIN_RETRY_AFTER_S) + jitter)
        return record

    def _attempt(self, record: RequestRecord, object_id: int) -> float | None:
        """Send one attempt; return the seconds until a retry, or None if no retry follows."""
        began, client = now(), self.pool.next_client()
        if client is None:
            record.status = "closed"
            record.excused = not self.pool.was_available(record.sent_at, now())
            return None
        class_name = class_of(object_id)
        timeout_ms = TIMEOUT_MS[class_name]
        response = client.request(class_name, object_id, 0, group_of(object_id), timeout_ms)
        record.latency_s = now() - began
        if response is None or response.connection_lost:
            record.status = "lost" if response else ""
            record.excused = not self.pool.was_available(record.sent_at, now())
            if not record.excused:
                self._note_loss(f"{record.status or 'no response'} at {record.target} after", record)
            return None
        record.status = response.status
        if record.latency_s > timeout_ms / 1000 + OWN_LATENESS_S:
            self._note_loss(f"late response from {record.target}:", record)
        if response.status == "ok":
            self._check_body(record, began, object_id, response.body)
        if response.status != "full":
            return None
        return int(response.fields.get("pause", DEFAULT_RETRY_AFTER_MS)) / 1000

    def _note_loss(self, text: str, record: RequestRecord) -> None:
        self.results.lost += 1
        self.results.add_note(f"{text} {record.latency_s:.2f} s")

    def _check_body(self, record: RequestRecord, sent_at: float, object_id: int, body: bytes) -> None:
        version = version_of(body, object_id, 0)
        if version is None:
            self.results.corrupted += 1
            self.results.add_note(f"corrupted body from {record.target}: {body[:40]!r}")
            return
        record.served = True
        transfer_time = len(body) / BODY_BYTES_PER_S
        objective = LATENCY_OBJECTIVE_S[class_of(object_id)] + TRANSFER_TIME_FACTOR * transfer_time
        record.late = now() - record.sent_at > objective
        self.results.served_versions.append(ServedVersion(sent_at, record.target, object_id, version))

    def finish(self) -> None:
        """Stop sending, and wait at most `FINISH_TIMEOUT_S` for requests in flight."""
        self.running = False
        gevent.joinall(list(self._in_flight), timeout=FINISH_TIMEOUT_S)
