"""How far a front has applied a node's stream and what it may confirm, also tested with a model."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marbleglade.control.front_client.stream_progress import (
    MIN_CONFIRMATION_INTERVAL_NS,
    SequenceError,
    StreamProgress,
)
from marbleglade.control.messages import Greeting
from tests.harness.units import SECOND_NS


def greeting(stream="s", snapshot_to=0):
    return Greeting("d", "n", stream, snapshot_to)


def progress_after_greeting(stream="s", snapshot_to=0):
    progress = StreamProgress()
    progress.begin(greeting(stream, snapshot_to))
    return progress


def test_duplicate_events_are_detected_and_a_gap_of_indices_is_an_error():
    progress = progress_after_greeting()
    assert progress.is_new(1)
    progress.record_applied(1)
    assert not progress.is_new(1)
    with pytest.raises(SequenceError):
        progress.is_new(3)
    assert progress.resume_from() == ("s", 1)


def test_a_snapshot_is_confirmed_only_after_its_last_index():
    progress = progress_after_greeting(snapshot_to=9)
    for index in (3, 5):
        assert progress.is_new(index)
        progress.record_applied(index)
        assert progress.take_confirmation(10 * SECOND_NS) is None and progress.resume_from() == ("s", 0)
    progress.record_heartbeat(9)
    assert not progress.caught_up
    progress.record_applied(9)
    assert progress.take_confirmation(10 * SECOND_NS) == 9
    progress.record_heartbeat(9)
    assert progress.caught_up


def test_another_stream_is_followed_from_its_first_event():
    progress = progress_after_greeting()
    progress.record_applied(1)
    progress.begin(greeting("other"))
    assert (progress.applied, progress.take_confirmation(SECOND_NS)) == (0, None) and progress.is_new(1)


def test_confirmations_are_coalesced():
    progress = progress_after_greeting()
    progress.record_applied(1)
    assert progress.take_confirmation(SECOND_NS) == 1 and progress.next_confirmation_at() is None
    progress.record_applied(2)
    progress.record_applied(3)
    assert progress.take_confirmation(SECOND_NS + MIN_CONFIRMATION_INTERVAL_NS - 1) is None
    assert progress.next_confirmation_at() == SECOND_NS + MIN_CONFIRMATION_INTERVAL_NS
    assert progress.take_confirmation(SECOND_NS + MIN_CONFIRMATION_INTERVAL_NS) == 3


def test_a_heartbeat_with_a_lower_index_is_a_sequence_error():
    progress = progress_after_greeting()
    progress.record_applied(1)
    with pytest.raises(SequenceError):
        progress.record_heartbeat(0)


def test_a_failed_event_is_requested_once_more_and_not_confirmed_if_it_fails_again():
    progress = progress_after_greeting()
    progress.record_applied(1)
    assert progress.record_failure(2)
    progress.begin(greeting())
    assert not progress.record_failure(2)
    progress.record_applied(3)
    progress.record_heartbeat(3)
    assert (
        progress.take_confirmation(SECOND_NS) == 1
        and not progress.caught_up
        and progress.resume_from() == ("s", 1)
    )


def test_a_snapshot_with_a_failed_event_is_requested_again_from_its_beginning():
    progress = progress_after_greeting(snapshot_to=5)
    progress.retried = True
    assert not progress.record_failure(2)
    progress.record_applied(5)
    assert progress.take_confirmation(SECOND_NS) is None and progress.resume_from() == ("-", 0)


class StreamModel(RuleBasedStateMachine):
    """A node whose event log grows, is compacted and restarts, and a front that disconnects and reconnects.

    `effective` has the index of every event whose effect the front has: the applied events, and those that a
    complete snapshot replaces. All events up to a confirmed index must be among them.
    """

    def __init__(self):
        super().__init__()
        self.stream, self.last, self.retained = 1, 0, 0
        self.progress, self.effective, self.now = StreamProgress(), set(), 0
        self.queue = None  # indices of events in transit; None while not connected

    @rule(count=st.integers(1, 4))
    def append(self, count):
        for _ in range(count):
            self.last += 1
            if self.queue is not None:
                self.queue.append(self.last)

    @rule(keep=st.integers(0, 3))
    def compact(self, keep):
        self.retained = max(self.retained, self.last - keep)

    @rule(last=st.integers(0, 3))
    def restart_stream(self, last):
        self.stream, self.last, self.retained, self.queue = self.stream + 1, last, 0, None

    @rule()
    def disconnect(self):
        self.queue = None

    @precondition(lambda self: self.queue is None)
    @rule(step=st.integers(1, 3))
    def connect(self, step):
        stream, last = self.progress.resume_from()
        same = stream == str(self.stream) and last <= self.last
        if same and last >= self.retained:
            self.snapshot_to, self.queue = 0, list(range(last + 1, self.last + 1))
        elif not same and not self.retained and not self.last:
            self.snapshot_to, self.queue = 0, []
        else:
            self.snapshot_to = self.last
            self.queue = sorted({*range(1, self.last, step), self.last})
        if not same:
            self.effective = set()
        self.progress.begin(greeting(str(self.stream), self.snapshot_to))

    @precondition(lambda self: self.queue)
    @rule(fails=st.booleans())
    def deliver(self, fails):
        index = self.queue.pop(0)
        if not self.progress.is_new(index):
            return
        if fails:
            if self.progress.record_failure(index):
                self.queue = None
            self._complete_snapshot(index, {index})
            return
        self.effective.add(index)
        self.progress.record_applied(index)
        self._complete_snapshot(index, set())

    def _complete_snapshot(self, index, failed):
        """A snapshot covers all events up to its last index, unless a part of it was not applied."""
        if self.snapshot_to and index == self.snapshot_to and self.queue is not None:
            self.snapshot_to = 0
            if not self.progress.first_failed:
                self.effective |= {*range(1, index + 1)} - failed

    @precondition(lambda self: self.queue == [])
    @rule()
    def heartbeat(self):
        self.progress.record_heartbeat(self.last)
        if self.progress.caught_up:
            assert self.effective >= {*range(1, self.last + 1)}

    @precondition(lambda self: self.queue is not None)
    @rule()
    def confirm(self):
        self.now += MIN_CONFIRMATION_INTERVAL_NS
        index = self.progress.take_confirmation(self.now)
        if index is not None:
            assert index <= self.last and not self.snapshot_to
            assert self.effective >= {*range(1, index + 1)}

    @invariant()
    def no_missing_event_is_skipped_on_resumption(self):
        stream, last = self.progress.resume_from()
        if stream == str(self.stream):
            assert self.effective >= {*range(1, last + 1)}


TestStream = StreamModel.TestCase
TestStream.settings = settings(max_examples=80, stateful_step_count=40, derandomize=True, deadline=None)
