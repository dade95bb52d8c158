"""What the front counts: taken in, sent, answered, and what should not happen."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def must(self, holds: bool, name: str) -> bool:
        """What must hold: asserted in debug, counted in release."""
        assert holds, name
        if not holds:
            self.counts[f"broken.{name}"] += 1
        return holds

    def table(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))
