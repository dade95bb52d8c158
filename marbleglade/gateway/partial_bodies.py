"""What a cut left of bodies: kept for as long as their retrieval may still use them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartialBody:
    """The first bytes of one copy: its tag and the Unix millisecond, of its region, when it was given out."""

    tag: str
    issued_ms: int
    data: bytes
    until: int


class PartialBodies:
    def __init__(self, most_bytes: int) -> None:
        self.most_bytes, self.bytes = most_bytes, 0
        self.kept: OrderedDict[Hashable, PartialBody] = OrderedDict()

    def put(self, key: Hashable, part: PartialBody) -> None:
        """Keeps what came, unless as much of the same copy is here; what is oldest goes for want of room."""
        known = self.kept.get(key)
        if (
            not part.data
            or len(part.data) > self.most_bytes
            or (
                known
                and (known.tag, known.issued_ms) == (part.tag, part.issued_ms)
                and len(known.data) >= len(part.data)
            )
        ):
            return
        self.drop(key)
        self.kept[key] = part
        self.bytes += len(part.data)
        while self.bytes > self.most_bytes:
            self.drop(next(iter(self.kept)))

    def get(self, key: Hashable) -> PartialBody | None:
        return self.kept.get(key)

    def drop(self, key: Hashable) -> None:
        if part := self.kept.pop(key, None):
            self.bytes -= len(part.data)

    def expire(self, now: int) -> None:
        for key in [key for key, part in self.kept.items() if part.until < now]:
            self.drop(key)
