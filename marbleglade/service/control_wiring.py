"""Connects a front to its control plane client. Imported only if MARBLEGLADE_CONTROL is set."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..control.configuration.document import MaintenanceConfiguration
from ..control.configuration.reconfiguration import (
    ActiveConfiguration,
    Address,
    ConfigurationTarget,
    Configurator,
)
from ..control.front_client.client import ControlClient
from ..control.settings import ControlSettings, InvalidSettingsError, read
from ..model.peer_update import UpstreamLeaving
from ..model.watch_event import EndpointListChange, Purge
from ..policy_driver import PolicyDriver
from ..request_handler import RequestHandler
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from ..runtime.errors import InvalidConfigurationError
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.units import MILLISECOND_NS
from ..transport.discovery_watch import WatchClient

if TYPE_CHECKING:
    from ..maintenance.adapter import MaintenanceAdapter


class FrontTarget:
    """Applies the events of the control plane to a front.

    Args:
        handler: Holds the endpoint list and applies events.
        driver: Runs the policy.
        configurator: Applies configuration documents.
    """

    def __init__(self, handler: RequestHandler, driver: PolicyDriver, configurator: Configurator) -> None:
        self._handler = handler
        self._driver = driver
        self._configurator = configurator

    def apply(self, event: EndpointListChange | Purge) -> None:
        """Apply an event in the same way as an event of the discovery service."""
        self._handler.events.apply_and_publish(event)

    def withdraw(self, change: EndpointListChange) -> None:
        """Stop using these caches and their earlier incarnations, without changing the endpoint list."""
        for member in change.endpoints:
            upstream = self._handler.upstreams.by_id.get(member.id)
            if upstream and upstream.started_ms <= member.started_ms:
                self._handler.events.apply_peer_update(
                    UpstreamLeaving(change.index, member.id, upstream.started_ms)
                )

    def configure(self, version: int, text: str) -> None:
        """Apply a version of the configuration atomically.

        Raises:
            ConfigurationRejectedError: The version can't be applied; nothing has changed.
        """
        self._configurator.configure(version, text)

    def limit_cache_age(self, max_age_ns: int) -> None:
        """Limit the age of all cached responses to `max_age_ns`; 0 (`DEFAULT_MAX_AGE`) removes the limit."""
        self._driver.limit_cache_age(max_age_ns)


def read_settings(path: str, name: str) -> ControlSettings:
    """Read the control plane settings for a front.

    Raises:
        InvalidConfigurationError: The settings are invalid or do not list the front; the message is one line.
    """
    try:
        settings = read(path)
    except InvalidSettingsError as error:
        raise InvalidConfigurationError(f"MARBLEGLADE_CONTROL: {error}") from error
    if settings.region_of(name) is None:
        raise InvalidConfigurationError(f"MARBLEGLADE_CONTROL: {path} lists no front {name}")
    return settings


class PeerAddresses(Protocol):
    """The part of the socket for datagrams between fronts that a configuration reads and changes.

    Attributes:
        listen: The front's own address.
        addresses: The addresses of all fronts; a front's number is its position in this list.
        broadcast_address: An address that reaches all fronts; None if there is none.
    """

    listen: Address
    addresses: list[Address]
    broadcast_address: Address | None

    def replace_peers(self, peers: list[Address], broadcast_address: Address | None) -> None:
        """Replace the list of peers and the broadcast address."""


@dataclass(frozen=True, slots=True)
class ControlledFront:
    """The components of a front on which its control plane client acts.

    Attributes:
        name: The front's name in the control plane settings.
        known_events: Discovery events from the startup configuration, which the front has applied.
        handler: Handles requests, and applies events.
        driver: Runs the policy.
        discovery_watch: The front's own watch stream from the discovery service.
        peers: The socket for datagrams between fronts; None if they exchange none.
        maintenance: The front's maintenance adapter; None if the front is not part of any maintenance.
        guard: Records exceptions; also holds the log and the counters.
        loop: The monitored event loop; if None, the client checks for unread events before each attempt.
    """

    name: str
    known_events: Sequence[EndpointListChange | Purge]
    handler: RequestHandler
    driver: PolicyDriver
    discovery_watch: WatchClient
    peers: PeerAddresses | None
    maintenance: MaintenanceAdapter | None
    guard: ErrorGuard
    loop: LoopMonitor | None = None


def make_client(
    settings: ControlSettings,
    front: ControlledFront,
    apply_load_view: Callable[[bytes], None] | None = None,
) -> ControlClient:
    """Create the control plane client, with the front's own watch of the discovery service as its fallback.

    Args:
        settings: The control plane settings, which must list the front.
        front: The components of the front.
        apply_load_view: Called with each encoded load view from the primary node; if None, load views are
            ignored.
    """
    region = settings.region_of(front.name)
    if region is None:
        raise ValueError(f"the control plane settings list no front {front.name}")
    configurator = Configurator(settings, region.name, _configurable_components(front))
    client = ControlClient(
        settings,
        front.name,
        clock.unix_ns() // MILLISECOND_NS,
        FrontTarget(front.handler, front.driver, configurator),
        front.guard,
        front.discovery_watch,
        front.loop,
        apply_load_view,
    )
    for event in front.known_events:
        if isinstance(event, EndpointListChange):
            client.add_startup_change(event)
    return client


def _configurable_components(front: ControlledFront) -> ConfigurationTarget:
    """Return callbacks for the parts of a front that a configuration document can change."""
    discovery_watch, peers, maintenance = front.discovery_watch, front.peers, front.maintenance

    def active_configuration() -> ActiveConfiguration:
        if peers is None:
            return ActiveConfiguration(discovery_watch.address, (), None)
        return ActiveConfiguration(discovery_watch.address, tuple(peers.addresses), peers.broadcast_address)

    def replace_peers(addresses: list[Address], broadcast_address: Address | None) -> None:
        if peers is not None:  # without peers, a document that lists peers was rejected before
            peers.replace_peers(addresses, broadcast_address)

    def set_maintenance_plan(plan: MaintenanceConfiguration) -> None:
        # The result of `adopt` is neither logged nor reported: a configuration counts as applied even if its
        # plan is not later than the plan in force.
        if maintenance is not None:  # without maintenance, this callback is not passed to the target
            maintenance.coordinator.adopt(plan.plan, plan.encoded, clock.now())

    return ConfigurationTarget(
        active_configuration,
        peers.listen if peers else None,
        discovery_watch.reconnect,
        replace_peers,
        set_maintenance_plan if maintenance else None,
    )
