"""Detects that a client has closed its connection or cancelled a request, even in input not read yet.

Otherwise a front whose process was not scheduled, or that is still processing earlier messages of a client,
would send attempts for a client that has left.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic

from ..runtime.error_guard import ErrorGuard
from ..runtime.units import MILLISECOND_NS
from .client_connection import ClientConnection
from .half_close import peer_has_closed, unread_input
from .request_service import RequestService, RequestT

# Half of the time that the operators allow between a client's departure and the last attempt for it. Bytes
# stay unread for so long only if the event loop is delayed or a long queue of messages is being processed.
MAX_UNREAD_NS = 50 * MILLISECOND_NS


class ClientEndDetector(Generic[RequestT]):
    """Ends open requests, or stops their attempts, when their client cancels or closes its side.

    Args:
        service: Notified of requests whose client has cancelled, half-closed or disconnected.
        clock: The monotonic clock, ns.
        guard: Records exceptions, and provides the log and the counters.
    """

    def __init__(
        self, service: RequestService[RequestT], clock: Callable[[], int], guard: ErrorGuard
    ) -> None:
        self._service = service
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log

    def check_request(self, client: ClientConnection[RequestT], tag: int) -> None:
        """Handle a departure of the client, or a cancel of the request, before an attempt is sent for it.

        Called before each attempt. Makes no system call unless bytes may have been unread for longer than
        `MAX_UNREAD_NS`.
        """
        if tag not in client.open_requests:
            return
        if client.has_pending_cancel(tag):
            self.cancel(client, tag)
        elif client.arrivals.may_be_unread_longer_than(self._clock(), MAX_UNREAD_NS):
            unread = unread_input(client.sock)
            if unread.ended:
                self.check_connection(client)
            if unread.readable and client.has_unread_cancel(tag):
                self.cancel(client, tag)

    def check_connection(self, client: ClientConnection[RequestT]) -> None:
        """Stop further attempts if the client has closed its side, even if bytes before that are unread."""
        if client.end_detected or client.closed or not peer_has_closed(client.sock):
            return
        client.end_detected = True
        self.connection_half_closed(client)

    def connection_half_closed(self, client: ClientConnection[RequestT]) -> None:
        """Stop further attempts for all open requests of a client that has closed its side."""
        if self._log.debug_enabled:
            self._log.debug("client_left", client=client.number, open=len(client.open_requests))
        for request in list(client.open_requests.values()):
            self.request_half_closed(request)

    def request_half_closed(self, request: RequestT) -> None:
        """Stop further attempts for a request whose client has closed its side."""
        self._guard.call("client_half_closed", self._service.client_half_closed, request)

    def cancel(self, client: ClientConnection[RequestT], tag: int) -> None:
        """End a request that its client cancelled, unless it has already been answered."""
        request = client.open_requests.pop(tag, None)
        if request is None:
            return
        self._counters.add("request.cancel_received")
        if self._log.debug_enabled:
            self._log.debug("cancelled", client=client.number, tag=tag)
        self._guard.call("client_disconnected", self._service.client_disconnected, request)
