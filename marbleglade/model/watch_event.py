"""Watch events of the discovery service, independent of their encoding: endpoint lists and purges."""

from __future__ import annotations

from dataclasses import dataclass, field

from .upstream import UpstreamState

NEVER = 1 << 53  # later than any time in Unix milliseconds; stands for a time that can't be read


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        id: Id of the endpoint; later events refer to it by this id.
        address: Host and port.
        zone: Name of the zone.
        kind: Name of the machine kind.
        cell: Number of the cell.
        state: Whether the endpoint may be used.
        started_ms: Time at which the endpoint's process started, Unix milliseconds; 0 if not known.
    """

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: UpstreamState
    started_ms: int


@dataclass(slots=True)
class EndpointListChange:
    """A change of the endpoint list.

    Attributes:
        index: Number of the event.
        complete: Whether the list is complete; if so, endpoints missing from it have been removed.
        endpoints: The entries that could be parsed.
        unreadable: Ids of the entries that could not be parsed.
    """

    index: int
    complete: bool
    endpoints: list[Endpoint]
    unreadable: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Purge:
    """A purge of one object, or of a group if `object_id` is 0.

    Attributes:
        index: Number of the event.
        object_id: The object; 0 for the purge of a group.
        group: The purge group.
        unix_ms: Responses issued before this time are purged; `NEVER` (so all are) if it can't be read.
    """

    index: int
    object_id: int
    group: int
    unix_ms: int


@dataclass(slots=True)
class Heartbeat:
    """A message, sent once a second, with the number of the last event."""

    index: int


@dataclass(slots=True)
class UnknownEvent:
    """An event of unknown kind or with invalid content. It is ignored except for its number."""

    index: int


WatchEvent = EndpointListChange | Purge | UnknownEvent | Heartbeat
