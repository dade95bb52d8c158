"""The event log of a control node: duplicates, retention for deltas, and compaction for snapshots."""

import pytest

from marbleglade.control.events.event_log import GROUP_COUNT, MAX_SNAPSHOT_AGE_EVENTS, EventLog
from marbleglade.control.events.session import FellBehindError, Session
from marbleglade.control.messages import ConfigurationEvent, decode_stream_line
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import NEVER, EndpointListChange, Purge
from tests.control.events.stream_reader import (
    RATE_BYTES_PER_S,
    endpoint,
    list_change,
    send_all,
    start_session,
)


def test_events_are_decoded_as_they_were_appended():
    log = EventLog("s")
    log.append_list(
        list_change(endpoint("a"), endpoint("b", UpstreamState.DRAINING, 3), complete=True, unreadable=["c"])
    )
    log.append_purge(Purge(0, 0xABC, 7, 1000))
    log.append_purge(Purge(0, 0, 0, 1001))
    log.append_configuration(4, "text")
    first, second, third, fourth = [decode_stream_line(entry.line) for entry in log.events_after(0, 1 << 20)]
    assert first == EndpointListChange(
        1, True, [endpoint("a"), endpoint("b", UpstreamState.DRAINING, 3)], ["c"]
    )
    assert second == Purge(2, 0xABC, 7, 1000) and third == Purge(3, 0, 0, 1001)
    assert fourth == ConfigurationEvent(4, 4, "text")


def test_a_purge_without_a_readable_time_is_retained_and_never_a_duplicate():
    log = EventLog("s")
    assert log.append_purge(Purge(0, 5, 0, NEVER)) and log.append_purge(Purge(0, 5, 0, NEVER))
    assert [decode_stream_line(entry.line).unix_ms for entry in log.events_after(0, 1 << 20)] == [
        NEVER,
        NEVER,
    ]


def test_a_duplicate_purge_is_dropped_and_an_earlier_time_does_not_replace_a_later_one():
    log = EventLog("s")
    assert log.append_purge(Purge(0, 5, 0, 2000)) and not log.append_purge(Purge(9, 5, 0, 2000))
    assert log.append_purge(Purge(0, 5, 0, 1000)).index == 2
    session, reader = start_session(log)
    send_all(session, reader)
    assert reader.purged == {("object", 5): 2000}


def test_a_configuration_version_never_decreases():
    log = EventLog("s")
    assert log.append_configuration(3, "c") and not log.append_configuration(3, "c")
    assert not log.append_configuration(2, "b") and log.last_index == 1 and log.configuration == (3, "c")


def test_an_entry_that_turned_unreadable_is_unreadable_in_a_snapshot_too():
    log = EventLog("s")
    log.append_list(list_change(endpoint("a"), complete=True))
    log.append_list(list_change(unreadable=["a"]))
    session, reader = start_session(log)
    send_all(session, reader)
    assert list(reader.endpoints.unreadable) == ["a"] and list(reader.endpoints.endpoints) == ["a"]
    log.append_list(list_change(endpoint("a", UpstreamState.REMOVED)))
    assert not log.endpoints.unreadable and not log.endpoints.endpoints


def test_a_watcher_can_not_resume_after_an_event_beyond_the_retention():
    log = EventLog("s", max_events=8)
    for number in range(5000):  # more than DROPPED_EVENTS_PER_COMPACTION
        log.append_purge(Purge(0, number + 1, 0, number))
    assert log.can_resume_after(4992) and not log.can_resume_after(4991) and not log.can_resume_after(5001)
    assert [entry.index for entry in log.events_after(4992, 1 << 20)] == list(range(4993, 5001))
    assert [entry.index for entry in log.events_after(4992, 1)] == [4993]
    with pytest.raises(FellBehindError):
        Session(log, RATE_BYTES_PER_S).resume_after(4991)


def test_purges_evicted_from_the_snapshot_are_covered_by_a_purge_of_all_groups():
    log = EventLog("s", max_events=4, max_purges=600)
    for number in range(1, 1501):
        log.append_purge(Purge(0, number, number % GROUP_COUNT, 10_000 + (7 * number) % 1500))
    session, reader = start_session(log, rate_bytes_per_s=1 << 24)
    send_all(session, reader)
    assert reader.line_count <= 600 + GROUP_COUNT and reader.last_index == 1500
    assert all(
        reader.purged_at(number, number % GROUP_COUNT) >= 10_000 + (7 * number) % 1500
        for number in range(1, 1501)
    )


def test_a_snapshot_is_reused_up_to_its_maximum_age():
    log = EventLog("s")
    log.append_purge(Purge(0, 1, 0, 1))
    first = log.snapshot()
    for number in range(MAX_SNAPSHOT_AGE_EVENTS):
        log.append_purge(Purge(0, number + 2, 0, 1))
    assert log.snapshot() is first
    log.append_purge(Purge(0, 9999, 0, 1))
    assert log.snapshot() is not first and log.snapshot().last_index == log.last_index
