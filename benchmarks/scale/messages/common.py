"""Commands and replies that several workers use."""

from __future__ import annotations

from dataclasses import dataclass, field

ServerEntry = dict[str, str | int]  # an entry of the discovery protocol's endpoint list


@dataclass(slots=True)
class Ready:
    """First message of a worker, sent once it is ready for commands.

    Attributes:
        addresses: Addresses that the worker listens on, as "host:port" by name.
        servers: Caches, parents and origin that the worker runs.
    """

    addresses: dict[str, str] = field(default_factory=dict)
    servers: list[ServerEntry] = field(default_factory=list)


@dataclass(slots=True)
class Failed:
    """The worker could not execute the command."""

    reason: str


@dataclass(slots=True)
class Done:
    """The worker executed a command that has no result."""


@dataclass(slots=True)
class Collect:
    """Requests a report on the time since the last one, optionally with the fronts' cached versions."""

    with_cached_versions: bool = False
