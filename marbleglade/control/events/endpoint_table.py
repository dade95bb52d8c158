"""The current endpoint list of a discovery service, built from its list changes, without I/O."""

from __future__ import annotations

from ...model.upstream import UpstreamState
from ...model.watch_event import Endpoint, EndpointListChange


class EndpointTable:
    """The endpoint list that results from all list changes so far."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.unreadable: dict[str, None] = {}  # ids whose latest entry could not be read, in order
        self.changes = 0  # number of list changes applied

    def apply(self, change: EndpointListChange) -> None:
        """Apply one list change; a complete list replaces the current one."""
        self.changes += 1
        if change.complete:
            self.endpoints.clear()
            self.unreadable.clear()
        for endpoint in change.endpoints:
            self.unreadable.pop(endpoint.id, None)
            if endpoint.state is UpstreamState.REMOVED:
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint
        for name in change.unreadable:
            self.unreadable[name] = None

    def as_full_list(self) -> EndpointListChange:
        """Return the current list as one complete list change with event number 0."""
        return EndpointListChange(0, True, list(self.endpoints.values()), list(self.unreadable))
