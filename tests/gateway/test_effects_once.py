"""Two regions on loopback: no request takes effect twice, even if links or gateways fail."""

import gevent
import pytest

from tests.harness.region_requests import (
    GET_SECONDS,
    WEST_GATEWAYS,
    effect_of,
    reset_west_links,
    set_west_fault,
    start_order,
)
from tests.harness.waiting import wait_until


@pytest.mark.parametrize(
    "restarted, status",
    [
        (False, "ok"),  # the stored response is sent again
        (True, "fault"),  # the restart lost the status, so the order may have run
    ],
)
def test_an_order_whose_response_was_lost_takes_effect_once(two_regions, restarted, status):
    for cache in two_regions.west.caches:
        cache.response_delay = 0.15
    waiting = start_order(two_regions.client(), 1)
    wait_until(lambda: two_regions.count("forwarded.received", WEST_GATEWAYS))
    set_west_fault(two_regions, "reset")
    gevent.sleep(0.3)
    if restarted:
        for name in WEST_GATEWAYS:
            two_regions.kill(name)
            two_regions.start(name)
    set_west_fault(two_regions)
    assert waiting.get(timeout=GET_SECONDS).status == status
    assert two_regions.regions.effects[effect_of(1)] == 1


def test_an_order_that_was_never_received_is_retried(two_regions):
    set_west_fault(two_regions, "down")  # nothing arrives in the west
    waiting = start_order(two_regions.client(), 2)
    gevent.sleep(0.06)
    reset_west_links(two_regions)
    set_west_fault(two_regions)
    assert waiting.get(timeout=GET_SECONDS).status == "ok"
    assert two_regions.regions.effects[effect_of(2)] == 1
    assert two_regions.count("forward.status_not_received")


@pytest.mark.parametrize("class_name", ["orders", "votes"])
def test_no_request_takes_effect_twice_while_links_are_reset(two_regions, class_name):
    for cache in two_regions.west.caches:
        cache.response_delay = 0.02
    client = two_regions.client()
    numbers = range(100, 160)
    waiting = []
    for index, number in enumerate(numbers):
        waiting.append(start_order(client, number, class_name))
        if index % 15 == 7:
            reset_west_links(two_regions)
        gevent.sleep(0.01)
    statuses = [request.get(timeout=GET_SECONDS).status for request in waiting]
    assert set(statuses) <= {"ok", "full", "fault"} and statuses.count("ok") > 40
    effects = two_regions.regions.effects
    assert class_name != "orders" or max(effects.values()) == 1
    for number, status in zip(numbers, statuses, strict=True):
        assert status != "ok" or effects[effect_of(number)] >= 1
        # A resent vote is recognized by its idempotency key, so a rejected vote may have taken effect.
        assert status != "full" or class_name == "votes" or not effects[effect_of(number)]
