"""Dispatches the events of all sources to the front, each at most once and in order. Without I/O."""

from __future__ import annotations

from ...model.watch_event import EndpointListChange, Purge, UnknownEvent
from ...runtime.error_guard import ErrorGuard
from ..configuration.versions import ConfigurationVersions
from ..messages import (
    ConfigurationApplied,
    ConfigurationEvent,
    ConfigurationRejected,
    Greeting,
    NumberedEvent,
)
from .deduplication import RecentPurges
from .list_sources import DISCOVERY, ListSources
from .stream_progress import StreamProgress
from .target import ControlTarget


class EventDispatcher:
    """Applies each purge once, the list of the active source, and configuration versions in rising order.

    Args:
        target: The front to which events are applied.
        guard: Provides the counters and the log.

    Attributes:
        lists: The lists of caches of all sources.
        versions: The configuration versions.
    """

    def __init__(self, target: ControlTarget, guard: ErrorGuard) -> None:
        self._target = target
        self._counters = guard.counters
        self._log = guard.log
        self._recent = RecentPurges()
        self._last_discovery_index = 0
        self.lists = ListSources(target.apply, target.withdraw)
        self.versions = ConfigurationVersions(target.configure)

    def begin_stream(self, progress: StreamProgress, greeting: Greeting) -> None:
        """Begin or resume the stream of a node.

        Args:
            progress: Progress of the stream, which must already have recorded the greeting.
            greeting: The greeting of the node.
        """
        if greeting.snapshot_to:
            self.lists.begin_snapshot(greeting.stream)
        elif not progress.applied:
            self.lists.begin_full_replay(greeting.stream)

    def apply(self, stream: str, event: NumberedEvent) -> ConfigurationApplied | ConfigurationRejected | None:
        """Apply an event of a control node, and return the answer if it is a configuration version.

        Exceptions of the front are passed on to the caller; the event was not applied then.
        """
        match event:
            case Purge():
                self._purge(event)
            case EndpointListChange():
                self.lists.handle_change(stream, event)
            case ConfigurationEvent():
                return self._configure(event)
            case UnknownEvent():
                self._counters.add("control.unknown_event")
        return None

    def handle_discovery_event(self, event: EndpointListChange | Purge) -> None:
        """Handle an event of the front's own watch of the discovery service."""
        if event.index <= self._last_discovery_index:
            self.lists.handle_discovery_restart()
        if isinstance(event, Purge):
            self._purge(event)
        else:
            self.lists.handle_change(DISCOVERY, event)
        self._last_discovery_index = event.index

    def _purge(self, purge: Purge) -> None:
        if self._recent.is_duplicate(purge):
            self._counters.add("control.duplicate_purge")
            return
        self._target.apply(purge)
        self._recent.record(purge)
        self._counters.add("control.purge")

    def _configure(self, event: ConfigurationEvent) -> ConfigurationApplied | ConfigurationRejected | None:
        previous_version = self.versions.in_force
        answer = self.versions.handle_event(event)
        if answer is None:
            self._counters.add("control.outdated_version")
        elif isinstance(answer, ConfigurationRejected):
            self._counters.add("control.rejected_version")
            self._log.info("control", rejected_version=answer.version, reason=answer.reason)
        elif self.versions.in_force != previous_version:
            self._counters.add("control.version")
            self._log.info("control", version=answer.version)
        return answer
