"""Maintenance plans: machines to take out of service, and the limits that apply.

Times are Unix milliseconds, like the start times of processes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..model.upstream import name_hash

MAX_OUT_OF_SERVICE = 10  # machines at once, whatever a plan allows, so that the table fits in a datagram


def front_name(number: int) -> str:
    """Return the machine name of a front.

    Args:
        number: Position of the front in the list of peers.
    """
    return f"front {number}"


class Kind(IntEnum):
    """Kind of a machine; the value is its code in plans."""

    FRONT = 1
    CACHE = 2
    PARENT = 3


class Group(NamedTuple):
    """The machines of a kind in a zone."""

    kind: Kind
    zone: str


@dataclass(slots=True, frozen=True)
class Machine:
    """A machine of a plan.

    Attributes:
        name: An upstream's id, or `front_name` of a front.
        kind: Its kind.
        zone: Its zone.
        max_duration_ms: Longest time that it may be out of service, in milliseconds.
        after: Names of the machines that have to be completed before this one goes out of service.
    """

    name: str
    kind: Kind
    zone: str = ""
    max_duration_ms: int = 60_000
    after: tuple[str, ...] = ()

    @property
    def group(self) -> Group:
        """Kind and zone of the machine."""
        return Group(self.kind, self.zone)

    @property
    def key(self) -> int:
        """The 32-bit hash that represents the machine's name in messages between fronts."""
        return name_hash(self.name.encode())


@dataclass(slots=True, frozen=True)
class ConcurrencyLimit:
    """Limit of the machines out of service at once, of a kind, a zone, or a kind in a zone.

    Attributes:
        max_count: Most machines out of service at once.
        kind: Kind of the machines that are counted; None: any kind.
        zone: Zone of the machines that are counted; empty: any zone.
    """

    max_count: int
    kind: Kind | None = None
    zone: str = ""

    def applies_to(self, machine: Machine) -> bool:
        """Return whether a machine is subject to this limit."""
        return self.kind in (None, machine.kind) and self.zone in ("", machine.zone)

    def __str__(self) -> str:
        kind = self.kind.name.lower() if self.kind else "machine"
        return f"{self.max_count} {kind}{' in ' + self.zone if self.zone else ''} at once"


@dataclass(slots=True, frozen=True)
class MaintenancePlan:
    """Machines to take out of service one after the other.

    Attributes:
        created_ms: When the plan was written; a later plan replaces an earlier one.
        machines: Machines to take out of service.
        limits: Limits of the machines that are out of service at once.
        min_serving_share: Least share of each kind in each zone that serves at any time.
        drain_timeout_ms: Longest duration of a front's drain, in milliseconds.
        withdrawn: No further machine is taken out, and fronts that are out and still run return to service.
    """

    created_ms: int
    machines: tuple[Machine, ...] = ()
    limits: tuple[ConcurrencyLimit, ...] = ()
    min_serving_share: float = 0.5
    drain_timeout_ms: int = 10_000
    withdrawn: bool = False
