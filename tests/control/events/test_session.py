"""The data that a session of a control node sends: snapshots, live events, rests of partial writes."""

import pytest

from marbleglade.control.events.event_log import GROUP_COUNT, PURGES_PER_EVICTION, EventLog
from marbleglade.control.events.session import MAX_SNAPSHOT_PAUSE_NS, SECOND_NS, FellBehindError, Session
from marbleglade.model.watch_event import Purge
from tests.control.events.stream_reader import (
    RATE_BYTES_PER_S,
    endpoint,
    list_change,
    log_with_purges,
    send_all,
    start_session,
)


def test_a_front_without_the_stream_is_sent_a_snapshot_and_one_close_behind_the_events():
    log = log_with_purges(40)
    session, reader = start_session(log)
    assert reader.snapshot_to == 41 and session.in_snapshot
    send_all(session, reader)
    assert reader.last_index == session.sent_index == 41 and not session.in_snapshot
    session, reader = start_session(log, 38)
    assert not reader.snapshot_to
    send_all(session, reader)
    assert reader.line_count == 3


def test_a_front_far_behind_is_sent_the_missing_part_of_the_snapshot_newest_first():
    log = log_with_purges(5000)
    session, reader = start_session(log, 4000)
    assert reader.snapshot_to == 5001
    duration_ns = send_all(session, reader)
    assert reader.line_count == 1 + 1001 and next(iter(reader.purged)) == ("object", 5000)
    assert (
        0.8
        < duration_ns
        / SECOND_NS
        * RATE_BYTES_PER_S
        / sum(len(entry.line) for entry in log.events_after(4000, 1 << 24))
        < 1.1
    )


def test_an_empty_log_has_no_snapshot():
    log = EventLog("s")
    session, reader = start_session(log)
    assert (
        not reader.snapshot_to and session.time_until_ready(0) is None and session.heartbeat_line() == b"0\n"
    )
    log.append_purge(Purge(0, 1, 0, 1))
    send_all(session, reader)
    assert reader.last_index == 1


def test_pauses_within_a_snapshot_are_shorter_than_the_silence_limit_of_a_watcher():
    log = EventLog("s")
    log.append_list(list_change(*[endpoint(f"cache-{number}") for number in range(200)], complete=True))
    log.append_purge(Purge(0, 1, 0, 1))
    session, reader = start_session(log)
    reader.read(session.next_batch(0))
    assert session.time_until_ready(0) <= MAX_SNAPSHOT_PAUSE_NS and reader.line_count == 1


def test_a_live_purge_is_sent_before_the_end_of_a_long_snapshot():
    log = log_with_purges(5000)
    for number in range(3000):  # one object: the snapshot has fewer lines than the log has numbers
        log.append_purge(Purge(0, 1, 0, 10_000 + number))
    session, reader = start_session(log)
    reader.read(session.next_batch(0))
    entry = log.append_purge(Purge(0, 777_777, 0, 99))
    reader.read(session.next_batch(1))
    assert reader.purged[("object", 777_777)] == 99 and reader.last_index < entry.index
    send_all(session, reader, 1)
    assert reader.last_index == entry.index


def test_live_purges_are_sent_early_by_coalescing_purges_when_no_number_is_free():
    log = EventLog("s")
    for number in range(1, 4001):
        log.append_purge(Purge(0, number, number % GROUP_COUNT, number))
    session, reader = start_session(log)
    for number in range(300):
        log.append_purge(Purge(0, 100_000 + number, 0, 5000))
        reader.read(session.next_batch(number))
        assert ("object", 100_000 + number) in reader.purged and session.in_snapshot
    send_all(session, reader)
    assert reader.last_index == log.last_index
    assert all(reader.purged_at(number, number % GROUP_COUNT) >= number for number in range(1, 4001))
    coalesced_count = sum(("object", number) not in reader.purged for number in range(1, 4001))
    assert PURGES_PER_EVICTION <= coalesced_count <= 2 * PURGES_PER_EVICTION


def test_a_short_snapshot_without_spare_numbers_is_sent_at_once():
    log = EventLog("s")
    for number in range(1, 201):
        log.append_purge(Purge(0, number, 0, number))
    session, reader = start_session(log)
    reader.read(session.next_batch(0))
    assert session.in_snapshot
    log.append_purge(Purge(0, 999, 0, 5))
    reader.read(session.next_batch(1))
    assert reader.last_index == 200 and not session.in_snapshot
    send_all(session, reader, 1)
    assert reader.purged[("object", 999)] == 5


def test_the_rest_of_a_partial_write_is_sent_first():
    log = log_with_purges(10)
    session, _reader = start_session(log, 0)
    batch = session.next_batch(0)
    session.record_written(batch, 10)
    assert (
        session.next_batch(1) == batch[10:]
        and session.time_until_ready(1) == 0
        and not session.heartbeat_line()
    )
    session.record_written(batch[10:], len(batch) - 10)
    assert (
        not session.next_batch(2)
        and session.time_until_ready(2) is None
        and session.heartbeat_line() == b"11\n"
    )


def test_a_watcher_behind_the_retention_raises_fell_behind_error():
    log = EventLog("s", max_events=4)
    session = Session(log, RATE_BYTES_PER_S)
    session.resume_after(0)
    for number in range(5):
        log.append_purge(Purge(0, number + 1, 0, 1))
    with pytest.raises(FellBehindError):
        session.next_batch(0)
