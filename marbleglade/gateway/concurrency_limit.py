"""What a region may be owed: carries open there at once, by this gateway.

Nothing queues here: a carry over the bound ends at once as turned away, and `Choice` says what then. A region
that returns starts with little and gets more with each answer, so that what waited does not push it over.
"""

from __future__ import annotations


class ConcurrencyLimit:
    """`most`: open carries at any time; `least`: after a return; `pause`: between two cuts of the bound."""

    def __init__(self, most: int, least: int, pause: int) -> None:
        self.most, self.least, self.pause = most, max(1, least), pause
        self.allowed, self.open, self.cut_at = float(self.least), 0, 0

    def returned(self, now: int) -> None:
        """The region can be reached again after it could not."""
        self.allowed, self.cut_at = float(min(self.least, self.most)), now

    def take(self) -> bool:
        """Opens a carry; False where the region is owed as much as it may be."""
        if self.open >= int(self.allowed):
            return False
        self.open += 1
        return True

    def settled(self) -> None:
        """An answer came in time: one more, so that the bound doubles in the time of one carry at first."""
        self.open -= 1
        grow = 1.0 if self.allowed < self.most / 2 else self.least / self.allowed
        self.allowed = min(float(self.most), self.allowed + grow)

    def ended(self, crowded: bool, now: int) -> None:
        """A carry ended without an answer. `crowded`: turned away or too late there, so less is owed."""
        self.open -= 1
        if crowded and now - self.cut_at >= self.pause:
            self.allowed, self.cut_at = max(float(self.least), self.allowed * 0.7), now
