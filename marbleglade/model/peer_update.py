"""The updates that fronts exchange with each other: upstreams that are leaving, and purges."""

from __future__ import annotations

from dataclasses import dataclass

from .watch_event import Purge


@dataclass(slots=True)
class UpstreamLeaving:
    """An upstream that is leaving.

    Attributes:
        index: Number of the discovery event that reported this; 0 if not known.
        id: Id of the upstream.
        started_ms: Start of the process that is leaving, Unix milliseconds.
    """

    index: int
    id: str
    started_ms: int


PeerUpdate = UpstreamLeaving | Purge
