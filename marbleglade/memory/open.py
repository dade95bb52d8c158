"""The retrievals that are open, each with what it waits for."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from gevent.event import Event

from ..interface import Launch, Retrieval


@dataclass(slots=True, eq=False)
class Case:
    """An open retrieval: `steps` holds what was decided and not yet picked up, `wanted` a wait for it."""

    retrieval: Retrieval
    steps: deque = field(default_factory=deque)
    wanted: Event | None = None
    out: dict[Launch, Any] = field(default_factory=dict)  # launches out, each with what was asked for
    final: bool = False


class Open:
    def __init__(self, most: int) -> None:
        self.most = most  # 0: no bound told
        self.cases: dict[Retrieval, Case] = {}

    def __len__(self) -> int:
        return len(self.cases)

    @property
    def full(self) -> bool:
        return bool(self.most) and len(self.cases) >= self.most

    def add(self, retrieval: Retrieval) -> Case:
        case = self.cases[retrieval] = Case(retrieval)
        return case

    def drop(self, retrieval: Retrieval) -> None:
        self.cases.pop(retrieval, None)
