"""The type of the parts that are written to and read from a disk cache."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CachedPart:
    """One part of an object. The body of a part that the cache returns has passed its checksum.

    Attributes:
        body: Content of the part.
        tag: Version tag of the object, 16 hex digits.
        issued_ms: Unix time in milliseconds at which this version was issued.
        group: Purge group of the object.
    """

    body: bytes
    tag: str
    issued_ms: int
    group: int
