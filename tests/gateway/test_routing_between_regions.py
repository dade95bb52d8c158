"""Two regions on loopback: each listener serves requests from the region that holds the object."""

import pytest

from marbleglade.protocols.cache_protocol import UpstreamRequest
from marbleglade.testing.cache_client import CacheClient
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.client import Client
from marbleglade.testing.object_store import group_of, version_of
from tests.harness.messages import IDEMPOTENCY_KEY, numbered_id, request_fields
from tests.harness.region_requests import (
    EAST,
    LARGE,
    LARGE_WEST_VIDEO,
    VIDEO,
    WEST,
    request_object,
    requested_version,
    version_after_retries,
)
from tests.harness.regions import TwoRegions

CACHE_SERVER_PORT = 1  # index in a gateway's list of ports


def cache_client(regions):
    """Connects to the listener for fronts of an east gateway."""
    return CacheClient(("127.0.0.1", regions.east.ports["east-1"][CACHE_SERVER_PORT]))


@pytest.mark.parametrize("object_id", [WEST | 4, LARGE_WEST_VIDEO, EAST | 1 << 20 | 4, EAST | LARGE | VIDEO])
@pytest.mark.parametrize("gateway", ["east-1", "west-2"])
def test_a_request_is_forwarded_to_the_region_of_its_object(two_regions, object_id, gateway):
    assert requested_version(two_regions.client(gateway), object_id) == 1


def test_the_listener_for_fronts_forwards_requests_too(two_regions):
    client = cache_client(two_regions)
    response = client.request("dish-media", f"{LARGE_WEST_VIDEO:016x}", 0, 1500)
    assert response.status == "HIT" and version_of(response.body, LARGE_WEST_VIDEO, 0) == 1
    assert client.send("p1", b"top p1\r\n").status == "PONG"
    client.close()


@pytest.mark.parametrize("listener", ["clients", "fronts"])
def test_an_idempotency_key_is_passed_on_to_the_region_that_drops_repeats(two_regions, monkeypatch, listener):
    keys = []
    respond = StandInUpstream._respond

    def record_key(upstream, request):
        keys.append(request.idempotency_key if isinstance(request, UpstreamRequest) else None)
        return respond(upstream, request)

    monkeypatch.setattr(StandInUpstream, "_respond", record_key)
    object_id = WEST | 4
    if listener == "clients":
        fields = request_fields(numbered_id(1), 1500, object_id, group=group_of(object_id))
        fields += f",nonce={IDEMPOTENCY_KEY}"
        two_regions.client().send_command(
            next(Client.trace_ids), b"ASK", b"votes", fields.encode(), b"", timeout_seconds=2
        )
    else:
        client = cache_client(two_regions)
        client.request("votes", f"{object_id:016x}", 0, 1500, idempotency_key=IDEMPOTENCY_KEY)
        client.close()
    assert keys == [IDEMPOTENCY_KEY]


def test_without_a_route_the_regions_are_tried_in_turn_and_the_location_is_remembered(tmp_path):
    regions = TwoRegions(tmp_path, routed=False)
    client = regions.client()
    object_id = WEST | 12
    assert version_after_retries(client, object_id) == 1
    assert regions.count("request.forwarded") == 1
    east_requests = regions.east.origin.request_count
    assert version_after_retries(client, object_id) == 1
    assert regions.east.origin.request_count == east_requests
    regions.west.object_store.contains = lambda _object_id: False
    assert request_object(client, WEST | 1 << 40).status == "full"
    regions.close()
