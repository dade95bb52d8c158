"""Purges and the slow start of caches work even if a front's wall clock is wrong or steps."""

import time

import gevent
import pytest

from marbleglade.testing.client import Client
from tests.harness.faulty_front import FaultyFront
from tests.harness.scripted_cache import scripted_caches
from tests.harness.settings import endpoint_entry
from tests.harness.waiting import wait_until

HOUR = 3600.0


def fill_local_cache(front: FaultyFront, client: Client, object_id: int) -> None:
    """Sends requests until the front serves the object from its own cache."""
    for _ in range(20):
        before = front.attempt_count()
        assert front.send_page_request(client, object_id).status == "ok"
        if front.attempt_count() == before:
            return
    raise AssertionError("the front still sends attempts for the object after 20 requests")


def assert_purged_object_is_not_served(front: FaultyFront, client: Client) -> None:
    """Purges object 5, and asserts that the next request for it goes to a cache."""
    front.discovery.purge(5, 0, time.time_ns() // 1_000_000)
    wait_until(lambda: front.counter("purge.received") == 1, 5.0)
    before = front.attempt_count()
    assert front.send_page_request(client, 5).status == "ok"
    assert front.attempt_count() == before + 1


@pytest.mark.parametrize("step", [HOUR, -HOUR, 4.0, -4.0])
def test_a_purge_removes_a_cached_object_whatever_the_wall_clock_does(start_front, step):
    """The object is cached before the clock step, and purged after it."""
    front = start_front(*scripted_caches())
    client = front.connect_client()
    fill_local_cache(front, client, 5)
    gevent.sleep(0.05)
    front.control.step_clock(step)
    assert_purged_object_is_not_served(front, client)


@pytest.mark.parametrize("step", [HOUR, -HOUR, 4.0, -4.0])
def test_a_late_purge_removes_an_object_cached_during_a_clock_step(start_front, step):
    """The object is cached while the clock is wrong, and purged once the clock is right again."""
    front = start_front(*scripted_caches())
    client = front.connect_client()
    front.control.step_clock(step)
    fill_local_cache(front, client, 5)
    gevent.sleep(0.05)
    front.control.step_clock(0)
    assert_purged_object_is_not_served(front, client)


@pytest.mark.parametrize("step", [HOUR, -HOUR, 4.0, -4.0])
def test_after_a_purge_and_a_clock_step_no_older_object_is_requested(start_front, step):
    """Caches may only respond with objects issued after the purge; a clock step does not move that limit."""
    front = start_front(*scripted_caches())
    client = front.connect_client()
    purged_at = time.time()
    front.discovery.purge(5, 0, int(purged_at * 1000))
    wait_until(lambda: front.counter("purge.received") == 1, 5.0)
    front.control.step_clock(step)
    gevent.sleep(0.5)
    assert front.send_page_request(client, 5).status == "ok"
    attempt = next(attempt for cache in front.caches for attempt in cache.attempts)
    since_purge_ms = attempt.received_unix_ms - purged_at * 1000
    assert 0 < attempt.request.max_age_ms <= since_purge_ms + 50


@pytest.mark.parametrize("step", [HOUR, 30.0])
def test_a_cold_cache_keeps_its_slow_start_when_the_clock_steps_forward(start_front, step):
    """A cache that starts while the front's clock is wrong receives far fewer requests than a warm one."""
    warm, cold = scripted_caches()
    front = start_front(warm, cold)
    client = front.connect_client()
    front.control.step_clock(step)
    started = [endpoint_entry(cold.name, cold.address, started_ms=time.time_ns() // 1_000_000)]
    front.discovery.announce_entries(started)
    wait_until(lambda: len(front.events("endpoints")) >= 1 and front.counter("discovery.events") >= 1, 5.0)
    for object_id in range(200, 300):
        front.send_page_request(client, object_id)
    assert len(cold.attempts) < 30, "a warm cache receives about 50 of the 100 requests"


@pytest.mark.parametrize("offset", [HOUR, -HOUR, 30.0])
def test_a_front_that_starts_with_a_wrong_clock_keeps_the_slow_start_of_caches(start_front, offset):
    """The cache starts after the front, and its start is announced with the true time."""
    warm, cold = scripted_caches()
    front = start_front(warm, cold, faults={"clock_step_ns": int(offset * 1e9)})
    client = front.connect_client()
    wait_until(lambda: front.discovery.heartbeats >= 1, 5.0)
    started = [endpoint_entry(cold.name, cold.address, started_ms=time.time_ns() // 1_000_000)]
    front.discovery.announce_entries(started)
    wait_until(lambda: front.counter("discovery.events") >= 1, 5.0)
    for object_id in range(200, 300):
        front.send_page_request(client, object_id)
    assert len(cold.attempts) < 30, "a warm cache receives about 50 of the 100 requests"
