"""The source of the configuration versions that a control node distributes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class VersionedDocument:
    """A configuration document in protobuf text format and its version number."""

    version: int
    text: str


class ConfigurationSource(Protocol):
    """Provides the configuration version that is in force and reports each new one."""

    def subscribe(self, observer: Callable[[VersionedDocument], None]) -> None:
        """Call the observer with each version that comes into force from now on.

        The observer is not a constructor argument because the source is created before the control node, so
        that errors in the source's files and addresses are found before the node starts.
        """

    def run(self) -> None:
        """Run the source until its greenlet is killed."""

    def current(self) -> VersionedDocument | None:
        """Return the version in force, or None if there is none yet."""
