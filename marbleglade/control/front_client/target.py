"""The interfaces through which the control client acts on a front."""

from __future__ import annotations

from typing import Protocol

from ...model.watch_event import EndpointListChange, Purge


class ControlTarget(Protocol):
    """The part of a front that the control plane can change."""

    def apply(self, event: EndpointListChange | Purge) -> None:
        """Apply an event, which counts as applied once this method returns."""

    def withdraw(self, change: EndpointListChange) -> None:
        """Stop using caches that a node lists as draining or removed while its list is not in force.

        Only the start of the cache that is named in the change and earlier starts are affected.
        """

    def configure(self, version: int, text: str) -> None:
        """Apply a configuration version.

        Raises:
            ConfigurationRejectedError: The front can't use the version, and nothing was changed.
        """

    def limit_cache_age(self, max_age: int) -> None:
        """Serve no cached object older than `max_age` nanoseconds from now on; 0 removes the limit."""


class DiscoveryWatch(Protocol):
    """The front's own watch of the discovery service, used while no control node is up to date."""

    def resume(self) -> None:
        """Connect again, and resume after the last received index."""

    def pause(self) -> None:
        """Close the connection until `resume` is called."""


class NoDiscoveryWatch:
    """A null object for a front without a watch of the discovery service."""

    def resume(self) -> None:
        """Do nothing."""

    def pause(self) -> None:
        """Do nothing."""
