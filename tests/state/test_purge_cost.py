"""The cost of a purge does not grow with the number of entries.

The cost is counted in interpreter instructions, which depend neither on the clock nor on other load.
"""

import gc
import sys

import pytest

from marbleglade.model.request import CachedResponse, Request
from marbleglade.state.local_cache import CachedObject, LocalCache
from marbleglade.state.open_requests import OpenRequests
from marbleglade.state.purge_history import UNKNOWN_GROUP, PurgeHistory
from tests.harness.units import START_NS
from tests.policy.policy_harness import PolicyHarness


def count_instructions(call, *arguments):
    """Return the number of interpreter instructions that a call executes."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    gc.disable()  # callbacks of the garbage collector would be counted, too
    sys.settrace(trace)
    try:
        call(*arguments)
    finally:
        sys.settrace(before)
        gc.enable()
    return count


def group_of(object_id, entries):
    """Return the group of an object: four objects share each group, and none is `UNKNOWN_GROUP`."""
    return UNKNOWN_GROUP + 1 + object_id % (entries // 4)


def make_directory_purge(entries):
    harness = PolicyHarness()
    for object_id in range(1, entries + 1):
        group = group_of(object_id, entries)
        harness.policy.directory.add(object_id, 0, group, harness.caches[0], START_NS)
    return lambda object_id, group: harness.policy.handle_purge(object_id, group, START_NS)


def make_local_cache_purge(entries):
    cache = LocalCache(entries)
    for object_id in range(1, entries + 1):
        cache.put(object_id, 0, CachedObject(b"x", "", START_NS, group_of(object_id, entries)), 0)
    return lambda object_id, group: cache.purge(object_id, group, START_NS)


def make_open_requests_purge(entries):
    open_requests = OpenRequests(0)
    for object_id in range(1, entries + 1):
        cached = CachedResponse(1, START_NS)
        group = group_of(object_id, entries)
        open_requests.add(Request(None, object_id, 0, group, 0.0, 0, 0, cached=cached))
    return lambda object_id, group: open_requests.purge(object_id, group, START_NS)


def make_history_purge(entries):
    history = PurgeHistory(entries * 2)
    for number in range(entries * 4):  # entries older than the retention are dropped during the loop
        object_id, group = (number, 0) if number % 4 else (0, number)
        history.add(object_id, group, START_NS + number, START_NS + number)
    end = START_NS + entries * 4

    def record_and_look_up(object_id, group):
        history.add(object_id, group, end, end)
        history.latest(object_id, UNKNOWN_GROUP)
        history.notified_since(object_id, UNKNOWN_GROUP, end)

    return record_and_look_up


@pytest.mark.parametrize("purge", [(9, 0), (0, UNKNOWN_GROUP + 9), (10**9, 0), (0, 10**9)])
@pytest.mark.parametrize(
    "make_purge",
    [make_directory_purge, make_local_cache_purge, make_open_requests_purge, make_history_purge],
)
def test_the_cost_of_a_purge_does_not_grow_with_the_entries(make_purge, purge):
    few, many = (count_instructions(make_purge(entries), *purge) for entries in (64, 4096))
    assert few == many < 1200
