"""Applies configuration documents to a running front: checks a document completely, then applies its changes.

The front passes its parts as callbacks (`ConfigurationTarget`), so that this module does not import them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..settings import ControlSettings
from .document import (
    Configuration,
    ConfigurationRejectedError,
    InvalidDocumentError,
    MaintenanceConfiguration,
    RegionConfiguration,
    read,
)

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The part of a front's current configuration that a document can change."""

    discovery: Address
    peers: tuple[Address, ...]
    peers_all: Address | None


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """The changes that a document makes at a front. None means no change."""

    discovery: Address | None = None
    peers: tuple[Address, ...] | None = None
    peers_all: Address | None = None
    maintenance: MaintenanceConfiguration | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationTarget:
    """The callbacks through which a document changes a front.

    Attributes:
        active_configuration: Returns the current configuration of the front.
        own_peer: The front's own address in the list of peers; None if it was started without peers.
        set_discovery_address: Switches to the discovery service at another address.
        set_peers: Replaces the list of peers, and the address that reaches all of them.
        set_maintenance_plan: Replaces the maintenance plan; None if the front takes part in no maintenance.
    """

    active_configuration: Callable[[], ActiveConfiguration]
    own_peer: Address | None
    set_discovery_address: Callable[[Address], None]
    set_peers: Callable[[list[Address], Address | None], None]
    set_maintenance_plan: Callable[[MaintenanceConfiguration], None] | None = None


class Configurator:
    """Applies configuration versions to one front, in rising order.

    Args:
        settings: The settings of the control plane, against which documents are checked.
        region: The name of the front's region.
        target: The callbacks that change the front.

    Attributes:
        version: The version in force; 0 before the first one.
        applied_plan: The encoded maintenance plan that was applied last; None before the first one.
    """

    def __init__(self, settings: ControlSettings, region: str, target: ConfigurationTarget) -> None:
        self.settings = settings
        self.region = region
        self.target = target
        self.version = 0
        self.applied_plan: bytes | None = None

    def configure(self, version: int, text: str) -> ConfigurationChanges:
        """Apply all changes of a version, and return them. The version in force has no changes.

        Raises:
            ConfigurationRejectedError: The front can't apply the document, and has not changed.
        """
        if version == self.version:
            return ConfigurationChanges()
        if version < self.version:
            raise ConfigurationRejectedError(f"version {version} is older than {self.version} in force")
        document = self._read_checked(version, text)
        region = document.region(self.region)
        changes = self._find_changes(region) if region else ConfigurationChanges()
        self._apply(changes)
        self.version = version
        return changes

    def _read_checked(self, version: int, text: str) -> Configuration:
        try:
            document = read(text, self.settings)
        except InvalidDocumentError as error:
            raise ConfigurationRejectedError(str(error)) from error
        if document.version != version:
            raise ConfigurationRejectedError(f"the document says version {document.version}, not {version}")
        if region := document.region(self.region):
            self._check_usable(region)
        return document

    def _check_usable(self, region: RegionConfiguration) -> None:
        if region.peers:
            self._check_peers(region.peers)
        if region.maintenance and self.target.set_maintenance_plan is None:
            raise ConfigurationRejectedError("it holds an order of work, and this front takes part in none")

    def _check_peers(self, peers: tuple[Address, ...]) -> None:
        """Reject a list of peers that moves this front: fronts identify each other by their positions."""
        own = self.target.own_peer
        active_peers = self.target.active_configuration().peers
        if own is None:
            raise ConfigurationRejectedError("it lists peers, and this front was started without")
        if own not in peers:
            raise ConfigurationRejectedError(f"its peers lack this front, {own[0]}:{own[1]}")
        if own in active_peers and peers.index(own) != active_peers.index(own):
            positions = f"from place {active_peers.index(own)} to {peers.index(own)}"
            raise ConfigurationRejectedError(f"it moves this front {positions} in the list of peers")

    def _find_changes(self, region: RegionConfiguration) -> ConfigurationChanges:
        active = self.target.active_configuration()
        discovery_changes = region.discovery not in (None, active.discovery)
        peers_change = region.peers and (
            region.peers != active.peers or region.peers_all not in (None, active.peers_all)
        )
        plan_changes = region.maintenance and region.maintenance.encoded != self.applied_plan
        return ConfigurationChanges(
            discovery=region.discovery if discovery_changes else None,
            peers=region.peers if peers_change else None,
            peers_all=region.peers_all if peers_change else None,
            maintenance=region.maintenance if plan_changes else None,
        )

    def _apply(self, changes: ConfigurationChanges) -> None:
        if changes.peers:
            self.target.set_peers(list(changes.peers), changes.peers_all)
        if changes.maintenance and self.target.set_maintenance_plan:
            self.target.set_maintenance_plan(changes.maintenance)
            self.applied_plan = changes.maintenance.encoded
        if changes.discovery:
            self.target.set_discovery_address(changes.discovery)
