"""Total figures of roles: sums of recorded slopes at a size of the deployment."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from . import operators
from .records import CapacityRecord


@dataclass(frozen=True, slots=True)
class Term:
    """One summand of a total.

    Attributes:
        name: Name of the recorded slope.
        times: Factor of the slope's value.
        per_front: Whether the value is also multiplied by the number of fronts.
    """

    name: str
    times: float = 1.0
    per_front: bool = False

    def __str__(self) -> str:
        factors = (f"{self.times:.3g} × " if self.times != 1 else "", "fronts × " if self.per_front else "")
        return "".join(factors) + self.name


def total(recorded: CapacityRecord, terms: Iterable[Term], fronts: int) -> float:
    """Return the sum of the terms for the operators' deployment with this many fronts."""
    variables = operators.slope_variables(fronts)
    return sum(
        term.times * (fronts if term.per_front else 1) * recorded.slope(term.name).value_at(**variables)
        for term in terms
    )
