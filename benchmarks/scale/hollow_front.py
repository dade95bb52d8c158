"""A hollow front: the control code of a real front over real sockets, without requests.

The watch client, the purge log, the front's own copies and the decisions with a full directory are those of
`marbleglade`; connections to caches and clients are left out.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator

from marbleglade.choice import Choice
from marbleglade.facade import Facade
from marbleglade.front import Front
from marbleglade.ground import Surroundings, read_ground
from marbleglade.interface import Retrieval
from marbleglade.life import clock
from marbleglade.life.counters import Counters
from marbleglade.life.guard import Guard
from marbleglade.life.log import Log
from marbleglade.memory.copies import Copies, Copy
from marbleglade.memory.places import Places
from marbleglade.memory.purges import Purges, lasting
from marbleglade.standins.frontfleet import settings
from marbleglade.wire.coordlines import ListChange, Purge

from .messages import AppliedPurge, HeldCopy
from .workload import COPY_AGE_MS, HOT_OBJECTS, directory_key, group_of

MILLISECOND = 1_000_000  # nanoseconds
OWN_COPIES_BYTES = 1 << 20
COPY_BODY = b"x" * 64  # one body for all: what a copy holds is of no interest here
PACE = 1_000_000  # bytes a second; above 0, so that copies are kept
PROFILE_NAME = "menu-pages"


class NoCaches:
    """Connections to caches, of which a hollow front has none."""

    def outdated(self, caches: list) -> None:
        """Connections to these caches hold no more."""


def shared_settings() -> Surroundings:
    """The settings that all fronts of a host share."""
    return read_ground(settings(1), 1, 1.0)


class HollowFront:
    """One start of one front.

    Attributes:
        name: Its name.
        start_ms: Unix milliseconds of this start.
        applied: Purges applied for the first time since they were last drained.
    """

    def __init__(self, name: str, around: Surroundings, sink: int) -> None:
        self.name, self.start_ms = name, time.time_ns() // MILLISECOND
        self.counters = Counters()
        self.guard = Guard(self.counters, Log(name, self.counters, sink=sink))
        self.places = Places(around, clock.from_unix_ms)
        self.purges = Purges(lasting(around.ground))
        self.copies = Copies(OWN_COPIES_BYTES)
        self.facade = Facade(
            around.ground, Choice, clock.now, around.most_open, self.counters, lambda text: None
        )
        self.front = Front(self.facade, NoCaches(), self.places, self.purges, self.copies, PACE, self.guard)
        self.profile = around.profiles[PROFILE_NAME]
        self.seen: set[tuple[int, int, int]] = set()
        self.applied: list[AppliedPurge] = []

    def apply(self, event: ListChange | Purge) -> None:
        """Applies an event as a real front does, and notes when a purge was first applied."""
        self.front.follow(event)
        if not isinstance(event, Purge):
            return
        identity = event.thing, event.group if not event.thing else 0, event.unix_ms
        if identity not in self.seen:
            self.seen.add(identity)
            applied_us = time.time_ns() // 1000
            self.applied.append(AppliedPurge(self.name, self.start_ms, *identity, applied_us))

    def drain(self) -> list[AppliedPurge]:
        """The purges applied since the last call."""
        applied, self.applied = self.applied, []
        return applied

    def fill_directory(self, entries: int) -> None:
        """Enters objects into the directory as answers of caches would."""
        decisions, now = self.facade.decisions, clock.now()
        caches = list(self.places.by_cache)
        if not caches:
            return
        for number in range(entries):
            object_id = directory_key(number)
            retrieval = Retrieval(self.profile, object_id, 0, group_of(object_id), 0.0, now, now)
            decisions.enter(retrieval, caches[number % len(caches)], now)

    def refresh_copies(self) -> None:
        """Takes copies of the hot objects, given out a little while ago, as answers of caches would bring
        them; one that a purge has overtaken meanwhile is refused."""
        issued = clock.now() - COPY_AGE_MS * MILLISECOND
        for object_id in HOT_OBJECTS:
            group = group_of(object_id)
            copy = Copy(COPY_BODY, "", issued, group)
            self.copies.put(object_id, 0, copy, self.purges.latest(object_id, group))

    def held(self) -> Iterator[HeldCopy]:
        """The copies that it holds."""
        for (object_id, _), copy in self.copies.kept.items():
            yield HeldCopy(self.name, object_id, copy.group, clock.to_unix_ms(copy.issued))


def discard() -> int:
    """A file descriptor that takes the fronts' log lines and keeps none."""
    return os.open(os.devnull, os.O_WRONLY)
