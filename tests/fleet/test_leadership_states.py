"""Leadership under a bounded exhaustive search of all orders of messages, losses, restarts and waits."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass

import pytest

from marbleglade.fleet.leadership import LEASE_PERIODS, NO_LEADER, Leadership
from marbleglade.testing.state_space import explore

PERIOD = 1
TASK = b"task"
FRONTS = range(3)
RESTARTING_FRONT = 0


@dataclass(frozen=True)
class Term:
    """The term and the leader in a leader's message."""

    term: int
    leader: int


@dataclass(frozen=True)
class Tick:
    """A front's timer runs; if the front leads, its message can arrive at any other front from then on."""

    front: int


@dataclass(frozen=True)
class Wait:
    """Time passes by a number of periods."""

    periods: int


@dataclass(frozen=True)
class TogglePreference:
    """A front becomes the preferred holder by its own membership view, or ceases to be."""

    front: int


@dataclass(frozen=True)
class Receive:
    """A message arrives at a front, for the first time or again."""

    front: int
    message: Term


@dataclass(frozen=True)
class Restart:
    """Front `RESTARTING_FRONT` restarts without its former state."""


class LeadershipModel:
    """Three fronts and one task.

    The fronts' membership views may differ at any time. Messages may be lost, late, duplicated or reordered.
    """

    def __init__(self, moves_left: int) -> None:
        self.moves_left = moves_left
        self.now = LEASE_PERIODS * PERIOD + 1
        self.fronts = [Leadership(TASK, number, PERIOD, 0) for number in FRONTS]
        self.is_preferred = [number == 0 for number in FRONTS]  # by the front's own membership view
        self.messages: set[Term] = set()
        self.latest_terms = [(0, NO_LEADER) for _ in FRONTS]

    def moves(self) -> list[object]:
        """Return the moves that are possible in this state."""
        if self.moves_left <= 0:
            return []
        moves: list[object] = [Tick(front) for front in FRONTS]
        moves += [Wait(1), Wait(LEASE_PERIODS + 1)]
        moves += [TogglePreference(front) for front in FRONTS]
        moves += [
            Receive(front, message)
            for message in self.messages
            for front in FRONTS
            if front != message.leader
        ]
        return [*moves, Restart()]

    def do(self, move: object) -> None:
        """Carry out a move."""
        self.moves_left -= 1
        match move:
            case Tick(front):
                if self.fronts[front].tick(self.is_preferred[front], self.now):
                    self.messages.add(Term(self.fronts[front].term, front))
            case Wait(periods):
                self.now += periods * PERIOD
            case TogglePreference(front):
                self.is_preferred[front] = not self.is_preferred[front]
            case Receive(front, message):
                self.fronts[front].accept_leader(message.term, message.leader, self.now)
            case Restart():
                self.fronts[RESTARTING_FRONT] = Leadership(TASK, RESTARTING_FRONT, PERIOD, self.now)
                self.latest_terms[RESTARTING_FRONT] = (0, NO_LEADER)
        for number, front in enumerate(self.fronts):
            self.latest_terms[number] = max(self.latest_terms[number], (front.term, front.leader))

    def key(self) -> Hashable:
        """Return a key that identifies this state; all silences longer than a lease are equal in it."""
        longest_silence = LEASE_PERIODS * PERIOD + 1
        fronts = tuple(
            (
                front.term,
                front.leader,
                min(self.now - front.last_contact_at, longest_silence),
                front.is_leader,
            )
            for front in self.fronts
        )
        return self.moves_left, tuple(self.is_preferred), frozenset(self.messages), fronts

    def violation(self) -> str:
        """Return a description of the violated invariant; "" if none is violated."""
        for number, front in enumerate(self.fronts):
            if (front.term, front.leader) < self.latest_terms[number]:
                return "an earlier term replaced a later one"
            if front.is_leader and front.leader != number:
                return "a front leads although another front is its latest known leader"
        return ""


def test_a_term_never_decreases_whatever_happens_to_messages():
    exploration = explore(LeadershipModel(6), 40_000)
    assert not exploration.violation, exploration
    assert exploration.complete
    assert exploration.states > 3_000


def accept_any_term(self: Leadership, term: int, leader: int, now: int) -> bool:
    if leader != self.own_number:
        self.is_leader = False
    self.term, self.leader, self.last_contact_at = term, leader, now
    return True


def never_step_down(self: Leadership, term: int, leader: int, now: int) -> bool:
    if (term, leader) < (self.term, self.leader):
        return False
    self.term, self.leader, self.last_contact_at = term, leader, now
    return True


@pytest.mark.parametrize("faulty_accept_leader", [accept_any_term, never_step_down])
def test_the_search_finds_a_seeded_fault(monkeypatch, faulty_accept_leader):
    monkeypatch.setattr(Leadership, "accept_leader", faulty_accept_leader)
    exploration = explore(LeadershipModel(7), 60_000)
    assert exploration.violation
    assert len(exploration.path) <= 7


@pytest.mark.parametrize(
    "arrivals",
    [lambda messages: messages, lambda messages: messages[::-1], lambda messages: messages * 2],
    ids=["in order", "reversed", "doubled"],
)
def test_two_leaders_become_one_once_they_receive_each_others_messages(
    arrivals: Callable[[list[Term]], list[Term]],
):
    fronts = [Leadership(TASK, number, PERIOD, 0) for number in FRONTS]
    now = LEASE_PERIODS * PERIOD + 1
    for front in fronts[:2]:
        front.tick(True, now)
    for _ in range(LEASE_PERIODS * 3):
        now += PERIOD
        leaders = [number for number, front in enumerate(fronts) if front.tick(number == 0, now)]
        messages = [Term(fronts[number].term, number) for number in leaders]
        for message in arrivals(messages):
            for front in fronts:
                if front.own_number != message.leader:
                    front.accept_leader(message.term, message.leader, now)
    assert [front.is_leader for front in fronts] == [True, False, False]
