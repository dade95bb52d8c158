"""Wiring of one front: creates its components in order of dependency and connects them, but starts none.

Modules for components that only some fronts have (peers, fleet, control nodes) are imported where these are
created, so that other fronts start faster and need less memory.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ..discovery_events import DiscoveryEvents
from ..runtime import clock
from ..runtime.counters import Counters
from ..runtime.error_guard import ErrorGuard
from ..runtime.errors import InvalidConfigurationError
from ..runtime.json_log import Log
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.shutdown import GracefulShutdown
from ..runtime.units import MILLISECOND_NS, SECOND_NS
from ..transport.discovery_watch import HEARTBEAT_INTERVAL_S, WatchClient
from ..transport.event_sequence import WatchCallbacks
from .components import FrontComponents, ProcessComponents, RequestPath
from .late_components import LateComponents
from .request_path_wiring import build_request_path
from .startup_configuration import StartupConfiguration

if TYPE_CHECKING:
    from ..control.front_client.client import ControlClient
    from ..control.settings import ControlSettings
    from ..fleet.agent_adapter import FleetAdapter
    from ..model.watch_event import EndpointListChange, Purge
    from ..transport.peer_datagrams import PeerSocket

# Number of purge deadlines for which purges and drains are kept, so that peers that missed them can get them.
GOSSIP_RETENTION_DEADLINES = 2


def build_front(configuration: StartupConfiguration) -> FrontComponents:
    """Create all components of one front.

    Args:
        configuration: The configuration with which the front is started.

    Raises:
        InvalidConfigurationError: The settings of the control plane or of the fleet are invalid.
    """
    control_settings = _read_control_settings(configuration.name)
    process = _build_process(configuration)
    late = LateComponents()
    request_path = build_request_path(configuration, process, late)
    events = request_path.handler.events
    for event in configuration.known_events:
        process.guard.call("known", events.apply, event)
    # Without control nodes, a front keeps its event index. If the discovery service restarts its numbering,
    # the front applies events again only when their index exceeds its own, or after a restart of the front.
    discovery_watch = _build_discovery_watch(
        configuration, process, events, late, accept_index_restart=bool(control_settings)
    )
    late.discovery_watch = discovery_watch
    late.peers = _build_peers(configuration, process, events, late)
    fleet = _build_fleet(configuration, process, request_path, late.peers)
    late.maintenance = fleet.maintenance if fleet else None
    if control_settings:
        late.control = _build_control(
            control_settings, configuration, process, request_path, discovery_watch, late.peers, fleet
        )
    return FrontComponents(
        configuration=configuration,
        process=process,
        request_path=request_path,
        late=late,
        discovery_watch=discovery_watch,
        peers=late.peers,
        fleet=fleet,
        control=late.control,
    )


def _build_process(configuration: StartupConfiguration) -> ProcessComponents:
    counters = Counters()
    log = Log(configuration.name, counters, bool(os.environ.get("MARBLEGLADE_DEBUG")))
    request_classes = configuration.environment.parameters.request_classes
    return ProcessComponents(
        guard=ErrorGuard(counters, log),
        loop=LoopMonitor(clock.now, log),
        shutdown=GracefulShutdown(max(request_class.client_timeout for request_class in request_classes)),
        started_at=clock.now(),
    )


def _build_discovery_watch(
    configuration: StartupConfiguration,
    process: ProcessComponents,
    events: DiscoveryEvents,
    late: LateComponents,
    accept_index_restart: bool,
) -> WatchClient:
    """Create the watch; its events go through the control plane client, if there is one."""

    def handle_event(event: EndpointListChange | Purge) -> None:
        if late.control:
            late.control.handle_discovery_event(event)
        else:
            events.apply_and_publish(event)

    def handle_heartbeat(complete: bool) -> None:
        if late.control and complete:
            late.control.handle_discovery_caught_up()

    return WatchClient(
        configuration.discovery_address,
        configuration.last_event,
        WatchCallbacks(handle_event, handle_heartbeat),
        process.guard,
        process.loop,
        accept_index_restart=accept_index_restart,
    )


def _build_peers(
    configuration: StartupConfiguration,
    process: ProcessComponents,
    events: DiscoveryEvents,
    late: LateComponents,
) -> PeerSocket | None:
    """Create the socket for datagrams between fronts, if they are enabled and peers are configured."""
    environment = configuration.environment
    if not (environment.peer_messages and configuration.peer_listen and configuration.peers):
        return None
    from ..fleet.anti_entropy import AntiEntropy
    from ..transport.peer_datagrams import PeerSocket

    parameters = environment.parameters
    retention = GOSSIP_RETENTION_DEADLINES * parameters.purge_deadline
    return PeerSocket(
        configuration.peer_listen,
        configuration.peers,
        parameters.seed,
        AntiEntropy(int(HEARTBEAT_INTERVAL_S * SECOND_NS), retention, clock.now()),
        events.apply_peer_update,
        late.last_source_line_at,
        process.guard,
        configuration.peers_all,
    )


def _build_fleet(
    configuration: StartupConfiguration,
    process: ProcessComponents,
    request_path: RequestPath,
    peers: PeerSocket | None,
) -> FleetAdapter | None:
    """Create the fleet adapter, if MARBLEGLADE_FLEET is set and the list of peers includes this front."""
    settings_path = os.environ.get("MARBLEGLADE_FLEET")
    if not (peers and settings_path and configuration.peer_listen in configuration.peers):
        return None
    from ..fleet import fleet_settings
    from ..fleet.agent_adapter import FleetAdapter

    return FleetAdapter(
        configuration.name,
        fleet_settings.read(settings_path).probe_interval_ms * MILLISECOND_NS,
        request_path.driver,
        request_path.handler,
        peers,
        process.guard.log.info,
        os.environ.get("MARBLEGLADE_WORK", ""),
    )


def _read_control_settings(name: str) -> ControlSettings | None:
    """Read the control plane settings from the path in MARBLEGLADE_CONTROL; return None if it is not set.

    Raises:
        InvalidConfigurationError: The settings are invalid or do not list this front.
    """
    path = os.environ.get("MARBLEGLADE_CONTROL")
    if not path:
        return None
    from .control_wiring import read_settings

    return read_settings(path, name)


def _build_control(
    settings: ControlSettings,
    configuration: StartupConfiguration,
    process: ProcessComponents,
    request_path: RequestPath,
    discovery_watch: WatchClient,
    peers: PeerSocket | None,
    fleet: FleetAdapter | None,
) -> ControlClient:
    """Create the control plane client; if the settings have a view period, it also handles load views."""
    from .control_wiring import ControlledFront, make_client

    reporting_fleet = fleet if settings.view_period_ns else None
    if reporting_fleet:
        _check_view_period(settings.view_period_ns, reporting_fleet.agent.report_interval)
    front = ControlledFront(
        name=configuration.name,
        known_events=configuration.known_events,
        handler=request_path.handler,
        driver=request_path.driver,
        discovery_watch=discovery_watch,
        peers=peers,
        maintenance=fleet.maintenance if fleet else None,
        guard=process.guard,
        loop=process.loop,
    )
    client = make_client(settings, front, reporting_fleet.handle_load_view if reporting_fleet else None)
    if reporting_fleet:
        reporting_fleet.use_control_nodes(settings.front_numbers()[configuration.name], client.report)
    return client


def _check_view_period(view_period: int, report_interval: int) -> None:
    """Check that the control nodes aggregate load views as often as the fleet reports load. Times are in ns.

    Raises:
        InvalidConfigurationError: The two periods differ.
    """
    if view_period != report_interval:
        raise InvalidConfigurationError(
            f"MARBLEGLADE_CONTROL: view_period_ms is {view_period // MILLISECOND_NS},"
            f" half of the fleet's beat_ms is {report_interval // MILLISECOND_NS}"
        )
