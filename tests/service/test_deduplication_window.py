"""Requests with an effect are retried only within their deduplication window and group."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from marbleglade.testing.client import ClientResponse
from tests.harness.front_with_caches import SECONDS, FrontWithCaches
from tests.harness.messages import IDEMPOTENCY_KEY
from tests.harness.objects import object_with_ranking
from tests.harness.scripted_cache import EffectLog, ReceivedAttempt, ScriptedCache
from tests.harness.settings import PAYMENT, front_settings
from tests.harness.waiting import wait_until

LONG_CONNECT_MS = 8000.0
LONG_WINDOW_MS, MEDIUM_WINDOW_MS, SHORT_WINDOW_MS = 20_000, 1500, 300
KEY = IDEMPOTENCY_KEY


class Payments:
    """A front with a class whose repeats a cell drops within the window, and caches that log its effects."""

    def __init__(
        self, start_front: Callable[..., FrontWithCaches], window_ms: int, cells: dict[str, int]
    ) -> None:
        self.effect_log = EffectLog(window_ms / 1000)
        self.caches = [ScriptedCache(name, cell, self.effect_log) for name, cell in cells.items()]
        settings = front_settings(
            {"ConnectTimeout": LONG_CONNECT_MS}, payment={"KeyTtl": float(window_ms), "Group": "cell"}
        )
        self.front = start_front(settings, *self.caches)
        self.object_id = object_with_ranking(*cells)

    def send_request(self) -> ClientResponse | None:
        """Send one request; the policy prefers the caches in the order of their names in `cells`."""
        return self.front.send_request(self.front.connect_client(), PAYMENT, self.object_id, key=KEY)

    def keys(self) -> list[list[str]]:
        """Return the idempotency keys of the attempts at each cache."""
        return [[attempt.request.idempotency_key for attempt in cache.attempts] for cache in self.caches]


def test_a_retry_within_the_window_is_sent_to_a_cache_of_the_group_with_the_same_key(start_front):
    payments = Payments(start_front, LONG_WINDOW_MS, {"s1": 1, "s2": 2, "s3": 1})
    first = payments.caches[0]
    first.script = [first.reset]
    response = payments.send_request()
    assert response and (response.status, response.body) == ("ok", b"s3")
    assert payments.keys() == [[KEY], [], [KEY]] and payments.effect_log.effects == {KEY: 1}


def test_an_attempt_that_may_have_run_is_not_retried_after_the_window(start_front):
    payments = Payments(start_front, SHORT_WINDOW_MS, {"s1": 1, "s2": 1, "s3": 2})
    first = payments.caches[0]
    first.script = [first.hold]
    answer = gevent.spawn(payments.send_request)
    wait_until(lambda: first.attempts, SECONDS)
    wait_until(lambda: time.monotonic() - first.attempts[0].received_at > SHORT_WINDOW_MS / 1000, SECONDS)
    first.reset(first.attempts[0])
    response = answer.get(timeout=2 * SECONDS)
    assert response and response.status == "fault"  # a repeat could apply the effect twice
    assert payments.keys() == [[KEY], [], []] and payments.effect_log.effects == {KEY: 1}


def test_an_attempt_that_may_have_run_is_not_retried_outside_its_group(start_front):
    payments = Payments(start_front, LONG_WINDOW_MS, {"s1": 1, "s2": 2, "s3": 2})
    first = payments.caches[0]

    def reset_and_refuse(attempt: ReceivedAttempt) -> None:
        first.refuse_connections()
        first.reset(attempt)

    first.script = [reset_and_refuse]
    response = payments.send_request()
    assert response and response.status == "fault"
    assert payments.keys() == [[KEY], [], []] and payments.effect_log.effects == {KEY: 1}


def test_a_retry_whose_connection_is_up_only_after_the_window_is_not_sent(start_front):
    payments = Payments(start_front, MEDIUM_WINDOW_MS, {"s1": 1, "s2": 1, "s3": 2})
    first, second, _ = payments.caches
    first.script = [first.reset]
    second.hold_connections()
    answer = gevent.spawn(payments.send_request)
    wait_until(lambda: first.attempts, SECONDS)
    # The retry was decided within the window, and its connection is being established.
    wait_until(lambda: payments.front.counter("attempt.reset") == 1, SECONDS, interval=0.05)
    assert payments.front.counters_event()["upstream_connections"] == 1
    wait_until(lambda: time.monotonic() - first.attempts[0].received_at > MEDIUM_WINDOW_MS / 1000, SECONDS)
    second.release_connections()
    response = answer.get(timeout=2 * SECONDS)
    assert payments.keys() == [[KEY], [], []] and payments.effect_log.effects == {KEY: 1}
    assert response and response.status == "fault"
