"""Lower bounds on the arrival time of bytes that were read late, with a loop monitor that the tests step."""

from dataclasses import dataclass

import pytest

from marbleglade.transport.arrival import MAX_USUAL_DELAY_NS, MIN_EMPTY_TICKS, ArrivalBound, arrival_time

TICK_NS = 10
IDLE_TICKS = 20


@dataclass
class SteppedLoop:
    """A loop monitor that ticks when a test calls `tick`; `stalled_ns` is the time of a stall before it."""

    now: int = 1000
    ticks: int = 0
    watching: bool = True

    def __post_init__(self):
        self.tick_times = [self.now] * (MIN_EMPTY_TICKS + 1)

    def tick(self, after_ns=TICK_NS, stalled_ns=0):
        self.now += after_ns + stalled_ns
        self.tick_times = [self.now, *self.tick_times[:MIN_EMPTY_TICKS]]
        self.ticks += 1

    @property
    def last_tick(self):
        return self.tick_times[0]

    @property
    def sockets_empty_at(self):
        return self.tick_times[MIN_EMPTY_TICKS]


@pytest.fixture
def loop():
    return SteppedLoop()


def bound_after_idle_ticks(loop):
    """Return the bound of a reader that has waited for `IDLE_TICKS` ticks."""
    bound = ArrivalBound(loop, loop.now)
    for _ in range(IDLE_TICKS):
        loop.tick()
    return bound


def test_bytes_for_a_waiting_reader_arrived_after_the_polls_that_did_not_report_its_socket(loop):
    bound = bound_after_idle_ticks(loop)
    assert bound.earliest_arrival() == loop.now - MIN_EMPTY_TICKS * TICK_NS


def test_bytes_may_have_arrived_at_the_start_of_a_stall_before_the_poll(loop):
    bound = bound_after_idle_ticks(loop)
    loop.tick(stalled_ns=400)
    assert loop.now - bound.earliest_arrival() >= 400


def test_a_poll_that_a_signal_interrupted_proves_nothing(loop):
    """After a stall the interrupted poll reports no socket; only the next poll reports what arrived."""
    bound = bound_after_idle_ticks(loop)
    loop.tick(stalled_ns=400)
    loop.tick(after_ns=0)
    assert loop.now - bound.earliest_arrival() >= 400


def test_bytes_that_a_busy_reader_left_unread_may_be_as_old_as_its_last_read(loop):
    bound = bound_after_idle_ticks(loop)
    bound.record_read(emptied=True)
    read_at = loop.now
    for _ in range(50):  # the reader processes the bytes it has read
        loop.tick()
    bound.start_waiting()
    loop.tick()
    assert bound.record_read(emptied=True) == read_at


def test_bytes_that_did_not_fit_into_the_receive_buffer_may_be_as_old_as_those_before_them(loop):
    bound = bound_after_idle_ticks(loop)
    first = bound.record_read(emptied=False)
    bound.start_waiting()
    for _ in range(2):
        loop.tick()
        # A read that empties the socket proves nothing before the reader has waited for some ticks.
        assert bound.record_read(emptied=True) == first
        bound.start_waiting()
    for _ in range(MIN_EMPTY_TICKS + 1):
        loop.tick()
    assert bound.record_read(emptied=True) > first


def test_without_a_running_monitor_bytes_may_have_waited_for_any_time(loop):
    loop.watching = False
    bound = ArrivalBound(loop, loop.now)
    assert bound.may_be_unread_longer_than(loop.now, 1 << 60)


def test_the_arrival_time_is_set_back_only_if_the_wait_was_longer_than_usual():
    assert arrival_time(1000, 1000 + MAX_USUAL_DELAY_NS) == 1000 + MAX_USUAL_DELAY_NS
    assert arrival_time(1000, 1001 + MAX_USUAL_DELAY_NS) == 1000
