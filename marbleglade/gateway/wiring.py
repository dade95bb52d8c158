"""Creates the components of one gateway in order and connects them; starts none of them."""

from __future__ import annotations

from ..deployment.environments import local_environment, to_ns
from ..deployment.reader import LocalDeployment
from ..model.watch_event import EndpointListChange, Purge
from ..runtime import clock
from ..runtime.counters import Counters
from ..runtime.error_guard import ErrorGuard
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.shutdown import GracefulShutdown
from ..runtime.structlog_log import StructlogLog
from ..runtime.units import MILLISECOND_NS
from ..state.body_budget import BodyBudget
from ..state.purge_history import UNKNOWN_GROUP
from ..textproto import parse_address
from ..transport.cache_server import CacheServer
from ..transport.client_listener import ClientListener
from ..transport.client_registry import ClientLimits
from ..transport.discovery_watch import WatchClient
from ..transport.event_sequence import WatchCallbacks
from .link.links import SharedComponents
from .purge_log import PurgeSender
from .region_events import RegionEvents
from .region_router import RegionRouter
from .region_wiring import RegionWiring
from .remote_region import RemoteRegion
from .request_journal import RequestJournal
from .requester import Requester
from .responder import Responder, ResponderSettings
from .routed_request import RoutedRequest
from .routes import Routes, read_route_rules

DISCOVERY_TIMEOUT_NS = 2_500 * MILLISECOND_NS  # the discovery protocol guarantees a line every second
MAX_PURGE_RECORDS = 1 << 14
MAX_LOCATED_OBJECTS = 1 << 16  # objects whose last region is stored
LOCATION_RETENTION_FACTOR = 16  # a location is used for this many times the longest client timeout
# Purges are stored for this many times the purge deadline, within which caches drop purged objects.
PURGE_RETENTION_FACTOR = 4
MIN_PEER_CONNECTIONS = 8

# Divisors of the configured limits, the same as a front's. Of the memory, a sixth is for response bodies and
# a twelfth for client requests. Of the descriptors, a quarter is for connections of clients, and an eighth
# each for connections of fronts and of gateways.
BODIES_DIVISOR = 6
REQUESTS_DIVISOR = 12
CLIENTS_DIVISOR = 4
CACHE_SERVER_DIVISOR = 8
PEER_CONNECTIONS_DIVISOR = 8


class GatewayComponents:
    """All components of one gateway; the listeners are not open yet.

    Args:
        deployment: The deployment, and the gateway in it that these components belong to.
        debug: Whether debug events are logged.
        sink: The file descriptor that the log is written to; None for standard error.
    """

    def __init__(self, deployment: LocalDeployment, debug: bool = False, sink: int | None = None) -> None:
        self._deployment = deployment
        self._limits = deployment.configuration.limits
        self._longest_timeout = max(
            to_ns(profile.client_timeout_ms) for profile in deployment.configuration.profiles
        )
        self.region = deployment.region.name
        self.start_ms = clock.unix_ns() // MILLISECOND_NS
        self.silence_timeout_ns = to_ns(deployment.configuration.link.silent_ms)
        self.heartbeat_interval_ns = to_ns(deployment.configuration.link.beat_ms)
        self.counters = Counters()
        self.log = StructlogLog(deployment.gateway.name, self.counters, debug, sink)
        self.guard = ErrorGuard(self.counters, self.log)
        self.loop_monitor = LoopMonitor(clock.now, self.log)
        self.shutdown = GracefulShutdown(self._longest_timeout)
        self.body_budget = BodyBudget(self._limits.memory // BODIES_DIVISOR)
        self.region_events = RegionEvents(self.region)
        self.discovery_watch = self._make_discovery_watch()
        self._connect_regions()
        self.purge_sender = self._make_purge_sender()
        self.journal = self._make_journal()
        self.responder = self._make_responder()
        self.client_listener = self._make_client_listener()
        self.cache_server = self._make_cache_server()

    # Regions.

    def _connect_regions(self) -> None:
        """Create the request handlers of all regions and their router, and register them for events."""
        shared = SharedComponents(self.body_budget, self.region_events, self.guard, self.loop_monitor)
        wiring = RegionWiring(self._deployment, self.start_ms, shared)
        self._local_environment = local_environment(self._deployment, self.start_ms)
        self.upstream_client, local_handler = wiring.local_region(
            self._local_environment, self.discovery_watch.apply_pending_events
        )
        self.requesters: list[Requester] = []
        remote_regions: dict[str, RemoteRegion] = {}
        for region in self._deployment.remote_regions:
            requester, remote_regions[region.name] = wiring.remote_region(region)
            self.requesters.append(requester)
        self.router = RegionRouter(self.region, local_handler, remote_regions, self._make_routes())
        for name, handler in self.router.handlers.items():
            self.region_events.add_region(name, handler)

    def _make_routes(self) -> Routes:
        return Routes(
            self.region,
            [region.name for region in self._deployment.remote_regions],
            read_route_rules(self._deployment.configuration.routes),
            max_objects=MAX_LOCATED_OBJECTS,
            retention_ns=LOCATION_RETENTION_FACTOR * self._longest_timeout,
        )

    # The responding side.

    def _make_purge_sender(self) -> PurgeSender:
        retention_ms = round(PURGE_RETENTION_FACTOR * self._deployment.configuration.rules.clear_ms)
        return PurgeSender(self.start_ms, retention_ms, MAX_PURGE_RECORDS)

    def _make_journal(self) -> RequestJournal:
        link_settings = self._deployment.configuration.link
        max_bytes = link_settings.book_bytes if link_settings.book else 0
        return RequestJournal(link_settings.book_carries, max_bytes)

    def _make_responder(self) -> Responder:
        region_by_gateway = {
            gateway.name: region.name
            for region in self._deployment.remote_regions
            for gateway in region.gateways
        }
        settings = ResponderSettings(
            local_region=self.region,
            local_gateway=self._deployment.gateway.name,
            start_ms=self.start_ms,
            region_by_gateway=region_by_gateway,
            silence_timeout_ns=self.silence_timeout_ns,
            max_connections=max(MIN_PEER_CONNECTIONS, self._limits.descriptors // PEER_CONNECTIONS_DIVISOR),
        )
        return Responder(
            settings,
            self.router,
            self.journal,
            self.purge_sender,
            self.discovery_lost,
            self.guard,
            self.loop_monitor,
        )

    # Listeners for clients and fronts.

    def _make_client_listener(self) -> ClientListener[RoutedRequest]:
        return ClientListener(
            self.router,
            ClientLimits(
                max_connections=self._limits.descriptors // CLIENTS_DIVISOR,
                max_buffered_bytes=self._limits.memory // REQUESTS_DIVISOR,
            ),
            self.is_ready,
            clock.now,
            self.guard,
            self.loop_monitor,
        )

    def _make_cache_server(self) -> CacheServer[RoutedRequest]:
        return CacheServer(
            self.router,
            unknown_group=UNKNOWN_GROUP,
            max_connections=self._limits.descriptors // CACHE_SERVER_DIVISOR,
            idle_timeout=self._local_environment.idle_timeout,
            accepts_requests=self.is_ready,
            guard=self.guard,
            loop=self.loop_monitor,
        )

    def is_ready(self) -> bool:
        """Return whether this gateway accepts requests, which it does until its shutdown is requested."""
        return not self.shutdown.requested_at

    # Discovery.

    def _make_discovery_watch(self) -> WatchClient:
        return WatchClient(
            parse_address(self._deployment.region.coordinator),
            last_index=0,
            callbacks=WatchCallbacks(self._apply_discovery_event),
            guard=self.guard,
            loop=self.loop_monitor,
            accept_index_restart=True,
        )

    def _apply_discovery_event(self, event: EndpointListChange | Purge) -> None:
        """Apply an event of this region's discovery service; also send a purge to the other regions."""
        if isinstance(event, EndpointListChange):
            self.region_events.local_endpoints_changed(event)
            return
        now_ms = clock.unix_ns() // MILLISECOND_NS
        purged_at_ms = min(event.unix_ms, now_ms)
        purge = self.purge_sender.add(event.object_id, event.group, purged_at_ms, now_ms)
        self.responder.broadcast_purge(purge)
        self.region_events.purge_received(event)

    def discovery_lost(self) -> bool:
        """Return whether the discovery service is silent, so that purges may be missing."""
        last_line_at = self.discovery_watch.last_line_at
        return not last_line_at or clock.now() - last_line_at > DISCOVERY_TIMEOUT_NS
