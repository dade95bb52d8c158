"""Figures of a whole role: sums of recorded slopes at a size of the deployment."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from . import operators
from .records import Measurement


@dataclass(frozen=True, slots=True)
class Term:
    """So many times the slope of that name; `each_front`: and that once for each front."""

    name: str
    times: float = 1.0
    each_front: bool = False

    def __str__(self) -> str:
        factors = (f"{self.times:.3g} × " if self.times != 1 else "", "fronts × " if self.each_front else "")
        return "".join(factors) + self.name


def total(recorded: Measurement, terms: Iterable[Term], fronts: int) -> float:
    """The sum at the operators' size with so many fronts."""
    sizes = operators.sizes(fronts)
    return sum(
        term.times * (fronts if term.each_front else 1) * recorded.slope(term.name).at(**sizes)
        for term in terms
    )
