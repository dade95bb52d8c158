"""The request handler for requests that a remote region serves."""

from __future__ import annotations

from ..model.request import Request
from ..protocols.client_protocol import ClientRequest
from ..request_handler import HandlerComponents, RequestHandler
from ..runtime import clock
from .purge_log import PurgeReceiver


class RemoteRegion(RequestHandler):
    """A request handler whose upstreams are the gateways of another region.

    The local cache is used only while messages from that region arrive, since without them purges may be
    missed.

    Args:
        parts: The components that every request handler needs.
        purge_receiver: The region's purges, and when their completeness was last confirmed.
        max_silence_ns: The time for which the local cache is used after the last confirmation, ns.
    """

    def __init__(self, parts: HandlerComponents, purge_receiver: PurgeReceiver, max_silence_ns: int) -> None:
        super().__init__(parts)
        self._purge_receiver = purge_receiver
        self._max_silence_ns = max_silence_ns

    def admit(self, client_request: ClientRequest) -> Request:
        """Return a request with this region's own class, so that the policy learns for each region alone."""
        request = super().admit(client_request)
        request.request_class = self.request_classes[client_request.class_name]
        return request

    def attach_cached(self, client_request: ClientRequest, request: Request) -> None:
        """Attach the cached response if no purge may be missing and it is within the client's maximum age."""
        if not self._purge_receiver.confirmed_within(clock.now(), self._max_silence_ns):
            return
        super().attach_cached(client_request, request)
        max_age = client_request.max_age_ns
        if max_age and request.cached and clock.now() - request.cached.issued_at > max_age:
            request.cached = None
