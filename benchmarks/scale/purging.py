"""Issues purges at a constant rate at every discovery service, and records them."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import gevent

from .checkers import IssuedPurge
from .messages.discovery import PublishPurge
from .population import now_us
from .workload import purge_target


class PurgeIssuer:
    """Issues purges whose targets the seed determines.

    Attributes:
        issued: All purges so far, in the order of issue.
        rate: Purges a second; 0 pauses.
        latest: Unix milliseconds of the last purge, by object and group.

    Args:
        seed: Determines the targets of the purges.
        directory: Number of directory entries of lightweight fronts that may be purged.
        publish: Publishes a purge at the discovery services.
        purge_at_origin: Has the origin replace an object or group; returns the time in Unix milliseconds.
        real_objects: Objects that clients of real fronts request.
    """

    def __init__(
        self,
        seed: int,
        directory: int,
        publish: Callable[[PublishPurge], object],
        purge_at_origin: Callable[[int, int], int] = lambda _object_id, _group: now_us() // 1000,
        real_objects: Sequence[int] = (),
    ) -> None:
        self.seed, self.directory, self.publish = seed, directory, publish
        self.purge_at_origin, self.real_objects = purge_at_origin, real_objects
        self.issued: list[IssuedPurge] = []
        self.rate = 0.0
        self.latest: dict[tuple[int, int], int] = {}
        self.loop = gevent.spawn(self._run)

    def issue(self, object_id: int, group: int) -> IssuedPurge:
        """Issue one purge now, with a unique identity."""
        unix_ms = max(self.purge_at_origin(object_id, group), self.latest.get((object_id, group), 0) + 1)
        self.latest[object_id, group] = unix_ms
        issued_us = now_us()
        purge = IssuedPurge(object_id, group, unix_ms, issued_us)
        self.issued.append(purge)
        self.publish(PublishPurge(object_id, group, unix_ms))
        return purge

    def issued_between(self, begin_us: int, end_us: int) -> list[IssuedPurge]:
        """Return the purges issued from `begin_us` up to `end_us` (Unix microseconds)."""
        return [purge for purge in self.issued if begin_us <= purge.issued_us < end_us]

    def close(self) -> None:
        """Stop issuing purges."""
        self.loop.kill()

    def _run(self) -> None:
        next_at = time.monotonic()
        while True:
            if not self.rate:
                gevent.sleep(0.02)
                next_at = time.monotonic()
                continue
            next_at += 1 / self.rate
            gevent.sleep(max(0.0, next_at - time.monotonic()))
            target = purge_target(self.seed, len(self.issued), self.directory, self.real_objects)
            self.issue(target.object, target.group)
