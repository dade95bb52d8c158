"""Stores the first bytes of bodies that were not received completely; a retry requests only the rest."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartialBody:
    """The first bytes of one object's body.

    Attributes:
        tag: The tag of the object's version.
        issued_ms: The time at which the object was issued, Unix milliseconds by the sending region's clock.
        data: The first bytes of the body.
        expires_at: The time after which the bytes are removed, ns.
    """

    tag: str
    issued_ms: int
    data: bytes
    expires_at: int


class PartialBodies:
    """The partial bodies by object part, bounded in size; the oldest is removed first.

    Args:
        max_bytes: The maximum size of all stored bodies, bytes.

    Attributes:
        bodies: The partial bodies by key, oldest first.
        stored_bytes: The size of all stored bodies, bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.stored_bytes = 0
        self.bodies: OrderedDict[Hashable, PartialBody] = OrderedDict()

    def put(self, key: Hashable, body: PartialBody) -> None:
        """Store a body, unless it is empty, too large, or not longer than the stored body of its version."""
        if not body.data or len(body.data) > self.max_bytes:
            return
        stored = self.bodies.get(key)
        same_object = stored and (stored.tag, stored.issued_ms) == (body.tag, body.issued_ms)
        if stored and same_object and len(stored.data) >= len(body.data):
            return
        self.remove(key)
        self.bodies[key] = body
        self.stored_bytes += len(body.data)
        while self.stored_bytes > self.max_bytes:
            self.remove(next(iter(self.bodies)))

    def get(self, key: Hashable) -> PartialBody | None:
        """Return the partial body of an object part, if one is stored."""
        return self.bodies.get(key)

    def remove(self, key: Hashable) -> None:
        """Remove the partial body of an object part, if one is stored."""
        if body := self.bodies.pop(key, None):
            self.stored_bytes -= len(body.data)

    def expire(self, now: int) -> None:
        """Remove the bodies that expired before `now`, ns."""
        for key in [key for key, body in self.bodies.items() if body.expires_at < now]:
            self.remove(key)
