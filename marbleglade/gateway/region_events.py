"""Passes events from discovery and from gateways of other regions to the request handlers."""

from __future__ import annotations

from ..model.watch_event import EndpointListChange, Purge
from ..request_handler import RequestHandler
from ..runtime import clock


class RegionEvents:
    """Passes purges and endpoint changes to the request handlers of the affected regions.

    Args:
        local_region: The name of this region.
    """

    def __init__(self, local_region: str) -> None:
        self._local_region = local_region
        self._handlers: dict[str, RequestHandler] = {}

    def add_region(self, region: str, handler: RequestHandler) -> None:
        """Register the request handler of a region, so that events are passed to it."""
        self._handlers[region] = handler

    def local_endpoints_changed(self, change: EndpointListChange) -> None:
        """Apply a change of this region's endpoint list."""
        self._handlers[self._local_region].events.apply(change)

    def endpoint_changed(self, region: str, change: EndpointListChange) -> None:
        """Apply a change of the gateways of a remote region, which are its endpoints."""
        self._handlers[region].events.apply(change)

    def purge_received(self, purge: Purge) -> None:
        """Apply a purge from any region to all handlers, since each may have cached the purged objects."""
        for handler in self._handlers.values():
            handler.events.apply(purge)

    def purges_missed(self, before_ms: int) -> None:
        """Drop the cached responses of remote regions issued up to `before_ms`, Unix milliseconds."""
        issued_before = clock.from_unix_ms(before_ms)
        for region, handler in self._handlers.items():
            if region != self._local_region:
                handler.local_cache.drop_issued_before(issued_before)
