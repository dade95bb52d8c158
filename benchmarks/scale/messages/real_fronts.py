"""Commands for workers with real fronts, and their replies."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class BeginLoad:
    """Starts the clients of the real fronts."""


@dataclass(slots=True)
class FinishLoad:
    """Stops the clients of the real fronts, then the fronts."""


@dataclass(slots=True)
class OriginPurge:
    """Has the origin issue a new version of an object, or of a group if the object is 0."""

    object: int
    group: int


@dataclass(slots=True)
class PurgeTime:
    """The time in Unix milliseconds up to which the origin issued the purged versions."""

    unix_ms: int


@dataclass(slots=True)
class RealFrontsReady:
    """The real fronts are ready; `objects` are some that clients request, in hexadecimal."""

    objects: list[str]


@dataclass(slots=True)
class RealFrontsUsage:
    """Processor seconds, resident bytes and process id of each real front, in the same order."""

    cpu_s: list[float]
    memory_bytes: list[int]
    pids: list[int]


@dataclass(slots=True)
class RealFrontsReport:
    """Results of the clients of the real fronts; `notes` describes the first broken rules."""

    request_count: int
    served_share: float
    lost: int
    duplicates: int
    stale: int
    notes: list[str]
