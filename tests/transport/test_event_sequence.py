"""The order of discovery events, without sockets: which are passed on, and which are requested again."""

import os

import pytest

from marbleglade.model.watch_event import Heartbeat, Purge, UnknownEvent
from marbleglade.protocols.discovery_protocol import EventDecoder, GarbledLineError
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.transport.event_sequence import (
    EventNotAppliedError,
    EventSequence,
    IndexRestartError,
    MissingEventError,
    WatchCallbacks,
)

LAST_INDEX = 4


class Recorder:
    """Records the calls of a sequence: an event's index, a heartbeat's completeness, or "restart"."""

    def __init__(self, accept_restart=False):
        self.calls, self.failing_index = [], 0
        self.counters = Counters()
        guard = ErrorGuard(self.counters, Log("t", self.counters, sink=os.open(os.devnull, os.O_WRONLY)))
        callbacks = WatchCallbacks(
            self.apply, self.calls.append, handle_index_restart=lambda: self.calls.append("restart")
        )
        self.sequence = EventSequence(LAST_INDEX, callbacks, guard, accept_restart)

    def apply(self, event):
        if event.index == self.failing_index:
            raise ValueError("can't be applied")
        self.calls.append(event.index)


def purge(index):
    return Purge(index, 0, 1, 1)


def test_an_event_is_passed_on_once():
    recorder = Recorder()
    for index in (4, 5, 5, 6, 3):
        recorder.sequence.receive(purge(index))
    assert recorder.calls == [5, 6] and recorder.sequence.last_index == 6
    assert recorder.counters.counts["discovery.duplicate"] == 3


def test_a_gap_is_requested_again_once_and_then_accepted():
    recorder = Recorder()
    with pytest.raises(MissingEventError):
        recorder.sequence.receive(purge(7))
    assert recorder.calls == [] and recorder.sequence.last_index == LAST_INDEX
    recorder.sequence.receive(purge(7))
    assert recorder.calls == [7] and recorder.sequence.last_index == 7
    with pytest.raises(MissingEventError):  # another gap
        recorder.sequence.receive(purge(9))


def test_an_unknown_event_counts_and_is_not_passed_on():
    recorder = Recorder()
    recorder.sequence.receive(UnknownEvent(5))
    recorder.sequence.receive(purge(6))
    assert recorder.calls == [6]


def test_an_event_that_cannot_be_applied_is_requested_again_once():
    recorder = Recorder()
    recorder.failing_index = 5
    with pytest.raises(EventNotAppliedError):
        recorder.sequence.receive(purge(5))
    assert recorder.sequence.last_index == LAST_INDEX
    recorder.sequence.receive(purge(5))
    assert recorder.calls == [] and recorder.sequence.last_index == 5


def test_only_a_heartbeat_at_the_last_index_confirms_that_no_event_is_missing():
    recorder = Recorder()
    recorder.sequence.receive(Heartbeat(3))
    with pytest.raises(MissingEventError):
        recorder.sequence.receive(Heartbeat(5))
    recorder.sequence.receive(Heartbeat(5))  # the second one is accepted: the service has no such event
    assert recorder.calls == [False, False] and not recorder.sequence.confirmed_at
    recorder.sequence.receive(Heartbeat(4))
    assert recorder.calls == [False, False, True] and recorder.sequence.confirmed_at


def test_a_lower_heartbeat_is_a_restart_only_where_restarts_are_accepted():
    recorder = Recorder(accept_restart=True)
    with pytest.raises(IndexRestartError):
        recorder.sequence.receive(Heartbeat(2))
    assert recorder.calls == ["restart"] and recorder.sequence.last_index == 0
    recorder.sequence.receive(purge(1))
    assert recorder.calls == ["restart", 1]


def test_an_undecodable_line_is_requested_again_once_and_then_skipped():
    recorder, line = Recorder(), b"garbage\n5\n"
    with pytest.raises(GarbledLineError):
        list(recorder.sequence.decode(EventDecoder(), line))
    assert list(recorder.sequence.decode(EventDecoder(), line)) == [Heartbeat(5)]
    assert recorder.counters.counts["discovery.skipped_line"] == 1
