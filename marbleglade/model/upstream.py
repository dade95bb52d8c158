"""Upstreams: the caches, the parents and the origin in the endpoint list."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from ..policy.upstream_health import UpstreamHealth


class UpstreamRole(Enum):
    """The role of an upstream."""

    CACHE = 0
    PARENT = 1
    ORIGIN = 2


class UpstreamState(Enum):
    """Whether an upstream may be used."""

    ACTIVE = 0
    DRAINING = 1  # finishes its requests in flight, but gets no new ones
    REMOVED = 2


@dataclass(slots=True, eq=False)
class Upstream:
    """A cache, a parent or the origin.

    Attributes:
        name: The name of the upstream, the same at every front.
        role: The role of the upstream.
        zone: Number of its zone.
        cell: Number of its cell.
        started_at: The time at which its process started, ns; 0 for long ago or not known.
        state: Whether the upstream may be used.
        congestion: The last reported ratio of transfers on its zone's link to the capacity of that link.
        reported_at: The time at which `congestion` was reported, ns; 0 if never.
        health: The policy's health data of it; None until the upstream is passed to the policy.
    """

    name: bytes
    role: UpstreamRole = UpstreamRole.CACHE
    zone: int = 0
    cell: int = 0
    started_at: int = 0
    state: UpstreamState = UpstreamState.ACTIVE
    congestion: float = 0.0
    reported_at: int = 0
    health: UpstreamHealth = cast("UpstreamHealth", None)


def name_hash(name: bytes) -> int:
    """Return the CRC-32 of an upstream's name, by which fronts identify it in messages to each other."""
    return zlib.crc32(name)
