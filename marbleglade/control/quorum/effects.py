"""The effects that a replica returns. Its driver executes them in the order of the list."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message, ProposalOutcome
from .state import DurableState, Value


@dataclass(frozen=True, slots=True)
class Persist:
    """Make a state durable before any later effect is executed."""

    state: DurableState


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the replica named `recipient`. It may be lost, duplicated or reordered."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class Publish:
    """Distribute a newly chosen configuration version to the fronts."""

    value: Value


@dataclass(frozen=True, slots=True)
class Resolve:
    """Report the outcome of a proposal. `key` is the one passed to `Replica.propose`."""

    key: int
    outcome: ProposalOutcome


Effect = Persist | Send | Publish | Resolve
