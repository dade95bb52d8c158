"""The protocols of the fleet under a bounded exhaustive search: every order of messages, losses and time."""

import pytest

from marbleglade.fleet import duties
from marbleglade.fleet.duties import LEASE, Duty
from marbleglade.standins.explore import explore

PERIOD = 1


class Duties:
    """Three fronts and one duty. Views of who is alive may differ at any time; words may be lost, late,
    doubled and out of order; a front may stop and go on, or begin anew and have forgotten all."""

    def __init__(self, moves=9):
        self.now, self.left = LEASE * PERIOD + 1, moves
        self.fronts = [Duty(b"d", number, PERIOD, 0) for number in range(3)]
        self.first = [number == 0 for number in range(3)]   # whether each believes to be it
        self.words = set()
        self.highest = [(0, -1)] * 3

    def moves(self):
        if self.left <= 0:
            return []
        some = [("turn", one) for one in range(3)] + [("time", 0), ("time", LEASE + 1)]
        some += [("believe", one) for one in range(3)]
        some += [("hear", one, word) for word in self.words for one in range(3) if one != word[1]]
        return some + [("forget", 0)]

    def do(self, move):
        what, one, *word = move
        self.left -= 1
        front = self.fronts[one] if what != "time" else None
        if what == "turn":
            if front.turn(self.first[one], self.now):
                self.words.add((front.term, one))
        elif what == "time":
            self.now += max(one, 1) * PERIOD
        elif what == "believe":
            self.first[one] = not self.first[one]
        elif what == "forget":
            self.fronts[one] = Duty(b"d", one, PERIOD, self.now)
            self.highest[one] = (0, -1)
        else:
            front.said(*word[0], self.now)
        for number, each in enumerate(self.fronts):
            self.highest[number] = max(self.highest[number], (each.term, each.by))

    def key(self):
        return (self.left, tuple(self.first), frozenset(self.words), tuple(
            (one.term, one.by, min(self.now - one.heard, LEASE * PERIOD + 1), one.mine)
            for one in self.fronts))

    def wrong(self):
        for number, one in enumerate(self.fronts):
            if (one.term, one.by) < self.highest[number]:
                return "a word of an earlier term was taken for a later one"
            if one.mine and one.by != number:
                return "it holds what it knows to be another's"
        return ""


def test_whatever_happens_to_its_words_a_duty_never_goes_back():
    found = explore(Duties(6), 40_000)
    assert not found.wrong and found.whole and found.states > 3_000, found


@pytest.mark.parametrize("fault", ["takes any word", "holds on"])
def test_the_search_finds_a_seeded_fault_in_duties(monkeypatch, fault):
    def said(self, term, by, now):
        if fault == "holds on" and (term, by) < (self.term, self.by):
            return False
        if by != self.own and fault != "holds on":
            self.mine = False
        self.term, self.by, self.heard = term, by, now
        return True

    monkeypatch.setattr(duties.Duty, "said", said)
    found = explore(Duties(7), 60_000)
    assert found.wrong and len(found.way) <= 7


def settled(words_arrive):
    """Two hold one duty; then all hear each other, and no word is lost."""
    fronts = [Duty(b"d", number, PERIOD, 0) for number in range(3)]
    now = LEASE * PERIOD + 1
    for one in fronts[:2]:
        one.turn(True, now)
    for _ in range(LEASE * 3):
        now += PERIOD
        words = [(one.term, one.own) for number, one in enumerate(fronts) if one.turn(number == 0, now)]
        for term, by in words_arrive(words):
            for one in fronts:
                if one.own != by:
                    one.said(term, by, now)
    return [one.mine for one in fronts]


@pytest.mark.parametrize("order", [lambda words: words, lambda words: words[::-1], lambda words: words * 2])
def test_two_holders_become_one_once_they_hear_each_other(order):
    assert settled(order) == [True, False, False]
