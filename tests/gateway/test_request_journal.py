"""The journal of forwarded requests: statuses, bounds, and a model-based test of random call sequences."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marbleglade.gateway.request_journal import RequestJournal, RequestStatus

MAX_ENTRIES, MAX_BYTES = 6, 100


def journal_with_two_responses():
    """Requests 1, 2, 3 and 5, of which 1 and 2 have responses; the memory bound allows only one of these."""
    journal = RequestJournal(100, 50)
    session, ended = journal.open_session("east-1", 1, 1, False)
    assert not ended
    entries = {number: journal.open_entry(session, number, 10 * number) for number in (1, 2, 3, 5)}
    journal.store_response(session, entries[1], "a", 30, "part")
    journal.store_response(session, entries[2], "b", 30)
    return journal, session, entries


def test_a_number_is_accepted_once_and_in_order():
    journal, session, _ = journal_with_two_responses()
    assert journal.open_entry(session, 5, 0) is None
    assert journal.open_entry(session, 4, 0) is None
    assert journal.consume_number(session, 9)
    assert not journal.consume_number(session, 9)


def test_the_status_of_a_request_is_reported():
    journal = RequestJournal(100, 50)
    session, _ = journal.open_session("east-1", 1, 1, False)
    completed = journal.open_entry(session, 1, 10)
    running = journal.open_entry(session, 2, 20)
    journal.store_response(session, completed, "a", 30, "part")
    assert journal.stored_response("part") == "a" and journal.stored_response("other") is None
    assert journal.status_of(session, 1) == (RequestStatus.COMPLETED, completed)
    assert journal.status_of(session, 2) == (RequestStatus.RUNNING, running)


def test_a_request_that_was_reported_as_never_received_is_not_accepted_later():
    journal, session, _ = journal_with_two_responses()
    assert journal.status_of(session, 8) == (RequestStatus.NOT_RECEIVED, None)
    assert journal.open_entry(session, 8, 0) is None


def test_above_the_memory_bound_the_oldest_response_is_evicted_and_its_request_is_lost():
    journal, session, _ = journal_with_two_responses()
    assert journal.stored_response("part") is None
    assert journal.status_of(session, 1)[0] is RequestStatus.LOST
    assert journal.stored_bytes == 30


def test_an_expired_request_is_lost():
    journal, session, entries = journal_with_two_responses()
    assert journal.expire(25) == [entries[1], entries[2]] and journal.stored_bytes == 0
    assert journal.status_of(session, 2) == (RequestStatus.LOST, None)
    assert journal.status_of(session, 3)[0] is RequestStatus.RUNNING


def test_an_older_connection_or_incarnation_gets_no_session():
    journal, _, _ = journal_with_two_responses()
    assert journal.open_session("east-1", 1, 1, True) == (None, [])
    assert journal.open_session("east-1", 0, 9, True) == (None, [])


def test_another_incarnation_ends_the_session():
    journal, session, entries = journal_with_two_responses()
    journal.expire(25)
    assert journal.remove(session, 3) is entries[3] and journal.entry_count == 1
    session, ended = journal.open_session("east-1", 2, 1, True)
    assert ended == [entries[5]] and journal.entry_count == 0 and session.last_number == 0


def test_acknowledged_requests_and_the_oldest_sessions_are_removed():
    journal = RequestJournal(10_000, 1 << 20)
    session, _ = journal.open_session("east-1", 1, 1, False)
    for number in range(1, 20_000):
        entry = journal.open_entry(session, number, 10**9)
        journal.store_response(session, entry, "a", 100)
        if number > 50:
            journal.remove(session, number - 50)
    assert journal.entry_count == len(session.entries) == 50 and journal.stored_bytes == 5000
    for number in range(300):
        journal.open_session(f"g{number}", 1, 1, False)
    assert len(journal.sessions) == 256 and journal.entry_count == 0


class JournalMachine(RuleBasedStateMachine):
    """Compares the status that the journal reports for each number with a model, after any calls."""

    def __init__(self):
        super().__init__()
        self.journal = RequestJournal(MAX_ENTRIES, MAX_BYTES)
        self.now = 0
        self.connection_number = 1
        self.session, _ = self.journal.open_session("g", 1, 1, False)
        self.states = {}
        self.never_accepted = set()  # numbers that were reported as never received

    numbers = strategies.integers(1, 20)

    @rule(number=numbers, lifetime=strategies.integers(1, 50))
    def receive(self, number, lifetime):
        entry = self.journal.open_entry(self.session, number, self.now + lifetime)
        allowed = (
            number not in self.never_accepted
            and number > max(self.states, default=0)
            and number > max(self.never_accepted, default=0)
        )
        assert (entry is not None) == allowed
        if entry:
            self.states[number] = "running"

    @rule(number=numbers, size=strategies.integers(0, 60))
    def complete(self, number, size):
        entry = self.session.entries.get(number)
        if entry and self.states[number] == "running":
            self.journal.store_response(self.session, entry, ("response", number), size, number % 3)
            self.states[number] = "completed"
            for other_number, other in self.session.entries.items():
                if other.response_evicted:
                    self.states[other_number] = "lost"

    @rule(number=numbers)
    def acknowledge(self, number):
        if self.journal.remove(self.session, number):
            self.states[number] = "acknowledged"

    @rule(number=numbers)
    def ask_for_status(self, number):
        status, entry = self.journal.status_of(self.session, number)
        state = self.states.get(number)
        if state in ("running", "completed"):
            assert status is (RequestStatus.RUNNING if state == "running" else RequestStatus.COMPLETED)
            assert entry.number == number
        elif state in ("lost", "expired"):
            assert status is RequestStatus.LOST
        elif state is None:
            # Never received: reported as such from now on, or as lost if a later request has expired.
            assert status is RequestStatus.NOT_RECEIVED or (
                status is RequestStatus.LOST and number <= self.session.expired_up_to
            )
            if status is RequestStatus.NOT_RECEIVED:
                self.never_accepted.add(number)

    @rule(step=strategies.integers(1, 60))
    def wait(self, step):
        self.now += step
        for entry in self.journal.expire(self.now):
            self.states[entry.number] = "expired"

    @rule()
    def reconnect(self):
        self.connection_number += 1
        session, ended = self.journal.open_session("g", 1, self.connection_number, True)
        assert session is self.session and not ended

    @invariant()
    def counts_bounds_and_index_hold(self):
        entries = self.session.entries
        assert self.journal.entry_count == len(entries)
        stored_bytes = sum(entry.response_bytes for entry in entries.values())
        assert self.journal.stored_bytes == stored_bytes <= MAX_BYTES
        for entry in self.journal.entry_by_object.values():
            assert entries.get(entry.number) is entry
            assert entry.response is not None


TestJournal = JournalMachine.TestCase
TestJournal.settings = settings(max_examples=150, stateful_step_count=40, derandomize=True, deadline=None)
