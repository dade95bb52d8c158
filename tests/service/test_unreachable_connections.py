"""Attempts whose connections are never accepted: no request is lost and no descriptor is left open."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from marbleglade.testing.client import ClientResponse
from tests.harness.front_with_caches import SECONDS, FrontWithCaches
from tests.harness.messages import IDEMPOTENCY_KEY
from tests.harness.objects import object_with_ranking
from tests.harness.scripted_cache import ScriptedCache
from tests.harness.servers import UnreachableAddress
from tests.harness.settings import ORDER, PAGE, PAYMENT, REQUEST_TIMEOUT_MS, front_settings
from tests.harness.waiting import wait_until

CONNECT_MS = 400.0
ATTEMPT_COUNT = 50
ALL_CLASSES = (PAGE, ORDER, PAYMENT)


@pytest.fixture
def unreachable():
    address = UnreachableAddress()
    yield address
    address.close()


def send_request_of_each_class(
    front: FrontWithCaches, names: tuple[str, ...], object_id: int, timeout_ms: int
) -> list[ClientResponse]:
    """Send one request of each of these classes at the same time; return the responses."""
    client = front.connect_client()
    requests = [
        gevent.spawn(front.send_request, client, name, object_id, timeout_ms, key=IDEMPOTENCY_KEY)
        for name in names
    ]
    return [request.get(timeout=2 * SECONDS) for request in requests]


def test_an_attempt_without_connection_is_retried_and_leaves_no_descriptor_open(start_front, unreachable):
    cache = ScriptedCache("s1")
    settings = front_settings({"ConnectTimeout": CONNECT_MS}, payment={"Group": "cell"})
    front = start_front(settings, cache, unreachable={"s2": unreachable.address})
    send_request_of_each_class(front, (PAGE,), object_with_ranking("s1", "s2"), REQUEST_TIMEOUT_MS)
    descriptors = front.open_descriptors()

    answers = send_request_of_each_class(
        front, ALL_CLASSES, object_with_ranking("s2", "s1"), REQUEST_TIMEOUT_MS
    )
    assert [(response.status, response.body) for response in answers if response] == [("ok", b"s1")] * len(
        ALL_CLASSES
    )
    assert len(cache.attempts) == 1 + len(ALL_CLASSES) and front.counter("attempt.connect_failed") == len(
        ALL_CLASSES
    )
    # The client of these requests uses one more descriptor.
    wait_until(
        lambda: front.in_flight() == 0 and front.open_descriptors() == descriptors + 1, SECONDS, interval=0.05
    )


def check_rejection_after_connect_timeouts(
    start_front: Callable[..., FrontWithCaches], address: tuple[str, int], connect_ms: float, timeout_ms: int
) -> None:
    """Send requests to a front whose only cache can't be reached; check responses and open descriptors."""
    settings = front_settings({"ConnectTimeout": connect_ms}, payment={"Group": "cell"})
    front = start_front(settings, unreachable={"s1": address})
    descriptors = front.open_descriptors()
    answers = send_request_of_each_class(front, ALL_CLASSES, 1, timeout_ms)
    assert [response and response.status for response in answers] == ["full"] * len(
        ALL_CLASSES
    )  # no attempt ran, so a client may safely repeat the request
    wait_until(
        lambda: front.in_flight() == 0 and front.counters_event()["upstream_connections"] == 0,
        SECONDS,
        interval=0.05,
    )
    assert front.open_descriptors() == descriptors + 1


def test_without_any_connection_a_request_is_rejected_at_its_deadline(start_front, unreachable):
    short_connects = gevent.spawn(
        check_rejection_after_connect_timeouts, start_front, unreachable.address, 200.0, REQUEST_TIMEOUT_MS
    )
    short_requests = gevent.spawn(
        check_rejection_after_connect_timeouts, start_front, unreachable.address, 1500.0, 500
    )
    gevent.joinall([short_connects, short_requests], raise_error=True)


def test_one_unreachable_connection_in_fifty_loses_no_request(start_front):
    first, second = ScriptedCache("s1"), ScriptedCache("s2")
    front = start_front(front_settings({"ConnectTimeout": CONNECT_MS}), first, second)
    clients = [front.connect_client(), front.connect_client()]
    for client in clients:
        front.send_request(client, ORDER, object_with_ranking("s2", "s1"))
    descriptors, before = front.open_descriptors(), len(second.attempts)

    # Each attempt in flight uses a connection of its own, so the fiftieth needs a new one.
    first.script = [first.hold] * (ATTEMPT_COUNT - 1)
    requests = [
        gevent.spawn(
            front.send_request,
            clients[number % 2],
            ALL_CLASSES[number % 3],
            object_with_ranking("s1", "s2", skip=number),
        )
        for number in range(ATTEMPT_COUNT - 1)
    ]
    wait_until(lambda: len(first.attempts) == ATTEMPT_COUNT - 1, SECONDS)
    first.hold_connections()
    held = gevent.spawn(
        front.send_request, clients[0], ORDER, object_with_ranking("s1", "s2", skip=ATTEMPT_COUNT)
    )
    response = held.get(timeout=SECONDS)
    assert (
        response and (response.status, response.body) == ("ok", b"s2") and len(second.attempts) == before + 1
    )
    for attempt in first.attempts:
        first.respond(attempt)
    answers = [request.get(timeout=SECONDS) for request in requests]
    assert [(answer.status, answer.body) for answer in answers if answer] == [("ok", b"s1")] * (
        ATTEMPT_COUNT - 1
    )

    assert (
        front.counter("attempt.connect_failed") == 1 and front.counter("attempt.ok") == ATTEMPT_COUNT + before
    )
    wait_until(
        lambda: front.in_flight() == 0 and front.open_descriptors() == descriptors, SECONDS, interval=0.05
    )
