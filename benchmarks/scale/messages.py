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
        caches: Caches that the directory's entries name.
    """

    names: list[str]
    discovery: list
    control: str
    directory: int
    caches: int


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
    """One front: its start, the caches that it knows once its directory is filled (0 before), and the
    configuration version that is in force there."""

    front: str
    start_ms: int
    caches: int
    version: int


@dataclass(slots=True)
class HostReport:
    """What a hollow host saw. `cpu_s` is processor time of the process, `memory_bytes` is resident."""

    cpu_s: float
    memory_bytes: int
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
    )
}
LISTS = {"applied": AppliedPurge, "traffic": FrontTraffic, "fronts": FrontState, "copies": HeldCopy}


def encode(message: object) -> bytes:
    """One line; lists of records are sent as lists of values."""
    content = {}
    for name in message.__slots__:
        value = getattr(message, name)
        if isinstance(message, HostReport) and name in LISTS:
            value = [[getattr(one, part) for part in one.__slots__] for one in value]
        content[name] = value
    return orjson.dumps([type(message).__name__, content]) + b"\n"


def decode(line: bytes) -> object:
    """The message of a line. Raises ValueError or KeyError for what is none."""
    name, content = orjson.loads(line)
    if name == HostReport.__name__:
        for field_name, kind in LISTS.items():
            content[field_name] = [kind(*values) for values in content[field_name]]
    return KINDS[name](**content)
