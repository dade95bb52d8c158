"""The registry of client connections: connection limit, idle timeouts, and closing."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Generic, NamedTuple

from gevent import socket

from ..runtime.error_guard import ErrorGuard
from .buffer_usage import BufferUsage
from .client_connection import ClientConnection
from .client_timeouts import (
    GRACEFUL_CLOSE_TIMEOUT_NS,
    IDLE_TIMEOUT_NS,
    NEW_CLIENT_GRACE_NS,
    UNFINISHED_TIMEOUT_NS,
)
from .request_service import RequestService, RequestT
from .sockets import has_unread_bytes


class CloseReason(StrEnum):
    """The reason for which a connection is closed, as logged."""

    CLOSED_BY_CLIENT = "closed by its client, no response pending"
    RESET = "reset"
    WRITE_FAILED = "write failed"
    SLOW_READER = "does not read its responses"
    INCOMPLETE_RESPONSE = "exception while a response was written"
    EXCEPTION = "exception"
    OVER_LIMIT = "over the limit of connections"
    OVER_LIMIT_CLOSING = "over the limit of connections, closing already"
    CLOSE_TIMEOUT = "did not close after its responses"
    UNFINISHED = "unfinished"
    IDLE = "idle"
    NO_BUFFER = "no room for partial messages"


class ClientLimits(NamedTuple):
    """Limits on client connections.

    Attributes:
        max_connections: The maximum number of connections, open and closing ones together.
        max_buffered_bytes: The maximum number of bytes buffered for them: partial frames, request bodies, and
            responses that their clients have not read yet.
        response_slack: Time after its deadline at which a response may still be written, ns.
    """

    max_connections: int
    max_buffered_bytes: int
    response_slack: int = 0


class ClientRegistry(Generic[RequestT]):
    """The connections of all clients.

    Args:
        service: Notified of requests whose client has disconnected.
        limits: The limits on the connections.
        clock: The monotonic clock, ns.
        guard: Records exceptions, and provides the log and the counters.

    Attributes:
        buffers: Accounts for the bytes that are buffered for clients.
        open: The open connections, oldest first.
        closing: The connections that this side has shut down for writing, each with the time until which its
            client may take to close, ns.
    """

    def __init__(
        self,
        service: RequestService[RequestT],
        limits: ClientLimits,
        clock: Callable[[], int],
        guard: ErrorGuard,
    ) -> None:
        self._service = service
        self._max_connections = limits.max_connections
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self.buffers = BufferUsage(limits.max_buffered_bytes)
        self.open: dict[ClientConnection[RequestT], None] = {}
        self.closing: dict[ClientConnection[RequestT], int] = {}

    @property
    def has_pending_work(self) -> bool:
        """Whether any open connection has a message to be handled or a response to be written."""
        return any(client.has_pending_work for client in self.open)

    def add(self, client: ClientConnection[RequestT]) -> None:
        """Add a new connection and count it."""
        self.open[client] = None
        self._counters.add("client.accepted")

    def enforce_limit(self, newest: ClientConnection[RequestT]) -> None:
        """If there are too many connections, close one of them.

        The order of preference is: a connection that is closing already, the least important idle connection,
        and `newest`.
        """
        if len(self.open) + len(self.closing) <= self._max_connections:
            return
        self._counters.add("client.over_share")
        if self.closing:  # all responses on these connections are written: they only hold descriptors
            all_read = (client for client in self.closing if not has_unread_bytes(client.sock))
            self.close(next(all_read, next(iter(self.closing))), CloseReason.OVER_LIMIT_CLOSING)
            return
        # A connection with unread bytes is not idle, since they may hold a request.
        by_importance = self._without_pending_work_by_importance()
        idle = next((client for client in by_importance if not has_unread_bytes(client.sock)), newest)
        self.close(idle, CloseReason.OVER_LIMIT)

    def _without_pending_work_by_importance(self) -> list[ClientConnection[RequestT]]:
        """Return the open connections without unhandled messages or pending responses, least important first.

        The order is: connections that have sent no complete message, connections that have sent messages but
        no request, and the others. Within each of these, the connection that has been idle longest comes
        first. New connections, still within `NEW_CLIENT_GRACE_NS` and without a message, come last of all.
        """
        recently = self._clock() - NEW_CLIENT_GRACE_NS
        return sorted(
            (client for client in self.open if not client.has_pending_work),
            key=lambda client: (
                not client.has_sent_message and client.accepted_at > recently,
                client.has_sent_message,
                client.has_sent_request,
                client.active_at,
            ),
        )

    def close_largest_partial_frame(self) -> bool:
        """Close the connection with the largest partial frame, and return whether one was closed.

        Connections with unhandled messages or pending responses are not closed.
        """
        candidates = [
            client for client in self.open if client.partial_frame_bytes and not client.has_pending_work
        ]
        if not candidates:
            return False
        self._counters.add("client.no_room")
        # Connections with unread bytes are spared if possible: the bytes may complete the request.
        all_read = [client for client in candidates if not has_unread_bytes(client.sock)] or candidates
        self.close(max(all_read, key=lambda client: client.partial_frame_bytes), CloseReason.NO_BUFFER)
        return True

    def sweep(self) -> None:
        """Close connections whose time limit for idling, for a message or for a graceful close has passed.

        Open connections with unread bytes, unhandled messages or pending responses are not closed.
        """
        now = self._clock()
        for client in [client for client, until in self.closing.items() if now > until]:
            # Closing a socket with unread bytes resets the connection, which loses responses in transit. So
            # the close is delayed while there are unread bytes, by at most `UNFINISHED_TIMEOUT_NS`.
            if now > self.closing[client] + UNFINISHED_TIMEOUT_NS or not has_unread_bytes(client.sock):
                self.close(client, CloseReason.CLOSE_TIMEOUT)
        for client in [client for client in self.open if not client.has_pending_work]:
            self._close_if_idle(client, now)

    def _close_if_idle(self, client: ClientConnection[RequestT], now: int) -> None:
        unfinished = client.unfinished_since and now - client.unfinished_since > UNFINISHED_TIMEOUT_NS
        if not unfinished and now - client.active_at <= IDLE_TIMEOUT_NS:
            return
        if has_unread_bytes(client.sock):  # they may hold a request
            return
        reason = CloseReason.UNFINISHED if unfinished else CloseReason.IDLE
        self._counters.add(f"client.{reason.value}")
        self.close(client, reason)

    def close_if_finished(self, client: ClientConnection[RequestT]) -> None:
        """Close a connection whose further input is discarded, if it has no pending message or response.

        It is closed at once if its client has half-closed it, else gracefully.
        """
        if not client.input_ended or client.has_pending_work or client.closed:
            return
        if client.half_closed:
            self.close(client, CloseReason.CLOSED_BY_CLIENT)
        else:
            self.close_gracefully(client)

    def close_all_gracefully(self) -> None:
        """Shut down all connections for writing, so that clients can still read the written responses."""
        for client in list(self.open):
            self.close_gracefully(client)

    def close_gracefully(self, client: ClientConnection[RequestT]) -> None:
        """Shut down a connection for writing; its reader discards further input until the connection ends.

        Closing a socket with unread bytes would reset the connection, and the client would lose the responses
        that it has not read yet.
        """
        client.input_ended = True
        if client in self.open:
            del self.open[client]
            self.closing[client] = self._clock() + GRACEFUL_CLOSE_TIMEOUT_NS
        try:
            client.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.close(client, CloseReason.RESET, error)

    def close(
        self, client: ClientConnection[RequestT], reason: CloseReason, error: Exception | None = None
    ) -> None:
        """Close a connection and end its open requests; do nothing if it is already closed."""
        if client.closed:
            return
        client.closed = True
        if self._log.debug_enabled:
            text = f"{reason}: {error!r}" if error else reason.value
            self._log.debug(
                "client_closed", client=client.number, reason=text, open=len(client.open_requests)
            )
        self.open.pop(client, None)
        self.closing.pop(client, None)
        self.drop_partial_frame(client)
        client.sock.close()
        self._counters.add("client.closed")
        for tag in list(client.open_requests):
            self._counters.add("request.connection_lost")
            request = client.open_requests.pop(tag)
            self._guard.call("client_disconnected", self._service.client_disconnected, request)

    def drop_partial_frame(self, client: ClientConnection[RequestT]) -> None:
        """Subtract a connection's partial frame from the count of buffered bytes; the frame itself stays."""
        self.buffers.used -= client.partial_frame_bytes
        client.partial_frame_bytes = 0
