"""Counters of a process, for events and violated invariants."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counters.

    Args:
        strict: If true, as in tests, a violated invariant raises AssertionError and is counted; if false, it
            is only counted.
    """

    def __init__(self, strict: bool = __debug__) -> None:
        self.counts: Counter[str] = Counter()
        self.strict = strict

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter by `count`."""
        self.counts[name] += count

    def check(self, holds: bool, name: str) -> bool:
        """Check an invariant, and count it under `violated_invariant.NAME` if it does not hold.

        Returns:
            Whether the invariant holds.

        Raises:
            AssertionError: The invariant does not hold, and the counters are strict.
        """
        if not holds:
            self.counts[f"violated_invariant.{name}"] += 1
            assert not self.strict, name
        return holds

    def table(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        return dict(sorted(self.counts.items()))
