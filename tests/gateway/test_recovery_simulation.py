"""Simulates a thousand runs with disconnections and reconnections: no effect happens twice."""

import zlib
from collections import Counter, deque

import pytest

from marbleglade.gateway.link import recovery
from marbleglade.gateway.link.recovery import AwaitLink
from marbleglade.gateway.request_journal import RequestJournal, RequestStatus
from marbleglade.model.attempt import NEVER_RUN_RESULTS, AttemptResult
from marbleglade.model.request import Idempotency, RequestClass
from tests.harness.units import NS_PER_MS as MS

TIMEOUT = 2000 * MS
MAX_ATTEMPTS = 6


class JournalAcceptingLateRequests(RequestJournal):
    """A fault introduced on purpose: a request that was reported as never received may still be accepted."""

    def status_of(self, session, number):
        last_number = session.last_number
        status = super().status_of(session, number)
        session.last_number = last_number
        return status


class JournalForgettingExpiry(RequestJournal):
    """A fault introduced on purpose: a request that has expired is reported as never received."""

    def expire(self, now):
        expired_up_to = {name: session.expired_up_to for name, session in self.sessions.items()}
        expired = super().expire(now)
        for name, session in self.sessions.items():
            session.expired_up_to = expired_up_to[name]
        return expired


class Simulation:
    """One requester, one responder, and a link that may be disconnected at any moment, on simulated time.

    The steps are those of `requester` and `forwarded_requests`. Each direction has a queue of messages. A
    disconnection loses the messages to the requester. Those to the responder move to a third queue,
    `late_messages`, from which the responder may read them after the next connection is up. Entries of the
    journal expire soon, some of them before their status is queried.

    Args:
        seed: The seed of the pseudorandom numbers.
        journal: The responder's journal.

    Attributes:
        effects: How often each order took effect at the responder.
        results: The final result of each order at the requester.
    """

    def __init__(self, seed, journal):
        self.seed = seed
        self.random_count = 0
        self.now = 0
        self.journal = journal
        self.connection_number = 0
        self.last_number = 0
        self.request_class = RequestClass(300 * MS, 2, TIMEOUT, Idempotency.NON_IDEMPOTENT)
        self.effects = Counter()
        self.results = {}
        self.numbers_by_order = {}
        self.in_flight = {}
        self.detached = {}
        self.running = {}
        self.up = False
        self.to_responder = deque()
        self.to_requester = deque()
        self.late_messages = deque()
        self.connect()

    def next_random(self):
        self.random_count += 1
        return zlib.crc32(b"%d %d" % (self.seed, self.random_count)) / 2**32

    def connect(self):
        self.connection_number += 1
        self.to_responder = deque()
        self.to_requester = deque()
        self.session, _ = self.journal.open_session("g", 1, self.connection_number, False)
        self.up = True
        for number in self.detached:
            self.to_responder.append(("status query", number))

    def disconnect(self):
        self.up = False
        self.late_messages = self.to_responder
        self.to_requester.clear()
        for number, (order, sent_at) in self.in_flight.items():
            decision = recovery.result_after_disconnect(
                self.request_class, sent_at, self.now, sent_at + TIMEOUT, True
            )
            assert isinstance(decision, AwaitLink)
            self.detached[number] = order, sent_at, decision.deadline
        self.in_flight.clear()

    def send_attempt(self, order):
        self.last_number += 1
        self.numbers_by_order.setdefault(order, []).append(self.last_number)
        self.in_flight[self.last_number] = order, self.now
        self.to_responder.append(("request", self.last_number, order))

    def handle_result(self, order, result):
        """Retry an order if the result proves that it did not run; otherwise record the result.

        The policy has the same rule. Retries also need a connected link and end after `MAX_ATTEMPTS`.
        """
        may_retry = result in NEVER_RUN_RESULTS and self.up
        if may_retry and len(self.numbers_by_order[order]) < MAX_ATTEMPTS:
            self.send_attempt(order)
        else:
            self.results[order] = result

    def receive_at_responder(self, kind, number, order=None):
        if kind == "request":
            entry = self.journal.open_entry(self.session, number, self.now + 200 * MS)
            if entry:
                self.running[number] = entry, order, self.now + int(self.next_random() * 100 * MS)
        elif kind == "status query":
            status, _ = self.journal.status_of(self.session, number)
            self.to_requester.append(("status", number, status))
            if status is RequestStatus.COMPLETED:
                self.to_requester.append(("response", number, None))
        elif kind == "acknowledgement":
            self.journal.remove(self.session, number)

    def receive_at_requester(self, kind, number, status):
        if kind == "response" and number in self.in_flight:
            order, _ = self.in_flight.pop(number)
            self.results[order] = AttemptResult.OK
            self.to_responder.append(("acknowledgement", number))
        elif kind == "status" and number in self.detached:
            order, sent_at, _ = self.detached.pop(number)
            result = recovery.result_of_status(status)
            if result is None:
                self.in_flight[number] = order, sent_at
            else:
                self.handle_result(order, result)

    def run_due_requests(self):
        for number, (entry, order, due) in list(self.running.items()):
            if due > self.now:
                continue
            del self.running[number]
            self.effects[order] += 1
            self.journal.store_response(self.session, entry, "done", 10)
            if self.up and self.session.entries.get(number) is entry:
                self.to_requester.append(("response", number, None))

    def end_overdue_requests(self):
        for number, (order, _, deadline) in list(self.detached.items()):
            if deadline < self.now:
                del self.detached[number]
                self.handle_result(order, AttemptResult.RESET)

    def step(self):
        self.now += int(self.next_random() * 20 * MS)
        event = self.next_random()
        if event < 0.08:
            if self.up:
                self.disconnect()
            else:
                self.connect()
        elif event < 0.3 and self.up:
            self.send_attempt(len(self.numbers_by_order))
        if self.late_messages and self.next_random() < 0.3:
            self.receive_at_responder(*self.late_messages.popleft())
        if self.up and self.to_responder and self.next_random() < 0.7:
            self.receive_at_responder(*self.to_responder.popleft())
        self.run_due_requests()
        if self.up and self.to_requester and self.next_random() < 0.7:
            self.receive_at_requester(*self.to_requester.popleft())
        self.end_overdue_requests()
        self.journal.expire(self.now)


def simulate(journal_type, seeds):
    """Count runs with a repeated effect, runs that served an order without an effect, and served orders."""
    counts = Counter()
    for seed in seeds:
        simulation = Simulation(seed, journal_type(10_000, 10_000))
        for _ in range(250):
            simulation.step()
        served = [order for order, result in simulation.results.items() if result is AttemptResult.OK]
        counts["effect twice"] += any(number > 1 for number in simulation.effects.values())
        counts["served without effect"] += any(not simulation.effects[order] for order in served)
        counts["served"] += len(served)
    return counts


def test_no_effect_happens_twice_in_a_thousand_runs():
    counts = simulate(RequestJournal, range(1000))
    assert not counts["effect twice"] and not counts["served without effect"]
    assert counts["served"] > 10_000


@pytest.mark.parametrize("journal_type", [JournalAcceptingLateRequests, JournalForgettingExpiry])
def test_the_simulation_finds_a_fault_introduced_on_purpose(journal_type):
    assert simulate(journal_type, range(300))["effect twice"]
