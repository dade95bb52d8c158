"""Selects the control nodes that a front connects to, without I/O, clocks or randomness.

A front uses two nodes in different zones and prefers the nodes of its own region. Within a region the order
of preference is given by rendezvous hashing of the names of the front and the node. Nodes thus serve equal
shares of the fronts without communication between fronts, also after one of the nodes has failed. Times are
nanoseconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

from ...runtime.stable_hash import stable_hash
from ...runtime.units import SECOND_NS
from ..settings import ControlSettings, NodeSettings

HEARTBEAT_INTERVAL_NS = SECOND_NS  # the longest time between two lines of a node
FIRST_BACKOFF_NS = SECOND_NS // 4  # before the first reconnection to a node
MAX_BACKOFF_NS = 15 * SECOND_NS
REJECTED_BACKOFF_NS = 60 * SECOND_NS  # after the server proved not to be the node of this deployment
STABLE_AFTER_NS = 10 * SECOND_NS  # a connection that lasted this long shows that the node is healthy
MAX_DOUBLINGS = 16  # of the first backoff
JITTER_STEPS = 1024  # number of different values of a backoff with jitter
# A heartbeat may be late by half an interval before the node counts as silent.
MIN_SILENCE_TIMEOUT_NS = HEARTBEAT_INTERVAL_NS * 3 // 2
MAX_SILENCE_TIMEOUT_NS = 2 * HEARTBEAT_INTERVAL_NS


def silence_timeout(purge_deadline: int) -> int:
    """Return the time without a line, in nanoseconds, after which a node counts as silent.

    The timeout is two heartbeat intervals. A short purge deadline, in nanoseconds, reduces it to three
    quarters of the deadline, but not below one and a half intervals.
    """
    return max(MIN_SILENCE_TIMEOUT_NS, min(MAX_SILENCE_TIMEOUT_NS, purge_deadline * 3 // 4))


def name_hash(*names: str) -> int:
    """Return a 64-bit hash of the names, the same in every process."""
    return stable_hash("\0".join(names).encode())


def rank_nodes(settings: ControlSettings, front: str) -> list[NodeSettings]:
    """Return all nodes in the front's order of preference.

    The nodes of the front's own region come first. Both groups are in the order of rendezvous hashing.
    """
    region = settings.region_of(front)
    local_region = region.name if region else None
    return sorted(
        settings.nodes, key=lambda node: (node.region != local_region, -name_hash(front, node.name))
    )


def best_pair(preferred: list[NodeSettings]) -> list[NodeSettings]:
    """Return the first node and the next node of another zone, or the second node if all are in one zone."""
    if len(preferred) <= 1:
        return list(preferred)
    first, *others = preferred
    other_zone = (node for node in others if (node.region, node.zone) != (first.region, first.zone))
    return [first, next(other_zone, others[0])]


@dataclass(slots=True)
class NodeHealth:
    """The results of connecting to one node.

    Attributes:
        failures: Number of consecutive failures.
        retry_at: When the backoff ends, in nanoseconds.
        connected_at: When the node greeted the front, in nanoseconds; 0 while not connected.
    """

    failures: int = 0
    retry_at: int = 0
    connected_at: int = 0


@dataclass(slots=True)
class NodeSelection:
    """Decides which nodes to connect to and which connections to close.

    Attributes:
        front: The front's name.
        preferred: All nodes in the front's order of preference.
        health: The results of connecting to each node, by its name.
    """

    front: str
    preferred: list[NodeSettings]
    health: dict[str, NodeHealth] = field(init=False)

    def __post_init__(self) -> None:
        self.health = {node.name: NodeHealth() for node in self.preferred}

    def nodes_to_use(self, now: int, connected: Set[str]) -> list[NodeSettings]:
        """Return the preferred pair among the nodes that are connected or not in backoff."""
        usable = [
            node
            for node in self.preferred
            if node.name in connected or self.health[node.name].retry_at <= now
        ]
        return best_pair(usable)

    def surplus(self, now: int, connected: Set[str], current: Set[str]) -> set[str]:
        """Return the nodes whose connections can be closed.

        These are the connected nodes that are not to be used, once all nodes to use are current.
        """
        needed = {node.name for node in self.nodes_to_use(now, connected)}
        return set(connected - needed) if needed <= current else set()

    def next_retry(self, now: int) -> int | None:
        """Return when the next backoff ends; None if no node is in backoff."""
        return min(
            (health.retry_at for health in self.health.values() if health.retry_at > now), default=None
        )

    def backoffs(self, now: int) -> dict[str, int]:
        """Return the remaining nanoseconds of the backoff of each node in backoff."""
        return {name: health.retry_at - now for name, health in self.health.items() if health.retry_at > now}

    def record_connected(self, name: str, now: int) -> None:
        """Record that the node greeted the front."""
        self.health[name].connected_at = now

    def record_disconnected(self, name: str, now: int) -> None:
        """Record that a connection failed or ended, and start an exponential backoff."""
        health = self.health[name]
        if health.connected_at and now - health.connected_at >= STABLE_AFTER_NS:
            health.failures = 0
        health.connected_at = 0
        backoff = min(MAX_BACKOFF_NS, FIRST_BACKOFF_NS << min(health.failures, MAX_DOUBLINGS))
        health.failures += 1
        health.retry_at = now + self._with_jitter(name, backoff)

    def record_rejected(self, name: str, now: int) -> None:
        """Record that the server is not the node of this deployment, and start a long backoff."""
        health = self.health[name]
        health.failures += 1
        health.connected_at = 0
        health.retry_at = now + self._with_jitter(name, REJECTED_BACKOFF_NS)

    def _with_jitter(self, name: str, backoff: int) -> int:
        """Return between half and all of the backoff, spread by a hash of front, node and failure count."""
        step = name_hash(self.front, name, str(self.health[name].failures)) % JITTER_STEPS
        return backoff // 2 + backoff // 2 * step // JITTER_STEPS


def next_primary(
    preferred: list[NodeSettings],
    primary: str | None,
    greeted: Set[str],
    listed: Set[str],
    current: Set[str],
) -> str | None:
    """Return the name of the node whose list of caches is to be in force; None if there is no such node.

    The first choice is the most preferred node that is current and has a list, the second the present primary
    if it is connected, and the third the most preferred connected node that has a list.

    Args:
        preferred: All nodes in the front's order of preference.
        primary: The present primary, if any.
        greeted: The connected nodes that have greeted the front.
        listed: The nodes whose complete list is known.
        current: The nodes that the front has caught up with on the present connection.
    """
    names = [node.name for node in preferred]
    best = next((name for name in names if name in current & listed), None)
    if best or primary in greeted:
        return best or primary
    return next((name for name in names if name in greeted & listed), None)
