"""The components of one front."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ..model.request import Request
from ..policy_driver import PolicyDriver
from ..request_handler import RequestHandler
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.shutdown import GracefulShutdown
from ..transport.client_listener import ClientListener
from ..transport.discovery_watch import WatchClient
from ..transport.upstream_client import UpstreamClient
from .late_components import LateComponents
from .startup_configuration import StartupConfiguration

if TYPE_CHECKING:
    from ..control.front_client.client import ControlClient
    from ..fleet.agent_adapter import FleetAdapter
    from ..maintenance.adapter import MaintenanceAdapter
    from ..transport.peer_datagrams import PeerSocket


class ProcessComponents(NamedTuple):
    """Objects that all components of a front's process share.

    Attributes:
        guard: Records exceptions; also holds the log and the counters.
        loop: The monitored event loop.
        shutdown: Decides when the process may end.
        started_at: Time at which the front was created, ns.
    """

    guard: ErrorGuard
    loop: LoopMonitor
    shutdown: GracefulShutdown
    started_at: int


class RequestPath(NamedTuple):
    """The components that process a request.

    Attributes:
        driver: Runs the policy and its timers.
        upstream_client: Sends attempts to upstreams.
        handler: Handles each request, from admission to response.
        client_listener: Accepts clients, reads their requests and writes the responses.
    """

    driver: PolicyDriver
    upstream_client: UpstreamClient
    handler: RequestHandler
    client_listener: ClientListener[Request]


class FrontComponents(NamedTuple):
    """All components of one front.

    Attributes:
        configuration: The configuration with which the front was started.
        process: Objects that all components share.
        request_path: The components that process a request.
        late: Forwards calls of the request path to the components listed below.
        discovery_watch: The watch stream from the discovery service.
        peers: The socket for datagrams between fronts; None if they exchange none.
        fleet: Connects the front to the fleet; None if the front is not a member.
        control: The client of the control plane; None if there is no control plane.
    """

    configuration: StartupConfiguration
    process: ProcessComponents
    request_path: RequestPath
    late: LateComponents
    discovery_watch: WatchClient
    peers: PeerSocket | None
    fleet: FleetAdapter | None
    control: ControlClient | None

    @property
    def maintenance(self) -> MaintenanceAdapter | None:
        """The front's maintenance adapter; None if the front is not part of any maintenance."""
        return self.fleet.maintenance if self.fleet else None

    def loops(self) -> list[Callable[[], object]]:
        """Return the functions that run until the process ends, each in a separate greenlet."""
        loops: list[Callable[[], object]] = [
            self.discovery_watch.run,
            self.request_path.handler.monitor.run_probes,
        ]
        if self.peers:
            loops.append(self.peers.run)
        if self.control:
            loops.append(self.control.run)
        return loops

    def endpoints_age(self) -> int:
        """Return the time, ns, since the discovery service or a control node last sent a line."""
        return clock.now() - (self.late.last_source_line_at() or self.process.started_at)
