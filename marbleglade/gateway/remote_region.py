"""The handler of requests that another region serves."""

from __future__ import annotations

from ..model.request import Request
from ..protocols.client_protocol import ClientRequest
from ..request_handler import HandlerComponents, RequestHandler
from ..runtime import clock
from .purge_log import PurgeReceiver


class RemoteRegion(RequestHandler):
    """A request handler whose upstreams are the gateways of another region.

    Its local cache is used only while messages of that region arrive, since purges may be missed otherwise.

    Args:
        parts: The components that every request handler needs.
        purge_receiver: The region's purges.
        max_silence_ns: For how long the local cache is used after the last message of the region.
    """

    def __init__(self, parts: HandlerComponents, purge_receiver: PurgeReceiver, max_silence_ns: int) -> None:
        super().__init__(parts)
        self._purge_receiver = purge_receiver
        self._max_silence_ns = max_silence_ns

    def admit(self, client_request: ClientRequest) -> Request:
        """Return a request with this region's class, so that the policy learns apart from other regions."""
        request = super().admit(client_request)
        request.request_class = self.request_classes[client_request.class_name]
        return request

    def attach_cached(self, client_request: ClientRequest, request: Request) -> None:
        """Attach the response from the local cache if purges are confirmed and it is not too old."""
        if not self._purge_receiver.confirmed_within(clock.now(), self._max_silence_ns):
            return
        super().attach_cached(client_request, request)
        max_age = client_request.max_age_ns
        if max_age and request.cached and clock.now() - request.cached.issued_at > max_age:
            request.cached = None
