"""State of all machines at one time, from which a maintenance plan is scheduled.

Times are Unix milliseconds, like the start times of processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from .plan import Group, Kind

ObjectT = TypeVar("ObjectT")


@dataclass(slots=True)
class NodeObservation:
    """Observed state of one machine.

    Attributes:
        started_ms: When its process started.
        up: The machine is alive, active and not ejected.
        warm: The machine has warmed up since its start.
        slowdown: Recent duration of its transfers, relative to that at full throughput.
    """

    started_ms: int
    up: bool = True
    warm: bool = True
    slowdown: float = 1.0


@dataclass(slots=True, frozen=True)
class ObservedUpstream:
    """An upstream's group and its observed state."""

    group: Group
    node: NodeObservation


@dataclass(slots=True)
class UpstreamObservations:
    """State of the upstreams, as one front observes them.

    Attributes:
        upstreams: Group and state of each upstream, by name.
        load: Load of each kind, relative to its serving capacity.
        adjacent: Pairs of upstreams that are the first two choices for a hot object.
    """

    upstreams: dict[str, ObservedUpstream] = field(default_factory=dict)
    load: dict[Kind, float] = field(default_factory=dict)
    adjacent: frozenset[frozenset[str]] = frozenset()


@dataclass(slots=True)
class GrantedMachine:
    """Time of a machine's grant to be out of service, and the start of its process at that time."""

    granted_ms: int
    started_ms: int


@dataclass(slots=True)
class FleetSnapshot:
    """State of all machines at one time.

    Attributes:
        now_ms: Time of the snapshot.
        observations: Observed state of each listed machine, whether in the plan or not, by name.
        groups: Group of each listed machine, by name.
        grants: Grant of each machine in the table, by name; one with a later start is back in service.
        load: Load of each kind, relative to its serving capacity.
        adjacent: Pairs of upstreams that are the first two choices for a hot object.
    """

    now_ms: int
    observations: dict[str, NodeObservation]
    groups: dict[str, Group]
    grants: dict[str, GrantedMachine] = field(default_factory=dict)
    load: dict[Kind, float] = field(default_factory=dict)
    adjacent: frozenset[frozenset[str]] = frozenset()


def is_out_of_service(snapshot: FleetSnapshot, name: str) -> bool:
    """Return whether a machine is granted and has not been observed with a later start."""
    grant = snapshot.grants.get(name)
    observation = snapshot.observations.get(name)
    return grant is not None and (observation is None or observation.started_ms <= grant.started_ms)


def is_serving(snapshot: FleetSnapshot, name: str) -> bool:
    """Return whether a machine serves requests: it is up, warm and not out of service."""
    observation = snapshot.observations.get(name)
    is_ready = bool(observation and observation.up and observation.warm)
    return is_ready and not is_out_of_service(snapshot, name)


def adjacent_upstreams(
    hot_objects: Iterable[ObjectT], rank: Callable[[ObjectT], list[str]]
) -> frozenset[frozenset[str]]:
    """Return the first two upstreams in each hot object's ranking, as pairs."""
    rankings = [rank(hot_object) for hot_object in hot_objects]
    return frozenset(frozenset(ranking[:2]) for ranking in rankings if len(ranking) > 1)
