"""A front without clients keeps few upstream connections, and afterwards serves requests and exits."""

from __future__ import annotations

from collections.abc import Callable

from tests.harness.front_with_caches import SECONDS, FrontWithCaches
from tests.harness.scripted_cache import ScriptedCache
from tests.harness.settings import ORDER, front_settings
from tests.harness.waiting import wait_until

IDLE_CLOSE_MS = 300.0
LATENCY_OBJECTIVE_MS = 100.0  # a load probe is sent at intervals of six to ten times this time
REPORT = {"Via": "probe", "Names": ["x1"]}
MIN_HEALTH_CHECKS, MIN_HEARTBEATS = 3, 2


class UnusedFront:
    """A front without clients, whose idle connections to its cache are closed after a short time."""

    def __init__(self, start_front: Callable[..., FrontWithCaches]) -> None:
        self.cache = ScriptedCache("s1")
        limits = {"IdleClose": IDLE_CLOSE_MS, "Probing": True}
        settings = front_settings(limits, page={"Aim": LATENCY_OBJECTIVE_MS}, report=REPORT)
        self.front = start_front(settings, self.cache)

    def wait_for_probes(self) -> None:
        """Wait until probes were sent for longer than an idle connection lasts; check the connections."""
        discovery = self.front.discovery
        wait_until(
            lambda: self.cache.health_checks >= MIN_HEALTH_CHECKS and discovery.heartbeats >= MIN_HEARTBEATS,
            3 * SECONDS,
            interval=0.05,
        )
        event = self.front.counters_event()
        assert (
            event["upstream_connections"] <= 1 and event["client_connections"] == event["open_requests"] == 0
        )
        assert (
            event["counts"]["upstream.connection_closed"] >= MIN_HEALTH_CHECKS - 2 and not self.cache.attempts
        )


def test_a_front_that_was_unused_for_a_while_serves_and_exits(start_front):
    unused, used = UnusedFront(start_front), UnusedFront(start_front)
    unused.wait_for_probes()
    used.wait_for_probes()

    assert unused.front.stop() == 0
    assert unused.front.logged_counter("request.received") == 0

    client = used.front.connect_client()
    response = client.status()
    assert response and response.status == "yes"
    response = used.front.send_request(client, ORDER, 1)
    assert response and (response.status, response.body) == ("ok", b"s1")
    assert used.front.stop() == 0
    assert used.front.logged_counter("request.served") == 1
