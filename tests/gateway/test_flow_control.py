"""Flow control of a link: the order of writes, the bytes in flight, and the chunks that are rejected."""

import itertools

import pytest

from marbleglade.gateway.link.flow_control import (
    MAX_CHUNK_BYTES,
    BodyReceiver,
    FlowControlError,
    OutgoingChunk,
    SendQueue,
)
from tests.harness.units import NS_PER_MS as MS


def take_all(queue, now=0):
    """Return the frames and chunks that may be written at `now`."""
    items = (queue.next_item(now) for _ in range(10_000))
    return list(itertools.takewhile(lambda item: item is not None, items))


def chunk_bytes(items):
    return sum(len(item.data) for item in items if isinstance(item, OutgoingChunk))


def test_control_frames_are_written_first_and_bodies_in_rotation():
    queue = SendQueue(1 << 20, 1 << 20, 10)
    queue.put_body(1, bytes(200_000))
    queue.put_body(2, bytes(3000))
    queue.put_frame(b"purge")
    items = take_all(queue)
    assert items[0] == b"purge"
    assert items[1].number == 1
    assert (items[2].number, items[2].offset) == (2, 0)
    assert chunk_bytes(items) <= MAX_CHUNK_BYTES


def test_nothing_is_sent_beyond_the_initial_credit():
    queue = SendQueue(16 * MAX_CHUNK_BYTES, MAX_CHUNK_BYTES, 10 * MS)
    queue.put_body(1, bytes(200_000))
    assert chunk_bytes(take_all(queue)) == MAX_CHUNK_BYTES


def queue_after_long_round_trips():
    """Return a queue after round trips of 100 ms without queueing delay, and the present time, ns."""
    queue = SendQueue(16 * MAX_CHUNK_BYTES, MAX_CHUNK_BYTES, 10 * MS)
    queue.put_body(1, bytes(200_000))
    take_all(queue)
    queue.add_credit(1, 200_000, 0)
    assert queue.send_window.in_flight_bytes <= queue.send_window.limit
    now = 100 * MS
    queue.add_credit(0, queue.send_window.in_flight_bytes, now)
    for _ in range(8):
        queue.put_body(1, bytes(1 << 20))
        queue.add_credit(1, 1 << 20, now)
        take_all(queue, now)
        now += 100 * MS
        queue.add_credit(0, queue.send_window.in_flight_bytes, now)
    return queue, now


def test_a_long_round_trip_without_queueing_does_not_shrink_the_window():
    queue, _ = queue_after_long_round_trips()
    assert queue.send_window.limit == 16 * MAX_CHUNK_BYTES


def test_queueing_delay_shrinks_the_window():
    queue, now = queue_after_long_round_trips()
    for _ in range(8):  # the link carries 100 bytes/ms, so a fuller window is acknowledged later
        take_all(queue, now)
        now += 100 * MS + queue.send_window.in_flight_bytes * MS // 100
        queue.add_credit(0, queue.send_window.in_flight_bytes, now)
    assert queue.send_window.limit <= 2 * queue.send_window.min_limit


def test_an_acknowledgement_of_more_than_was_sent_is_rejected():
    queue, now = queue_after_long_round_trips()
    take_all(queue, now)
    with pytest.raises(FlowControlError):
        queue.add_credit(0, 1 << 20, now)


def test_queued_control_frames_are_bounded():
    queue, _ = queue_after_long_round_trips()
    with pytest.raises(FlowControlError):
        for _ in range(1 << 10):
            queue.put_frame(bytes(1 << 13))


@pytest.mark.parametrize(
    "size, offset, initial_credit, chunks",
    [
        (100, 0, 50, [(0, 51)]),
        (100, 0, 100, [(1, 5)]),
        (100, 0, 100, [(0, 60), (60, 41)]),
        (100, 0, 100, [(0, 60), (0, 60)]),
        (100, 40, 100, [(0, 10)]),
        (100, 0, 100, [(0, 0)]),
    ],
)
def test_a_chunk_at_a_wrong_offset_or_without_credit_is_rejected(size, offset, initial_credit, chunks):
    receiver = BodyReceiver(size, offset, initial_credit, bytes(offset))
    with pytest.raises(FlowControlError):
        for chunk_offset, length in chunks:
            receiver.add_chunk(chunk_offset, bytes(length))
