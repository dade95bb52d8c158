"""Two regions on loopback: requests are served while gateways are killed, restarted or drained."""

import gevent

from tests.harness.region_requests import (
    GET_SECONDS,
    LARGE_WEST_VIDEO,
    WEST_GATEWAYS,
    request_object,
    start_request,
    version_after_retries,
    west_pages,
)
from tests.harness.waiting import wait_until


def wait_until_links_are_up(regions):
    wait_until(lambda: all(link.up for link in regions.links()))


def test_a_region_is_reachable_while_one_of_its_gateways_runs_and_after_restarts(two_regions):
    client = two_regions.client()
    pages = west_pages(12)
    two_regions.kill("west-1")
    assert [version_after_retries(client, page) for page in pages] == [1] * 12
    two_regions.kill("west-2")
    assert all(request_object(client, page).status == "full" for page in pages)
    for name in WEST_GATEWAYS:
        two_regions.start(name)
    assert [version_after_retries(client, page, 100) for page in pages] == [1] * 12


def test_requests_of_a_killed_gateway_are_removed_from_the_journals(two_regions):
    waiting = start_request(two_regions.client(), LARGE_WEST_VIDEO)
    gevent.sleep(0.005)
    two_regions.kill("east-1")
    waiting.get(timeout=GET_SECONDS)
    wait_until(
        lambda: (
            not any(
                peer.session.entries
                for name in WEST_GATEWAYS
                for peer in two_regions.gateways[name].components.responder.peers.values()
            )
        )
    )
    two_regions.start("east-1")
    wait_until_links_are_up(two_regions)
    assert version_after_retries(two_regions.client(), LARGE_WEST_VIDEO) == 1


def test_a_draining_gateway_gets_no_requests_until_it_has_restarted(two_regions):
    client = two_regions.client()
    two_regions.gateways["west-1"].drain()
    gevent.sleep(0.05)
    received = two_regions.count("forwarded.received", ["west-1"])
    pages = west_pages(19)
    assert [version_after_retries(client, page) for page in pages] == [1] * 19
    assert two_regions.count("forwarded.received", ["west-1"]) == received
    two_regions.kill("west-1")
    two_regions.start("west-1")
    wait_until_links_are_up(two_regions)
    for page in pages:
        version_after_retries(client, page)
    assert two_regions.count("forwarded.received", ["west-1"])
