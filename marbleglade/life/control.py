"""Ties a front to its client of the control plane. Imported only where MARBLEGLADE_CONTROL is set."""

from __future__ import annotations

from ..control.client import ConfigurationRefusedError, ControlClient
from ..control.settings import ControlSettings, InvalidSettingsError, read
from ..facade import Facade
from ..front import Front
from ..wire.coordinator import Follower
from ..wire.coordlines import ListChange, Purge
from ..wire.datagrams import PlaceLeaves
from . import clock
from .assignment import Unfit
from .guard import Guard

MILLISECOND = 1_000_000


class FrontTarget:
    """What the control plane tells, as calls of the front."""

    def __init__(self, front: Front, facade: Facade) -> None:
        self._front, self._facade = front, facade

    def apply(self, event: ListChange | Purge) -> None:
        """Applies an event as if the discovery service had told it."""
        self._front.follow(event)

    def take_away(self, change: ListChange) -> None:
        """Uses these caches no more, as after the word of a peer; the list itself stays as it is."""
        for member in change.members:
            self._front.heed(PlaceLeaves(change.index, member.id, member.started_ms))

    def configure(self, version: int, text: str) -> None:
        """Raises `ConfigurationRefusedError`: a front can't use a document yet."""
        raise ConfigurationRefusedError("no configuration support")

    def limit_age(self, oldest: int) -> None:
        """No copy older than this many nanoseconds is given from now on; 0: no limit."""
        self._facade.limit_age(oldest)


def read_settings(path: str, name: str) -> ControlSettings:
    """The control plane for a front. Raises `Unfit` with one line where it can't be used."""
    try:
        settings = read(path)
    except InvalidSettingsError as error:
        raise Unfit(f"MARBLEGLADE_CONTROL: {error}") from error
    if settings.region_of(name) is None:
        raise Unfit(f"MARBLEGLADE_CONTROL: {path} lists no front {name}")
    return settings


def make_client(
    settings: ControlSettings, name: str, front: Front, facade: Facade, follower: Follower, guard: Guard
) -> ControlClient:
    """The client, with the front's own watch of the discovery service as what it falls back on."""
    start_ms = clock.unix_ns() // MILLISECOND
    client = ControlClient(settings, name, start_ms, FrontTarget(front, facade), guard, follower)
    follower.apply, follower.complete = client.discovery_event, client.discovery_complete
    follower.anew = True
    return client
