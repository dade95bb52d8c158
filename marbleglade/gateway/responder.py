"""The responding side of the links: accepts connections of remote gateways and sends them purges."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

import gevent
from gevent import socket

from ..runtime.error_guard import ErrorGuard
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.units import SECOND_NS
from ..transport.sockets import accept_forever
from .forwarded_requests import ForwardedRequests
from .link.connection import (
    CONNECTION_WINDOW_BYTES,
    INITIAL_CREDIT_BYTES,
    LinkConnection,
    MessageHandlers,
)
from .link.frames import VERSION
from .link.messages import (
    BodyChunk,
    CancelMessage,
    ConnectionRefused,
    DrainNotice,
    Heartbeat,
    Hello,
    PurgesComplete,
    RequestMessage,
    StatusQuery,
    purge_message,
)
from .peer_connection import PeerConnection
from .purge_log import PurgeSender, RegionPurge
from .region_router import RegionRouter
from .request_journal import PeerSession, RequestJournal

ACCEPT_RETRY_DIVISOR = 8  # the pause after a failed accept is the silence timeout divided by this


@dataclass(frozen=True, slots=True)
class ResponderSettings:
    """The settings of a responder, from the deployment.

    Attributes:
        local_region: The region of this gateway.
        local_gateway: The name of this gateway.
        start_ms: The incarnation of this gateway: its start time, Unix milliseconds.
        region_by_gateway: The region of each remote gateway that may connect, by the gateway's name.
        silence_timeout_ns: The time without received data after which a connection is closed, ns.
        max_connections: The maximum number of connections from remote gateways.
    """

    local_region: str
    local_gateway: str
    start_ms: int
    region_by_gateway: Mapping[str, str]
    silence_timeout_ns: int
    max_connections: int


class Responder:
    """Accepts connections from gateways of other regions and serves them.

    Args:
        settings: The gateways that may connect, and the limits.
        router: Serves the forwarded requests.
        journal: Records the status of each forwarded request.
        purge_sender: The purges of this region, which are sent to remote gateways.
        discovery_lost: Returns whether this region's discovery service is silent, so purges may be missing.
        guard: Records exceptions, and gives access to the log and the counters.
        loop_monitor: Measures the delays of this process's event loop.

    Attributes:
        requests: Runs the forwarded requests.
        peers: The latest connection of each remote gateway, by the gateway's name.
        connections: All open connections, including those without an accepted hello.
        draining: True once this gateway rejects all new forwarded requests.
    """

    def __init__(
        self,
        settings: ResponderSettings,
        router: RegionRouter,
        journal: RequestJournal,
        purge_sender: PurgeSender,
        discovery_lost: Callable[[], bool],
        guard: ErrorGuard,
        loop_monitor: LoopMonitor,
    ) -> None:
        self._settings = settings
        self._journal = journal
        self._purge_sender = purge_sender
        self._discovery_lost = discovery_lost
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self._loop_monitor = loop_monitor
        self.requests = ForwardedRequests(router, journal, self._connected_peer, lambda: self.draining, guard)
        self.peers: dict[str, PeerConnection] = {}
        self.connections: set[LinkConnection] = set()
        self.draining = False

    def _connected_peer(self, session: PeerSession) -> PeerConnection | None:
        peer = self.peers.get(session.gateway)
        is_connected = peer and peer.session is session and not peer.connection.closed
        return peer if is_connected else None

    # Connections.

    def accept(self, listener: socket.socket) -> None:
        """Accept connections until the gateway stops."""
        failed = partial(self._counters.add, "link.accept_failed")
        retry_pause_s = self._settings.silence_timeout_ns / ACCEPT_RETRY_DIVISOR / SECOND_NS
        accept_forever(listener, retry_pause_s, failed, self._guard, self._on_accepted)

    def _on_accepted(self, sock: socket.socket) -> None:
        if len(self.connections) >= self._settings.max_connections:
            self._counters.add("link.connection_limit")
            sock.close()
            return
        gevent.spawn(self._guard.call, "link", self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        """Serve one connection until it ends."""
        connection = LinkConnection(sock, self._settings.silence_timeout_ns, self._guard, self._loop_monitor)
        peer = PeerConnection(connection)
        handlers: MessageHandlers = {
            Hello: self._on_hello,
            Heartbeat: self._on_heartbeat,
            DrainNotice: self._on_drain,
            RequestMessage: self.requests.on_request,
            BodyChunk: self.requests.on_chunk,
            CancelMessage: self.requests.on_cancel,
            StatusQuery: self.requests.on_status_query,
        }
        self.connections.add(connection)
        try:
            connection.read_until_closed({kind: partial(handler, peer) for kind, handler in handlers.items()})
        finally:
            connection.close("ended")
            self.connections.discard(connection)
            self._on_disconnected(peer)

    def _on_disconnected(self, peer: PeerConnection) -> None:
        if peer.has_session and self.peers.get(peer.session.gateway) is peer:
            del self.peers[peer.session.gateway]
            self._log.info(
                "link.peer_disconnected",
                gateway=peer.session.gateway,
                reason=peer.connection.close_reason,
                entries=len(peer.session.entries),
            )
        self.requests.drop_incomplete(peer)

    # Messages.

    def _on_hello(self, peer: PeerConnection, hello: Hello) -> None:
        """Open or continue the session of a remote gateway, or refuse the connection with a reason."""
        reason = self._reason_to_refuse(hello)
        if reason:
            self._refuse(peer, reason)
            return
        earlier = self.peers.get(hello.gateway)
        session, ended = self._journal.open_session(
            hello.gateway,
            hello.start_ms,
            connection_number=hello.turn,
            is_connected=earlier is not None,
        )
        for entry in ended:
            self.requests.cancel(entry)
        if session is None:
            self._refuse(peer, "a later start or connection is known")
            return
        if earlier:
            earlier.connection.close("replaced")
            self.requests.drop_incomplete(earlier)
        peer.attach_session(session, hello.region)
        self.peers[hello.gateway] = peer
        peer.connection.apply_peer_windows(hello)
        peer.connection.send(self._hello_reply(hello))
        self._send_purges(peer.connection, hello)
        peer.connection.send_heartbeat(self._discovery_lost())
        if self.draining:
            peer.connection.send(DrainNotice())
        self._log.info(
            "link.peer_connected",
            gateway=hello.gateway,
            start_ms=hello.start_ms,
            connection_number=hello.turn,
        )

    def _reason_to_refuse(self, hello: Hello) -> str:
        """Return why the connection of a gateway is refused; an empty text if it is allowed."""
        if hello.to_region != self._settings.local_region:
            return f"this is not {hello.to_region}"
        if self._settings.region_by_gateway.get(hello.gateway) != hello.region:
            return "no such gateway there"
        return ""

    def _refuse(self, peer: PeerConnection, reason: str) -> None:
        self._counters.add("link.refused")
        peer.connection.send(ConnectionRefused(why=reason))
        peer.connection.ignore_messages()
        peer.connection.close_after_flush()

    def _hello_reply(self, hello: Hello) -> Hello:
        return Hello(
            version=VERSION,
            region=self._settings.local_region,
            gateway=self._settings.local_gateway,
            start_ms=self._settings.start_ms,
            to_region=hello.region,
            turn=hello.turn,
            opening=INITIAL_CREDIT_BYTES,
            window=CONNECTION_WINDOW_BYTES,
        )

    def _send_purges(self, connection: LinkConnection, hello: Hello) -> None:
        """Send the purges that a remote gateway has not received, followed by `PurgesComplete`."""
        same_incarnation = hello.known_start_ms == self._settings.start_ms
        known_index = min(hello.known_index, self._purge_sender.index) if same_incarnation else 0
        for purge in self._purge_sender.after(known_index):
            connection.send(purge_message(purge))
        since_ms = self._purge_sender.complete_since_ms(known_index)
        connection.send(PurgesComplete(index=self._purge_sender.index, since_ms=since_ms))

    def _on_heartbeat(self, peer: PeerConnection, message: Heartbeat) -> None:
        """Reply to the first heartbeat of a connection immediately, so that the link comes up sooner."""
        if not message.echo_ns:
            peer.connection.send_heartbeat(self._discovery_lost())

    def _on_drain(self, _peer: PeerConnection, _message: DrainNotice) -> None:
        self._counters.add("link.draining")

    # Periodic work, purges, drain and status.

    def send_heartbeats(self) -> None:
        """Send a heartbeat on each connection, and close the connections whose peer is silent."""
        for connection in list(self.connections):
            if connection.frames.hello_received:
                connection.send_heartbeat(self._discovery_lost())
            connection.check_liveness()

    def broadcast_purge(self, purge: RegionPurge) -> None:
        """Send a purge of this region to all connected gateways of other regions."""
        for peer in self.peers.values():
            peer.connection.send(purge_message(purge))

    def announce_drain(self) -> None:
        """Reject new forwarded requests from now on, and notify the connected gateways."""
        self.draining = True
        for peer in self.peers.values():
            peer.connection.send(DrainNotice())

    def close_gracefully(self) -> None:
        """Close each connection after its queued responses have been written."""
        for connection in list(self.connections):
            connection.close_after_flush()

    def close_connections(self) -> None:
        """Close all connections immediately."""
        for connection in list(self.connections):
            connection.close("ended")

    def session_status(self) -> list[dict[str, object]]:
        """Return one row for the session of each connected gateway, for the status report."""
        return [
            {
                "gateway": gateway,
                "start_ms": peer.session.start_ms,
                "entries": len(peer.session.entries),
                "last_number": peer.session.last_number,
            }
            for gateway, peer in self.peers.items()
        ]
