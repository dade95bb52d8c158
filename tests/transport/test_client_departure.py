"""No attempt begins for a client that has left: each way of leaving against each state of its request.

After a client has closed its connection or cancelled, no attempt may begin more than `GRACE_SECONDS` later.
Each test sets up one state of a request with stand-ins for the network and the caches, and lets the client
leave. After the grace time it resolves the state, and counts the attempts that still begin at the caches.
Each state is also tested with a client that stays, to show that the state leads to an attempt.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest
from gevent import socket

from tests.harness.connections import reset
from tests.harness.departure_front import GRACE_SECONDS, DepartureFront
from tests.harness.waiting import wait_until
from tests.transport.departure_states import REQUEST_ID, STATES, State, connection_opens, waits_for_connection
from tests.transport.departures import (
    DEPARTURES,
    cancel,
    close,
    during_writes,
    half_close,
    without_other_traffic,
)


def connect_client_for(front: DepartureFront, state: State, before: Callable) -> socket.socket:
    reads_slowly = before is during_writes or not state.attempts_after
    return front.connect_slow_client()[0] if reads_slowly else front.connect_client()


@pytest.mark.parametrize("state", STATES, ids=str)
@pytest.mark.parametrize("departure", DEPARTURES, ids=str)
def test_no_attempt_begins_for_a_client_that_has_left(start_front, departure, state):
    front = start_front(state.policy)
    sock = connect_client_for(front, state, departure.before)
    state.arrange(front, sock)
    before = len(front.attempts(REQUEST_ID))
    departure.before(front, sock)
    departure.leave(sock)
    left_at = time.monotonic()
    front.wait_for_grace_period(left_at)
    state.resolve(front)
    if state.attempts_after:  # waits even for a busy front
        wait_until(lambda: not front.is_open(REQUEST_ID) or len(front.attempts(REQUEST_ID)) > before)
    front.run_loop_turns()
    assert front.late_attempt_count(REQUEST_ID, left_at) == 0
    assert len(front.attempts(REQUEST_ID)) == before


@pytest.mark.parametrize("order", ["client leaves first", "connection opens first"])
@pytest.mark.parametrize("leave", [close, half_close, reset, cancel])
def test_a_stalled_front_notices_a_departure_before_it_sends_an_attempt(start_front, leave, order):
    """When the process runs again, the client's end and the opened connection are both pending."""
    front = start_front()
    sock = front.connect_client()
    waits_for_connection(front, sock)
    steps = [lambda: leave(sock), lambda: connection_opens(front)]
    for step in steps if order == "client leaves first" else reversed(steps):
        step()
    left_at = time.monotonic()
    time.sleep(GRACE_SECONDS + 0.01)  # the whole process is stalled
    wait_until(lambda: not front.is_open(REQUEST_ID) or front.attempts(REQUEST_ID))
    front.run_loop_turns()
    assert front.late_attempt_count(REQUEST_ID, left_at) == 0 and not front.attempts(REQUEST_ID)


@pytest.mark.parametrize("state", STATES, ids=str)
def test_each_state_leads_to_an_attempt_for_a_client_that_stays(start_front, state):
    front = start_front(state.policy)
    sock = connect_client_for(front, state, without_other_traffic)
    state.arrange(front, sock)
    before, since = len(front.attempts(REQUEST_ID)), time.monotonic()
    front.wait_for_grace_period(since)
    state.resolve(front)
    if state.attempts_after:
        front.wait_for_attempts(REQUEST_ID, before + state.attempts_after)
    front.run_loop_turns()
    assert front.late_attempt_count(REQUEST_ID, since) == state.attempts_after
