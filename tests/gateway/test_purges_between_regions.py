"""Two regions on loopback: after a purge in either region, neither region serves an older version."""

import gevent
import pytest

from marbleglade.testing.cache_client import CacheClient
from marbleglade.testing.object_store import group_of, version_of
from tests.harness.region_requests import (
    GET_SECONDS,
    LARGE_WEST_VIDEO,
    WEST,
    WEST_GATEWAYS,
    request_object,
    requested_version,
    served_version,
    set_west_fault,
    start_request,
    version_after_retries,
)
from tests.harness.regions import LINK, TwoRegions
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until

WEST_PAGE = WEST | 8
LOCAL_CACHE_SETTINGS = (
    "link { beat_ms: 20 silent_ms: 120 }\nrules { cold_ms: 0 heard_ratio: 4 }\n"
    "limits { pace: 1e8 width: 100 }\n"
)


def test_a_purge_of_any_group_applies_to_a_request_of_a_front_without_a_group(two_regions):
    """Requests in the caches' protocol do not state the group of their object."""
    client = CacheClient(("127.0.0.1", two_regions.east.ports["east-1"][1]))
    response = client.request("dish-media", f"{LARGE_WEST_VIDEO:016x}", 0, 1500)
    assert version_of(response.body, LARGE_WEST_VIDEO, 0) == 1
    two_regions.west.purge(0, group_of(LARGE_WEST_VIDEO))
    gevent.sleep(0.1)
    response = client.request("dish-media", f"{LARGE_WEST_VIDEO:016x}", 0, 1500)
    assert version_of(response.body, LARGE_WEST_VIDEO, 0) == 2
    client.close()


@pytest.mark.parametrize("object_id", [WEST_PAGE, LARGE_WEST_VIDEO])
@pytest.mark.parametrize("purged_in", ["east", "west"])
@pytest.mark.parametrize("whole_group", [True, False])
def test_a_purge_in_either_region_applies_in_the_other(two_regions, object_id, purged_in, whole_group):
    client = two_regions.client()
    assert requested_version(client, object_id) == 1
    purged_id, group = 0 if whole_group else object_id, group_of(object_id)
    two_regions.west.object_store.purge(purged_id, group)
    purged_at_ms = two_regions.west.clock() // NS_PER_MS
    getattr(two_regions, purged_in).discovery_service.purge(purged_id, group, purged_at_ms)
    gevent.sleep(0.1)
    assert version_after_retries(client, object_id) == 2


def test_a_purge_during_a_disconnection_applies_from_the_first_response_on(two_regions):
    client = two_regions.client()
    assert requested_version(client, LARGE_WEST_VIDEO) == 1
    for fault in ("reset", "silent"):
        two_regions.regions.set_fault(fault)
        gevent.sleep(0.25)
        before = two_regions.west.object_store.version(LARGE_WEST_VIDEO, group_of(LARGE_WEST_VIDEO))
        two_regions.west.purge(LARGE_WEST_VIDEO)
        assert request_object(client, LARGE_WEST_VIDEO).status == "full"
        two_regions.regions.set_fault("pass")
        assert version_after_retries(client, LARGE_WEST_VIDEO) == before + 1


def test_a_response_overtaken_by_a_purge_is_not_sent_to_the_client(two_regions):
    set_west_fault(two_regions, rate=300_000)
    waiting = start_request(two_regions.client(), LARGE_WEST_VIDEO)
    gevent.sleep(0.2)
    two_regions.west.purge(LARGE_WEST_VIDEO)
    gevent.sleep(0.1)
    set_west_fault(two_regions)
    response = waiting.get(timeout=GET_SECONDS)
    assert response.status == "full" or served_version(response, LARGE_WEST_VIDEO) == 2
    assert two_regions.count("forward.purged")


def test_a_gateway_disconnected_beyond_the_retention_of_purges_serves_no_purged_version(tmp_path):
    regions = TwoRegions(tmp_path, LINK.replace("cold_ms: 0", "cold_ms: 0 clear_ms: 50"))
    client = regions.client()
    assert requested_version(client, WEST_PAGE) == 1
    regions.regions.set_fault("reset")
    gevent.sleep(0.1)
    for number in range(3):  # for longer than the other side stores purges
        regions.west.purge(WEST | number << 32 if number else WEST_PAGE)
        gevent.sleep(0.25)
    regions.regions.set_fault("pass")
    assert version_after_retries(client, WEST_PAGE) == 2
    assert regions.count("purge.may_be_missing")
    regions.close()


def test_the_local_cache_serves_a_region_only_while_its_purges_are_confirmed(tmp_path):
    regions = TwoRegions(tmp_path, LOCAL_CACHE_SETTINGS)
    client = regions.client()
    for _ in range(4):
        assert version_after_retries(client, LARGE_WEST_VIDEO) == 1
    sent = regions.count("forward.sent")
    assert version_after_retries(client, LARGE_WEST_VIDEO) == 1
    assert regions.count("forward.sent") == sent
    regions.regions.set_fault("silent")
    gevent.sleep(0.25)
    assert requested_version(client, LARGE_WEST_VIDEO) == 1  # last confirmed under 480 ms ago
    gevent.sleep(0.5)
    assert request_object(client, LARGE_WEST_VIDEO).status == "full"
    regions.west.purge(LARGE_WEST_VIDEO)
    regions.regions.set_fault("pass")
    assert version_after_retries(client, LARGE_WEST_VIDEO) == 2
    regions.close()


def test_purges_hold_after_a_discovery_service_has_restarted_its_numbering(two_regions):
    client = two_regions.client()
    for _ in range(5):
        two_regions.west.purge(WEST_PAGE)
    assert version_after_retries(client, WEST_PAGE) == 6
    two_regions.west.discovery_service.restart_numbering()
    two_regions.west.announce_all()
    two_regions.west.purge(WEST_PAGE)
    wait_until(lambda: two_regions.count("discovery.index_restart", WEST_GATEWAYS) == 2)
    gevent.sleep(0.1)
    assert version_after_retries(client, WEST_PAGE) == 7
