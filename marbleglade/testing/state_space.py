"""Model checker for protocols without I/O: a breadth-first search of all reachable states of a model."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

Move = object  # a transition of the model; the search only passes it to `do`


class Model(Protocol):
    """A state of the model, which must support deep copies."""

    def moves(self) -> Iterable[Move]:
        """Return the transitions that are possible in this state."""

    def do(self, move: Move) -> None:
        """Apply one of these transitions to this state."""

    def key(self) -> Hashable:
        """Return a value that is equal for two equivalent states."""

    def violation(self) -> str:
        """Return the invariant that this state violates, or an empty string."""


@dataclass(slots=True)
class Exploration:
    """The result of a search.

    Attributes:
        states: Number of states visited.
        max_depth: Largest number of moves from the initial state to a visited state.
        complete: Whether neither limit ended the search early.
        violation: First violated invariant found; empty for none.
        path: A shortest sequence of moves that leads to the violation.
    """

    states: int = 0
    max_depth: int = 0
    complete: bool = True
    violation: str = ""
    path: list[Move] = field(default_factory=list)


def explore(model: Model, max_states: int = 100_000, max_depth: int = 1 << 30) -> Exploration:
    """Search for a violation, shortest paths first.

    Args:
        model: The initial state.
        max_states: Maximum number of states to visit.
        max_depth: Number of moves from the initial state beyond which no state is explored.
    """
    result, seen = Exploration(), {model.key()}
    queue: deque[tuple[Model, tuple[Move, ...]]] = deque([(model, ())])
    while queue:
        state, path = queue.popleft()
        result.states += 1
        result.max_depth = max(result.max_depth, len(path))
        if result.states > max_states:
            result.complete = False
            return result
        if len(path) >= max_depth:
            result.complete = False
            continue
        for move in state.moves():
            successor = copy.deepcopy(state)
            successor.do(move)
            if violation := successor.violation():
                result.violation, result.path = violation, [*path, move]
                return result
            if (key := successor.key()) not in seen:
                seen.add(key)
                queue.append((successor, (*path, move)))
    return result
