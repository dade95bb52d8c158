"""Commands for the worker with the discovery services, and its report."""

from __future__ import annotations

from dataclasses import dataclass

from .common import ServerEntry


@dataclass(slots=True)
class PublishPurge:
    """Publishes a purge at every discovery service."""

    object: int
    group: int
    unix_ms: int


@dataclass(slots=True)
class PublishCaches:
    """Publishes a complete list of caches, parents and origins at every discovery service."""

    servers: list[ServerEntry]


@dataclass(slots=True)
class SilenceFollowers:
    """Has a discovery service send nothing more to some followers, while their connections stay open.

    Attributes:
        region: Region of the discovery service.
        one_in: One in so many connections becomes silent; 0: none.
        reconnections: Number of following new connections that are silent too.
    """

    region: str
    one_in: int
    reconnections: int = 0


@dataclass(slots=True)
class SendPartialLine:
    """Has a discovery service send a partial line on each connection and close it."""

    region: str


@dataclass(slots=True)
class RestartNumbering:
    """Has a discovery service close all connections, number events from 1 again and republish its list."""

    region: str


@dataclass(slots=True)
class QueryService:
    """Requests a `ServiceReport`."""


@dataclass(slots=True)
class ServiceReport:
    """Resource use of the worker with the discovery services; `bytes_out` counts bytes to followers."""

    cpu_s: float
    memory_bytes: int
    bytes_out: int
    followers: int
