"""Merges the endpoint lists that a discovery service replays to a watcher that starts at its first event."""

from __future__ import annotations

from collections.abc import Callable

from ...model.watch_event import EndpointListChange, Purge
from ...transport.event_sequence import WatchCallbacks
from ..events.endpoint_table import EndpointTable


class ReplayMerger:
    """Forwards the endpoint lists of a replay as one complete list, and purges without delay.

    When the watch begins at the first event, after the node or the discovery service started, the service
    replays old list changes, including caches that were removed since. The merger collects these changes and
    forwards the resulting list when a heartbeat ends the replay.

    Args:
        on_purge: Called with each purge; the second argument is False during a replay.
        on_list: Called with each list change outside a replay, and with the merged list after a replay.
        on_heartbeat: Called at each heartbeat, after the merged list of a replay that it ends.

    Attributes:
        replaying: True during a replay, when purges may have been received before.
        replayed_list: The merged list changes of the replay; None: list changes are forwarded at once.
    """

    def __init__(
        self,
        on_purge: Callable[[Purge, bool], None],
        on_list: Callable[[EndpointListChange], None],
        on_heartbeat: Callable[[], None],
    ) -> None:
        self._on_purge = on_purge
        self._on_list = on_list
        self._on_heartbeat = on_heartbeat
        self.replaying = True
        self.replayed_list: EndpointTable | None = EndpointTable()

    def callbacks(self) -> WatchCallbacks:
        """Return the callbacks for a watch of the discovery service."""
        return WatchCallbacks(self._handle_event, self._handle_heartbeat, self._handle_index_restart)

    def _handle_event(self, event: EndpointListChange | Purge) -> None:
        if isinstance(event, Purge):
            self._on_purge(event, not self.replaying)
        elif self.replayed_list is not None:
            self.replayed_list.apply(event)
        else:
            self._on_list(event)

    def _handle_index_restart(self) -> None:
        self.replaying = True
        self.replayed_list = EndpointTable()

    def _handle_heartbeat(self, _complete: bool) -> None:
        """End a replay, if any; without any list change in it, the previous list stays in force."""
        self.replaying = False
        if self.replayed_list and self.replayed_list.changes:
            change = self.replayed_list.as_full_list()
            self.replayed_list = None
            self._on_list(change)
        self._on_heartbeat()
