"""Commands for workers with lightweight fronts, and their reports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartFronts:
    """Starts lightweight fronts.

    Attributes:
        names: Names of the fronts.
        discovery: Address of the discovery service, as "host:port".
        control: Path of the control plane's settings; empty: the fronts watch the discovery service.
        directory_entries: Number of entries that each front's directory is filled with.
    """

    names: list[str]
    discovery: str
    control: str
    directory_entries: int


@dataclass(slots=True)
class StopFronts:
    """Stops lightweight fronts; if `graceful`, they leave the control plane first."""

    names: list[str]
    graceful: bool


@dataclass(slots=True)
class CutFronts:
    """Closes the connections of lightweight fronts and refuses new ones until `HealFronts`."""

    names: list[str]


@dataclass(slots=True)
class HealFronts:
    """Allows lightweight fronts to connect again."""

    names: list[str]


@dataclass(slots=True)
class AppliedPurge:
    """A purge that one incarnation of a front applied at `applied_us` (Unix microseconds)."""

    front: str
    start_ms: int
    object: int
    group: int
    unix_ms: int
    applied_us: int


@dataclass(slots=True)
class CachedVersion:
    """A version in the local cache of a front; the origin issued it at `issued_ms` (Unix milliseconds)."""

    front: str
    object: int
    group: int
    issued_ms: int


@dataclass(slots=True)
class FrontTraffic:
    """Bytes of TCP payload on the discovery and control connections of a front since its start."""

    front: str
    received: int
    sent: int


@dataclass(slots=True)
class FrontState:
    """State of a front: start time (Unix milliseconds), number of caches, configuration version in force."""

    front: str
    start_ms: int
    caches: int
    version: int


@dataclass(slots=True)
class HostReport:
    """Report of a worker with lightweight fronts.

    Attributes:
        cpu_s: Processor seconds of the process.
        memory_bytes: Resident bytes of the process.
        late_s: Greatest delay of a timer since the last report, due to the machine or the worker's load.
        applied: Purges applied since the last report.
        traffic: Bytes of each front.
        fronts: State of each front.
        cached_versions: Contents of all local caches, if requested.
        faults: Counters of errors that must not occur, by name.
    """

    cpu_s: float
    memory_bytes: int
    late_s: float
    applied: list[AppliedPurge]
    traffic: list[FrontTraffic]
    fronts: list[FrontState]
    cached_versions: list[CachedVersion]
    faults: dict[str, int]
