"""Routes: the regions that a request is sent to, by rules and by the learned locations of objects."""

import pytest

from marbleglade.gateway.routes import Routes, route_rule
from marbleglade.state.local_cache import CachedObject, LocalCache
from marbleglade.state.purge_history import UNKNOWN_GROUP, PurgeHistory
from tests.harness.units import NS_PER_MS as MS

RULES = [
    route_rule("west", 128, 255, ""),
    route_rule("east", None, None, "ea"),
    route_rule("west", None, None, "f"),
]


@pytest.mark.parametrize(
    "object_id, group, via_regions, regions",
    [
        (1, 200, (), ["west"]),
        (0xEA << 56, 3, (), ["east"]),
        (0xEA << 56, 130, (), ["west"]),
        (0xF << 60, 3, (), ["west"]),
        ((1 << 64) - 1, UNKNOWN_GROUP, (), ["west"]),
        (1, 3, (), ["east", "west", "south"]),
        (1, UNKNOWN_GROUP, (), ["east", "west", "south"]),
        (0xEB << 56, 3, (), ["east", "west", "south"]),
        (0xF << 60, 3, ("west",), ["east"]),  # a forwarded request stays in the local region
        (0xF << 60, 3, ("west", "south"), ["east"]),
        (1, 3, ("east",), []),
        (1, 3, ("west", "east"), []),
    ],
)
def test_routes_follow_the_rules_and_never_forward_a_request_twice(object_id, group, via_regions, regions):
    routes = Routes("east", ["west", "south"], RULES, 4, 100)
    assert routes.regions_for(object_id, group, via_regions, 0) == regions


def test_a_purge_of_any_group_applies_to_an_unknown_group():
    purges = PurgeHistory(1000)
    purges.add(0, 7, 50 * MS, 1)
    purges.add(9, 0, 60 * MS, 1)
    assert purges.latest(3, UNKNOWN_GROUP) == 50 * MS
    assert purges.latest(9, UNKNOWN_GROUP) == 60 * MS
    assert purges.latest(3, 8) == 0
    assert purges.notified_since(3, UNKNOWN_GROUP, 0) and not purges.notified_since(3, 8, 0)
    assert purges.latest_of_any_group() == 50 * MS

    cache = LocalCache(100)
    for object_id, group in ((1, UNKNOWN_GROUP), (2, 7), (3, 8)):
        cache.put(object_id, 0, CachedObject(b"a", "t", 40 * MS, group), 0)
    cache.purge(0, 7, 50 * MS)
    assert list(cache.objects) == [(3, 0)]


def test_learned_locations_expire_are_corrected_and_their_number_is_limited():
    routes = Routes("east", ["west"], [], 4, 100)
    for object_id in range(1, 7):
        routes.record_location(object_id, "west", 50)
    assert len(routes.locations) == 4
    assert routes.regions_for(6, 0, (), 100) == ["west", "east"]
    assert routes.reason_for(6, 0, 100) == "an answer"
    assert routes.regions_for(1, 0, (), 100) == ["east", "west"]
    assert routes.reason_for(1, 0, 100) == "nothing"
    assert routes.regions_for(6, 0, (), 150) == ["east", "west"]
    routes.record_missing(6, "east")
    assert routes.regions_for(6, 0, (), 100) == ["west", "east"]
    routes.record_missing(6, "west")
    assert routes.regions_for(6, 0, (), 100) == ["east", "west"]
