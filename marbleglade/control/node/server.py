"""The listener of a control node: accepts connections and sends new events to all watchers."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...transport.sockets import accept_forever, open_listener, set_options
from ..events.confirmation import ConfirmationTracker
from ..events.event_log import EventLog
from ..messages import Greeting
from .connection import ControlConnection, LoadReportReceiver

ACCEPT_RETRY_PAUSE_S = 0.1  # delay after a failed accept
SEND_BUFFER_BYTES = 1 << 17  # kernel send buffer of one connection
USER_TIMEOUT_MS = 10_000  # TCP ends a connection whose data is unacknowledged for this time
CONNECTION_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES),
)
SPARE_CONNECTIONS = 256  # connections allowed in addition to two for each listed front
LISTEN_BACKLOG = 1024
PUSHES_PER_TURN = 1024  # watchers written to before other greenlets run; takes about 15 ms


class ControlServer:
    """Accepts connections and sends the events appended to the log to watchers.

    Args:
        deployment: Name of the deployment, sent in greetings.
        node: Name of the node, sent in greetings.
        log: The event log that watchers read.
        confirmation: Tracks the acknowledgements of fronts.
        catch_up_bytes_per_s: Rate limit of a snapshot to one front, in bytes per second.
        is_ready: Returns whether the log has every event that the discovery service has published.
        status: Returns the encoded status line of the node.
        load_views: Handles the load reports of fronts.
        guard: Counts and logs errors.
    """

    def __init__(
        self,
        deployment: str,
        node: str,
        log: EventLog,
        confirmation: ConfirmationTracker,
        catch_up_bytes_per_s: int,
        is_ready: Callable[[], bool],
        status: Callable[[], bytes],
        load_views: LoadReportReceiver,
        guard: ErrorGuard,
    ) -> None:
        self.deployment = deployment
        self.node = node
        self.log = log
        self.confirmation = confirmation
        self.catch_up_bytes_per_s = catch_up_bytes_per_s
        self.is_ready = is_ready
        self.status = status
        self.load_views = load_views
        self.guard = guard
        self.connections: dict[int, ControlConnection] = {}
        self.max_connections = 2 * len(confirmation.fronts) + SPARE_CONNECTIONS
        self._accepted_count = 0
        self._appended = Event()
        self._greenlets: set[gevent.Greenlet] = set()
        self._listener: socket.socket | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Open the listener, with retries, and start serving connections. Raises OSError."""
        self._listener = open_listener(address, LISTEN_BACKLOG, self.guard.log)
        self.spawn(self._accept_connections)
        self.spawn(self._push_appended_events)

    def spawn(self, function: Callable[[], object]) -> None:
        """Run a function in a greenlet that is killed when the server is closed."""
        greenlet = gevent.spawn(function)
        self._greenlets.add(greenlet)
        greenlet.rawlink(self._greenlets.discard)

    def _accept_connections(self) -> None:
        accept_forever(
            self._listener,
            ACCEPT_RETRY_PAUSE_S,
            self._count_accept_failure,
            self.guard,
            self._serve_connection,
        )

    def _count_accept_failure(self) -> None:
        self.guard.counters.add("control.accept_failed")

    def _serve_connection(self, sock: socket.socket) -> None:
        if len(self.connections) >= self.max_connections:
            self.guard.counters.add("control.closed.too_many")
            sock.close()
            return
        set_options(sock, CONNECTION_OPTIONS, self._count_accept_failure)
        self._accepted_count += 1
        connection = ControlConnection(self, sock, self._accepted_count)
        self.connections[connection.number] = connection
        self.spawn(connection.run)

    def notify_appended(self) -> None:
        """Report that events were appended; a greenlet writes them to watchers in the next loop turn."""
        self._appended.set()

    def _push_appended_events(self) -> None:
        while True:
            self._appended.wait()
            self._appended.clear()
            self._for_each_watcher(lambda connection: connection.push(clock.now()))

    def heartbeat(self) -> None:
        """Send a heartbeat to watchers that were sent all events."""
        self._for_each_watcher(ControlConnection.heartbeat)

    def _for_each_watcher(self, action: Callable[[ControlConnection], None]) -> None:
        for count, connection in enumerate(list(self.connections.values()), 1):
            if connection.session and connection.open:
                self.guard.call("control", action, connection)
            if not count % PUSHES_PER_TURN:
                gevent.sleep(0)

    def greeting(self, snapshot_to: int) -> Greeting:
        """Return the greeting that starts the stream to a front or another node."""
        return Greeting(self.deployment, self.node, self.log.stream, snapshot_to)

    def send_to_nodes(self, line: bytes) -> None:
        """Write an encoded partial load view to every node that requested partial views."""
        for connection in list(self.connections.values()):
            if connection.wants_partial_views and connection.open:
                connection.send_to_node(line)

    def close_replaced(self, number: int) -> None:
        """Close the connection with this number, if any; its front has opened a new one."""
        if connection := self.connections.get(number):
            connection.close("replaced")

    def connection_closed(self, connection: ControlConnection, reason: str, detail: str) -> None:
        """Remove a closed connection; count and log why it was closed."""
        self.connections.pop(connection.number, None)
        front = connection.hello.name if connection.hello else ""
        if front and connection.session:
            self.confirmation.record_disconnected(front, connection.number, connection.session.sent_index)
        self.guard.counters.add(f"control.closed.{reason}")
        if front or detail:
            self.guard.log.info("control_closed", peer=front, reason=reason, detail=detail)

    def close(self) -> None:
        """Close all connections and the listener, and kill all greenlets."""
        for connection in list(self.connections.values()):
            connection.close("stopping")
        gevent.killall(list(self._greenlets))
        if self._listener:
            self._listener.close()
