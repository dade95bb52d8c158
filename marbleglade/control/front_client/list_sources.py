"""Decides which source's list of caches is in force at a front, without I/O.

At most one source at a time is active: the primary control node or the discovery service. The changes of the
other sources are merged meanwhile, so that any of them can take over at once. If another control node lists
a cache as draining or removed, the front stops using that cache at once. `withdrawals.py` defines when the
cache may be used again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ...model.upstream import UpstreamState
from ...model.watch_event import Endpoint, EndpointListChange
from .delta_merge import MergedListChange
from .withdrawals import Withdrawals, is_withdrawn

DISCOVERY = "discovery"  # stands for the stream of the discovery service


class ListSources:
    """Merges the lists of all sources, and forwards the changes of the active one.

    Args:
        apply: Called with the list changes of the active source, in which caches that another source withdrew
            are set to draining.
        on_withdrawn: Called with the caches that an inactive control node withdraws before any other source.

    Attributes:
        active: The stream of the active source; None if the discovery service restarted while active, until a
            source is activated.
        merged: The merged list of each source, by its stream.
        withdrawals: The caches that sources listed as draining or removed.
    """

    def __init__(
        self, apply: Callable[[EndpointListChange], None], on_withdrawn: Callable[[EndpointListChange], None]
    ) -> None:
        self._apply = apply
        self._on_withdrawn = on_withdrawn
        self.active: str | None = DISCOVERY
        self.merged: dict[str, MergedListChange] = {DISCOVERY: MergedListChange()}
        self.withdrawals = Withdrawals()
        self._changes_during_snapshot: dict[str, MergedListChange] = {}
        self._full_replays: set[str] = set()

    def has_list(self, stream: str) -> bool:
        """Return whether the merged list of the stream is complete, by a complete list or a full replay."""
        return stream in self.merged and self.merged[stream].complete

    def forget(self, stream: str) -> None:
        """Drop the list of a stream that is no longer followed."""
        self.merged.pop(stream, None)
        self._changes_during_snapshot.pop(stream, None)
        self._full_replays.discard(stream)

    def begin_snapshot(self, stream: str) -> None:
        """Begin a snapshot.

        Live changes that arrive before the complete list of the snapshot are newer than that list. They are
        kept and merged again after it.
        """
        self._changes_during_snapshot[stream] = MergedListChange()

    def begin_full_replay(self, stream: str) -> None:
        """Record that the stream is received from its first event on, without a snapshot."""
        self._full_replays.add(stream)

    def record_caught_up(self, stream: str) -> None:
        """Record that the front has caught up with a stream.

        If the stream was received from its first event on, its merged changes now are a complete list.
        Otherwise the complete list arrived with the snapshot.
        """
        if stream in self._full_replays and stream in self.merged:
            self.merged[stream].complete = True

    def handle_change(self, stream: str, change: EndpointListChange) -> None:
        """Merge the next list change of a stream, and apply it if the stream is active.

        On an inactive control node's stream, only the caches that it newly withdraws are passed on.
        """
        if newer := self._changes_during_snapshot.get(stream):
            if not change.complete:
                newer.add(change)
            else:
                del self._changes_during_snapshot[stream]
                self._add(stream, change)
                change = newer.as_change()
                if newer.empty:
                    return
        self._add(stream, change)

    def _add(self, stream: str, change: EndpointListChange) -> None:
        self.merged.setdefault(stream, MergedListChange()).add(change)
        if stream == self.active:
            self._forward(stream, change)
        elif stream != DISCOVERY:
            self._withdraw(stream, change)

    def activate(self, stream: str) -> None:
        """Make a stream the active source, and apply its merged list as one change.

        The discovery service may be activated only once the front has caught up with it. All lists originate
        from it, so the caches that it lists as active are no longer withdrawn.
        """
        merged = self.merged[stream]
        self.active = stream
        if stream == DISCOVERY:
            self.withdrawals.revoke(
                [endpoint for endpoint in merged.endpoints.values() if not is_withdrawn(endpoint)]
            )
        if not merged.empty:
            self._forward(stream, merged.as_change())

    def handle_discovery_restart(self) -> None:
        """Discard the list of the discovery service after its restart, as its event indexes start at 1 again.

        Its new list is applied only once it is activated, after the front has caught up with it.
        """
        self.merged[DISCOVERY] = MergedListChange()
        if self.active == DISCOVERY:
            self.active = None

    def add_startup_change(self, change: EndpointListChange) -> None:
        """Record a list change from the start-up configuration, which the front has already applied."""
        self.merged[DISCOVERY].add(change)

    def _forward(self, stream: str, change: EndpointListChange) -> None:
        endpoints = [self._apply_withdrawal(endpoint, stream) for endpoint in change.endpoints]
        self._apply(replace(change, endpoints=endpoints))

    def _apply_withdrawal(self, endpoint: Endpoint, stream: str) -> Endpoint:
        if is_withdrawn(endpoint):
            self.withdrawals.record_active_source(endpoint, stream)
        elif self.withdrawals.suppresses(endpoint, stream):
            return replace(endpoint, state=UpstreamState.DRAINING)
        return endpoint

    def _withdraw(self, stream: str, change: EndpointListChange) -> None:
        newly_withdrawn = [
            endpoint
            for endpoint in change.endpoints
            if is_withdrawn(endpoint) and self.withdrawals.record(endpoint, stream)
        ]
        if newly_withdrawn:
            self._on_withdrawn(EndpointListChange(change.index, False, newly_withdrawn))
