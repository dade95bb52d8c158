"""The status of a front's control plane client, as written to the periodic `counters` log event."""

from __future__ import annotations

from typing import TypedDict


class AgeLimitStatus(TypedDict):
    """The limit on the age of cached objects, in milliseconds.

    `age_limit_ms` is 0 without a limit. `complete_ms` is the time since the front last caught up with a
    source.
    """

    age_limit_ms: int
    complete_ms: int


class ConnectionStatus(TypedDict):
    """One connection to a node; the fields are described in `NodeConnection` and `StreamProgress`."""

    node: str
    greeted: bool
    current: bool
    stream: str
    applied: int
    snapshot_to: int


class BackoffStatus(TypedDict):
    """A node in backoff: why its last connection ended, and the time until the next connection attempt."""

    node: str
    reason: str
    reconnect_in_ms: int


class ControlClientStatus(AgeLimitStatus):
    """The status of the client.

    `primary` is the node whose list of caches is in force, `version` the configuration version in force.
    `discovery` is true while the front's own watch of the discovery service is in use.
    """

    primary: str | None
    discovery: bool
    version: int
    nodes: list[ConnectionStatus]
    unavailable: list[BackoffStatus]
