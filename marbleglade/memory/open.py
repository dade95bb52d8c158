"""The retrievals that are open, each with what it waits for."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import AsyncResult
from gevent.queue import SimpleQueue

from ..interface import Launch, Retrieval


@dataclass(slots=True, eq=False)
class Case:
    """An open retrieval: `steps` holds what was decided and not yet picked up."""

    retrieval: Retrieval
    steps: SimpleQueue = field(default_factory=SimpleQueue)
    out: dict[Launch, AsyncResult] = field(default_factory=dict)    # launches out; setting one calls it off
    final: bool = False


class Open:
    def __init__(self, most: int) -> None:
        self.most = most        # 0: no bound told
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
