"""A control node merges the endpoint lists that the discovery service replays."""

import os

import pytest

from marbleglade.control.node.discovery_replay import ReplayMerger
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange, Heartbeat, Purge
from marbleglade.protocols.discovery_protocol import InvalidLineError
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.transport.event_sequence import EventSequence
from tests.control.events.stream_reader import endpoint


def sequence_with_merger():
    forwarded, sink = [], os.open(os.devnull, os.O_WRONLY)
    counters = Counters()
    merger = ReplayMerger(
        lambda purge, live: forwarded.append((purge.object_id, live)),
        lambda change: forwarded.append([endpoint.id for endpoint in change.endpoints]),
        lambda: forwarded.append("heartbeat"),
    )
    guard = ErrorGuard(counters, Log("c1", counters, sink=sink))
    sequence = EventSequence(0, merger.callbacks(), guard, accept_restart=True)
    return sequence, merger, forwarded


def test_replayed_lists_are_forwarded_as_one_and_purges_at_once():
    sequence, _merger, forwarded = sequence_with_merger()
    sequence.receive(EndpointListChange(1, True, [endpoint("a")]))
    sequence.receive(Purge(2, 7, 0, 70))
    sequence.receive(EndpointListChange(3, False, [endpoint("b"), endpoint("a", UpstreamState.REMOVED)]))
    assert forwarded == [(7, False)]
    sequence.receive(Heartbeat(3))
    sequence.receive(EndpointListChange(4, False, [endpoint("c")]))
    sequence.receive(Purge(5, 8, 0, 70))
    assert forwarded == [(7, False), ["b"], "heartbeat", ["c"], (8, True)]


def test_a_restarted_service_without_a_list_leaves_the_previous_one_in_force():
    sequence, merger, forwarded = sequence_with_merger()
    sequence.receive(EndpointListChange(1, True, [endpoint("a")]))
    sequence.receive(Heartbeat(1))
    with pytest.raises(InvalidLineError):
        sequence.receive(Heartbeat(0))
    sequence.receive(Heartbeat(0))
    assert forwarded == [["a"], "heartbeat", "heartbeat"]
    sequence.receive(EndpointListChange(1, False, [endpoint("b")]))
    sequence.receive(Purge(2, 8, 0, 70))
    sequence.receive(Heartbeat(2))
    assert forwarded[3:] == [(8, True), ["b"], "heartbeat"] and merger.replayed_list is None
