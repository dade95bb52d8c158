"""Tracks which configuration version is in force at a front. Versions never decrease. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable

from ..messages import ConfigurationApplied, ConfigurationEvent, ConfigurationRejected
from .document import ConfigurationRejectedError


class ConfigurationVersions:
    """Applies new configuration versions, and returns the replies to the control nodes.

    Args:
        configure: Applies a document. If it can't, it changes nothing and raises
            `ConfigurationRejectedError`.

    Attributes:
        in_force: The version that was applied last; 0 before the first one.
        last_rejected: The rejection of the newest version; None if that version was applied.
    """

    def __init__(self, configure: Callable[[int, str], None]) -> None:
        self._configure = configure
        self.in_force = 0
        self.last_rejected: ConfigurationRejected | None = None

    def handle_event(self, event: ConfigurationEvent) -> ConfigurationApplied | ConfigurationRejected | None:
        """Apply a version if it is new; return the reply, None for an outdated version."""
        if event.version < self.in_force:
            return None
        if event.version == self.in_force:
            return ConfigurationApplied(event.version)
        if self.last_rejected and event.version == self.last_rejected.version:
            return self.last_rejected
        if self.last_rejected and event.version < self.last_rejected.version:
            return None
        return self._apply(event)

    def _apply(self, event: ConfigurationEvent) -> ConfigurationApplied | ConfigurationRejected:
        try:
            self._configure(event.version, event.text)
        except ConfigurationRejectedError as error:
            return self._reject(event.version, str(error))
        except Exception as error:
            return self._reject(event.version, f"it can't be used: {error!r}")
        self.in_force = event.version
        self.last_rejected = None
        return ConfigurationApplied(event.version)

    def _reject(self, version: int, reason: str) -> ConfigurationRejected:
        self.last_rejected = ConfigurationRejected(version, reason)
        return self.last_rejected
