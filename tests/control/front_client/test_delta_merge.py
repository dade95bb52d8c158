"""Changes of the list of caches are merged into one equivalent change of bounded length."""

import pytest

from marbleglade.control.front_client.delta_merge import MAX_CACHES, ListTooLongError, MergedListChange
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange
from tests.control.front_client.endpoints import endpoint


def test_removed_caches_are_kept_until_a_complete_list_was_merged():
    merged = MergedListChange()
    merged.add(EndpointListChange(1, False, [endpoint("a"), endpoint("b", UpstreamState.REMOVED)], ["c"]))
    assert [cache.id for cache in merged.as_change().endpoints] == ["a", "b"]
    assert merged.as_change().unreadable == ["c"]
    merged.add(EndpointListChange(2, True, [endpoint("c"), endpoint("a")]))
    merged.add(EndpointListChange(3, False, [endpoint("a", UpstreamState.REMOVED)]))
    assert merged.as_change() == EndpointListChange(3, True, [endpoint("c")], [])


def test_a_change_that_exceeds_the_maximum_length_is_rejected_and_not_merged():
    merged = MergedListChange()
    merged.add(EndpointListChange(1, False, [endpoint("b", UpstreamState.REMOVED)]))
    merged.add(EndpointListChange(1, True, [endpoint("a")]))
    with pytest.raises(ListTooLongError):
        merged.add(EndpointListChange(2, False, [endpoint(str(number)) for number in range(MAX_CACHES)]))
    assert merged.as_change() == EndpointListChange(1, True, [endpoint("a")], [])
