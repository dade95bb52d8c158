"""Events are applied although the discovery service stops sending on an open connection after a reload."""

from __future__ import annotations

import time

from tests.harness.discovery import ScriptedDiscovery
from tests.harness.front_with_caches import SECONDS
from tests.harness.objects import object_with_ranking
from tests.harness.scripted_cache import ScriptedCache
from tests.harness.settings import ORDER, PAGE, front_settings
from tests.harness.waiting import wait_until

DISCOVERY_SECONDS = 7.0  # limit within which events of the discovery service must be applied
REQUESTS = 10


def test_events_during_a_silence_of_discovery_after_a_reload_are_applied(start_front):
    first, second = ScriptedCache("s1"), ScriptedCache("s2")
    settings = front_settings()
    front = start_front(settings, first, second)
    client, drained, purged = (
        front.connect_client(),
        object_with_ranking("s1", "s2"),
        object_with_ranking("s2", "s1"),
    )
    moved = ScriptedDiscovery(front.discovery)
    front.reload_with_discovery(settings, moved)
    wait_until(lambda: moved.watchers, SECONDS)
    moved.purge(0, 99, 1)  # the new connection works
    wait_until(lambda: front.counter("purge.received") == 1, SECONDS, interval=0.05)

    # The front has a copy of the object in its local cache and serves requests from it.
    while not front.counter("request.served_from_local_cache"):
        assert front.send_request(client, PAGE, purged).status == "ok"
    at_second = len(second.attempts)
    assert front.send_request(client, PAGE, purged).status == "ok" and len(second.attempts) == at_second

    # The drain and the purge are announced while nothing is sent on the connection, which stays open.
    moved.fall_silent()
    silent_since = time.monotonic()
    purged_at = time.time_ns() // 1_000_000
    moved.announce_draining(first)
    moved.purge(purged, 0, purged_at)
    assert moved.follow_requests == ["follow 1"]
    wait_until(lambda: front.counter("purge.received") == 2, SECONDS, interval=0.05)
    assert time.monotonic() - silent_since < DISCOVERY_SECONDS and moved.follow_requests == [
        "follow 1",
        "follow 2",
    ]

    at_first = len(first.attempts)
    for _ in range(REQUESTS):
        assert front.send_request(client, ORDER, drained).status == "ok"
    assert len(first.attempts) == at_first
    assert (
        front.send_request(client, PAGE, purged).status == "ok"
        and len(second.attempts) == at_second + REQUESTS + 1
    )
    age = second.attempts[-1].request.max_age_ms  # maximum age of a copy that the request accepts, ms
    assert 0 < age <= second.attempts[-1].received_unix_ms - purged_at
