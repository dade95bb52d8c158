"""Two regions on loopback: how requests continue while links are reset, silent or slow."""

import gevent
import pytest

from tests.harness.region_requests import (
    GET_SECONDS,
    LARGE,
    LARGE_WEST_VIDEO,
    LONG_TIMEOUT_MS,
    VIDEO,
    WEST,
    request_object,
    requested_version,
    reset_west_links_after,
    served_version,
    set_west_fault,
    start_request,
    west_proxies,
)
from tests.harness.regions import LINK, TwoRegions

# A request class with an objective and a timeout that are not reached even on a slow machine. A request that
# exceeds them is rejected.
ARCHIVE = "archive-media"
ARCHIVE_TIMEOUT_MS = 9000
ARCHIVE_CLASS = f'profiles {{ name: "{ARCHIVE}" agreed_ms: 2000 stretch: 2 client_timeout_ms: 10000 }}\n'


@pytest.mark.parametrize("received_bytes", [20_000, 60_000, 150_000])
def test_a_body_is_resumed_after_a_reset(two_regions, received_bytes):
    reset_west_links_after(two_regions, received_bytes)
    response = request_object(two_regions.client(), LARGE_WEST_VIDEO, timeout_ms=LONG_TIMEOUT_MS)
    assert served_version(response, LARGE_WEST_VIDEO) == 1
    assert two_regions.count("forward.resumed")
    assert two_regions.count("forward.resent_bytes") * 10 <= two_regions.count("forward.partial_bytes") > 0


def test_a_body_is_resumed_as_often_as_needed(two_regions):
    waiting = start_request(two_regions.client(), LARGE_WEST_VIDEO)
    for _ in range(4):
        reset_west_links_after(two_regions, 40_000)
        gevent.sleep(0.1)
    assert served_version(waiting.get(timeout=GET_SECONDS), LARGE_WEST_VIDEO) == 1
    assert two_regions.count("forward.resent_bytes") * 10 <= two_regions.count("forward.partial_bytes") > 0


@pytest.fixture
def two_regions_with_archive(tmp_path):
    regions = TwoRegions(tmp_path, LINK + ARCHIVE_CLASS)
    yield regions
    regions.close()


def start_request_and_disconnect(regions, class_name, timeout_ms, fault, seconds):
    """Requests a large object of the west, with a fault on its links for `seconds` during the body."""
    set_west_fault(regions, rate=500_000)
    waiting = gevent.spawn(request_object, regions.client(), LARGE_WEST_VIDEO, class_name, timeout_ms)
    gevent.sleep(0.15)
    set_west_fault(regions, fault)
    gevent.sleep(seconds)
    assert not any(link.up for link in regions.links()) or fault == "half"
    set_west_fault(regions)
    return waiting


@pytest.mark.parametrize("fault", ["silent", "up", "down", "half"])
def test_a_request_outlasts_a_disconnection_within_its_objective(two_regions_with_archive, fault):
    waiting = start_request_and_disconnect(two_regions_with_archive, ARCHIVE, ARCHIVE_TIMEOUT_MS, fault, 0.3)
    assert served_version(waiting.get(timeout=ARCHIVE_TIMEOUT_MS / 1000 + 1), LARGE_WEST_VIDEO) == 1
    assert two_regions_with_archive.count("forward.disconnected", ["east-1"]) > 0


@pytest.mark.parametrize("fault", ["silent", "up", "down"])
def test_a_request_whose_links_return_after_its_objective_is_rejected(two_regions, fault):
    waiting = start_request_and_disconnect(two_regions, "dish-media", LONG_TIMEOUT_MS, fault, 1.8)
    response = waiting.get(timeout=GET_SECONDS)
    assert response is not None and response.status == "full" and int(response.fields["pause"]) > 0, response


def test_requests_fail_over_from_one_silent_link_to_the_other(two_regions):
    client = two_regions.client()
    object_ids = [WEST | number << 32 | LARGE | VIDEO for number in range(1, 9)]
    west_proxies(two_regions)[0].set_fault("silent")
    waiting = [start_request(client, object_id) for object_id in object_ids]
    versions = [
        served_version(request.get(timeout=GET_SECONDS), object_id)
        for object_id, request in zip(object_ids, waiting, strict=True)
    ]
    assert versions == [1] * 8


def test_a_slow_link_delays_neither_a_page_nor_a_purge(two_regions):
    client = two_regions.client()
    set_west_fault(two_regions, rate=60_000)
    videos = [start_request(client, WEST | number << 32 | LARGE | VIDEO) for number in range(6)]
    gevent.sleep(0.2)
    page = WEST | 0x100 << 16 | 4
    before = gevent.get_hub().loop.now()
    assert requested_version(client, page) == 1
    assert gevent.get_hub().loop.now() - before < 1
    purges = two_regions.count("purge.from_other_region", ["east-1"])
    two_regions.west.purge(page)
    gevent.sleep(0.3)
    assert two_regions.count("purge.from_other_region", ["east-1"]) == purges + 2  # one on each link
    responses = [video.get(timeout=5) for video in videos]
    assert all(response and response.status in ("ok", "full") for response in responses)
