"""Typed commands and replies between the scale run and its worker processes: one JSON object a line."""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson

NEVER = 0  # a moment that has not come


@dataclass(slots=True)
class Ready:
    """The worker runs; `addresses` by name, where it listens."""

    addresses: dict[str, list] = field(default_factory=dict)


@dataclass(slots=True)
class Failed:
    """The worker could not do what it was asked."""

    reason: str


@dataclass(slots=True)
class Done:
    """Done as asked."""


@dataclass(slots=True)
class StartFronts:
    """Hollow fronts to start.

    Attributes:
        names: Their names.
        discovery: Address of the discovery service.
        control: Path of the control plane's settings; empty: the fronts watch the discovery service.
        directory: Entries that each front's directory is filled with.
    """

    names: list[str]
    discovery: list
    control: str
    directory: int


@dataclass(slots=True)
class StopFronts:
    """Hollow fronts to end; `leave`: they say so first."""

    names: list[str]
    leave: bool


@dataclass(slots=True)
class CutFronts:
    """Hollow fronts whose connections are closed and refused until they are healed."""

    names: list[str]


@dataclass(slots=True)
class HealFronts:
    """Hollow fronts that may connect again."""

    names: list[str]


@dataclass(slots=True)
class Collect:
    """Asks a hollow host for all that came since the last time; `copies`: also what the fronts hold now."""

    copies: bool = False


@dataclass(slots=True)
class AppliedPurge:
    """One purge that one start of a front applied. Times are Unix microseconds."""

    front: str
    start_ms: int
    object: int
    group: int
    unix_ms: int
    applied_us: int


@dataclass(slots=True)
class HeldCopy:
    """One copy that a front holds; `issued_ms` is when the origin gave it out."""

    front: str
    object: int
    group: int
    issued_ms: int


@dataclass(slots=True)
class FrontTraffic:
    """Bytes of TCP payload of one front's control connections since it started."""

    front: str
    received: int
    sent: int


@dataclass(slots=True)
class FrontState:
    """One front: its start, how many caches it knows, the configuration version in force there."""

    front: str
    start_ms: int
    caches: int
    version: int


@dataclass(slots=True)
class HostReport:
    """What a hollow host saw. `cpu_s` is processor time of the process, `memory_bytes` is resident.

    `late_s` is the worst lateness of a timer since the last report: what the machine itself, or the host's
    own work, held everything up by.
    """

    cpu_s: float
    memory_bytes: int
    late_s: float
    applied: list[AppliedPurge]
    traffic: list[FrontTraffic]
    fronts: list[FrontState]
    copies: list[HeldCopy]
    troubles: dict[str, int]


@dataclass(slots=True)
class PublishPurge:
    """A purge that every discovery service tells of."""

    object: int
    group: int
    unix_ms: int


@dataclass(slots=True)
class PublishCaches:
    """A whole list of caches; each entry is an object of the discovery protocol."""

    servers: list


@dataclass(slots=True)
class SilenceFollowers:
    """One follower in so many hears nothing more on its connection, though it stays open; 0: nobody.

    Attributes:
        region: The discovery service.
        one_in: Which share of the connections.
        reconnections: So many connections made anew per follower's slot stay silent too.
    """

    region: str
    one_in: int
    reconnections: int = 0


@dataclass(slots=True)
class HalfLine:
    """The discovery service tells half a line on each connection and closes it."""

    region: str


@dataclass(slots=True)
class BeginAnew:
    """The discovery service begins anew: numbers from 1, connections closed, the last list told again."""

    region: str


@dataclass(slots=True)
class ServiceQuery:
    """Asks a discovery host for its figures."""


@dataclass(slots=True)
class ServiceReport:
    """What a discovery host spent; bytes are those sent to followers."""

    cpu_s: float
    memory_bytes: int
    bytes_out: int
    followers: int


@dataclass(slots=True)
class BeginLoad:
    """Clients of the real fronts begin."""


@dataclass(slots=True)
class FinishLoad:
    """Clients of the real fronts end, and the fronts too."""


@dataclass(slots=True)
class LibraryPurge:
    """The origin gives out a new version of an object or, where that is 0, of a group."""

    object: int
    group: int


@dataclass(slots=True)
class PurgeMoment:
    """The Unix millisecond up to which the origin gave out what is old now."""

    unix_ms: int


@dataclass(slots=True)
class RealReady:
    """The real fronts answer; `objects` are some that clients ask for, in hexadecimal."""

    objects: list[str]


@dataclass(slots=True)
class RealSample:
    """Processor seconds and resident bytes of each real front, and processor seconds of their host."""

    cpu_s: list[float]
    memory_bytes: list[int]
    pids: list[int]
    host_cpu_s: float


@dataclass(slots=True)
class RealReport:
    """What clients of the real fronts saw. `wrong`: what fronts counted that must not happen."""

    asked: int
    served_share: float
    lost: int
    doubled: int
    stale: int
    notes: list[str]
    wrong: int


@dataclass(slots=True)
class ConfirmedPurge:
    """A purge that the control plane's status showed as done everywhere; `took_ms` as shown, -1: not told."""

    object: int
    group: int
    unix_ms: int
    shown_us: int
    took_ms: int


@dataclass(slots=True)
class StatusReport:
    """What the control plane's status showed since the last report, and its latest state."""

    confirmed: list
    polls: int
    connected: int
    absent: int
    version: int
    version_lacking: int
    refused: list
    undone: list


KINDS = {
    kind.__name__: kind
    for kind in (
        Ready,
        Failed,
        Done,
        StartFronts,
        StopFronts,
        CutFronts,
        HealFronts,
        Collect,
        HostReport,
        PublishPurge,
        PublishCaches,
        SilenceFollowers,
        HalfLine,
        BeginAnew,
        ServiceQuery,
        ServiceReport,
        BeginLoad,
        FinishLoad,
        LibraryPurge,
        PurgeMoment,
        RealReady,
        RealSample,
        RealReport,
        StatusReport,
    )
}
ROWS: dict[str, dict[str, type]] = {
    HostReport.__name__: {
        "applied": AppliedPurge,
        "traffic": FrontTraffic,
        "fronts": FrontState,
        "copies": HeldCopy,
    },
    StatusReport.__name__: {"confirmed": ConfirmedPurge},
}  # fields that hold many records, sent as lists of values


def encode(message: object) -> bytes:
    """One line."""
    kind, content = type(message).__name__, {}
    rows = ROWS.get(kind, {})
    for name in message.__slots__:
        value = getattr(message, name)
        if name in rows:
            value = [[getattr(record, part) for part in record.__slots__] for record in value]
        content[name] = value
    return orjson.dumps([kind, content]) + b"\n"


def decode(line: bytes) -> object:
    """The message of a line. Raises ValueError or KeyError for what is none."""
    kind, content = orjson.loads(line)
    for name, record in ROWS.get(kind, {}).items():
        content[name] = [record(*values) for values in content[name]]
    return KINDS[kind](**content)
