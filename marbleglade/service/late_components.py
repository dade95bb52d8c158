"""References to the components of a front that are created after their callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..transport.discovery_watch import WatchClient

if TYPE_CHECKING:
    from ..control.front_client.client import ControlClient
    from ..maintenance.adapter import MaintenanceAdapter
    from ..model.peer_update import PeerUpdate
    from ..transport.peer_datagrams import PeerSocket


@dataclass(slots=True, eq=False)
class LateComponents:
    """Forwards calls from the request path to components that depend on it and are created after it.

    The wiring sets each attribute when it creates the component. While an attribute is None, calls to that
    component have no effect.

    Attributes:
        discovery_watch: The watch stream from the discovery service.
        peers: The socket for datagrams between fronts; None if they exchange none.
        maintenance: The front's maintenance adapter; None if the front is not part of any maintenance.
        control: The client of the control plane; None if there is no control plane.
    """

    discovery_watch: WatchClient | None = None
    peers: PeerSocket | None = None
    maintenance: MaintenanceAdapter | None = None
    control: ControlClient | None = None

    def rejects_all(self) -> bool:
        """Return whether the front is out of service for maintenance."""
        return bool(self.maintenance and self.maintenance.rejects_all())

    def in_service(self) -> bool:
        """Return whether maintenance allows the front to accept new clients."""
        maintenance = self.maintenance
        return not (maintenance and (maintenance.is_draining or maintenance.is_waiting))

    def confirmed_at(self) -> int:
        """Return when the discovery service last confirmed that no event is missing, ns; 0 if unknown."""
        return self.discovery_watch.confirmed_at if self.discovery_watch else 0

    def last_source_line_at(self) -> int:
        """Return when the discovery service or a control node last sent a line, ns; 0 if never."""
        watch_line_at = self.discovery_watch.last_line_at if self.discovery_watch else 0
        return max(watch_line_at, self.control.last_line_at if self.control else 0)

    def publish(self, update: PeerUpdate) -> None:
        """Publish an update to the other fronts, if there are any."""
        if self.peers:
            self.peers.record(update)

    def retract(self, upstream_id: str) -> None:
        """Stop publishing the drain of an upstream to the other fronts."""
        if self.peers:
            self.peers.anti_entropy.retract(upstream_id)

    def apply_pending_events(self) -> None:
        """Apply events of the discovery service or control nodes that have arrived but were not yet read."""
        if self.discovery_watch:
            self.discovery_watch.apply_pending_events()
        if self.control:
            self.control.apply_pending_events()
