"""Entries of the list of caches, as decoded from a watch event."""

from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Endpoint


def endpoint(name, state=UpstreamState.ACTIVE, started_ms=1):
    return Endpoint(name, ("127.0.0.1", 9), "z", "box", 0, state, started_ms)
