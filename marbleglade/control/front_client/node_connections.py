"""Opens and closes a front's connections to control nodes, as decided by the node selection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...runtime.loop_monitor import LoopMonitor
from ...runtime.units import MILLISECOND_NS
from ..messages import (
    NO_STREAM,
    ConfigurationApplied,
    ConfigurationRejected,
    FrontHello,
    FrontLeaving,
    InvalidLineError,
)
from ..settings import ControlSettings, NodeSettings
from .client_status import BackoffStatus, ConnectionStatus
from .connection import NodeConnection, NodeListener, NotAControlNodeError, SilentNodeError
from .node_selection import NodeSelection, silence_timeout
from .stream_progress import SequenceError, StreamProgress


@dataclass(slots=True)
class NodeState:
    """The state of a node that is kept from one connection to the next.

    Attributes:
        progress: How far the stream of the node was applied.
        configuration: The answer to the last configuration version of the node; None before the first.
        disconnect_reason: Why the last connection ended; empty while the node is connected.
    """

    progress: StreamProgress
    configuration: ConfigurationApplied | ConfigurationRejected | None = None
    disconnect_reason: str = ""


class NodeConnections:
    """The connections of one front to control nodes.

    Args:
        settings: The settings of the control plane.
        front: The front's name.
        start_ms: When the front started, in Unix milliseconds.
        selection: Decides which nodes to use.
        listener: Handles the messages of the nodes.
        on_closed: Called after a connection has ended.
        guard: Counts and logs exceptions.
        loop: Monitor of the event loop.

    Attributes:
        states: The state of each node, by its name.
    """

    def __init__(
        self,
        settings: ControlSettings,
        front: str,
        start_ms: int,
        selection: NodeSelection,
        listener: NodeListener,
        on_closed: Callable[[], None],
        guard: ErrorGuard,
        loop: LoopMonitor,
    ) -> None:
        self._deployment = settings.deployment
        self._silence_timeout = silence_timeout(settings.purge_deadline_ns)
        self._hello = FrontHello(front, start_ms, NO_STREAM)
        self._selection = selection
        self._listener = listener
        self._on_closed = on_closed
        self._guard = guard
        self._loop = loop
        self.states = {node.name: NodeState(StreamProgress()) for node in settings.nodes}
        self._connections: dict[str, NodeConnection] = {}
        self._greenlets: set[gevent.Greenlet] = set()

    def update(self, now: int) -> None:
        """Close surplus connections, and open missing ones."""
        self._close_surplus(now)
        for node in self._selection.nodes_to_use(now, self.greeted()):
            if node.name not in self._connections:
                self._open(node)

    def get(self, name: str) -> NodeConnection | None:
        """Return the connection to a node; None if there is none."""
        return self._connections.get(name)

    def greeted(self) -> set[str]:
        """Return the names of the connected nodes that have greeted the front."""
        return {name for name, connection in self._connections.items() if connection.greeted}

    def listed(self) -> set[str]:
        """Return the names of the nodes whose complete list is known, see `NodeConnection.listed`."""
        return {name for name, connection in self._connections.items() if connection.listed}

    def current(self) -> set[str]:
        """Return the names of the nodes that the front has caught up with on the present connection."""
        return {name for name, connection in self._connections.items() if connection.current}

    def leave(self) -> None:
        """Announce the shutdown of the front to all nodes, and stop confirming events."""
        for connection in self._connections.values():
            connection.confirming = False
            if connection.greeted:
                connection.send(FrontLeaving())

    def close(self) -> None:
        """Close all connections."""
        gevent.killall(list(self._greenlets))

    def apply_pending_events(self) -> None:
        """Apply events that may have been waiting unread in the receive buffers for too long."""
        for connection in list(self._connections.values()):
            connection.apply_pending_events()

    @property
    def last_line_at(self) -> int:
        """When a greeted node last sent a line other than a load view, in nanoseconds; 0 if none did."""
        times = (connection.last_line_at for connection in self._connections.values() if connection.greeted)
        return max(times, default=0)

    def status(self) -> list[ConnectionStatus]:
        """Return the status of each connection for the periodic `counters` log event."""
        return [connection.status() for connection in self._connections.values()]

    def backoff_status(self, now: int) -> list[BackoffStatus]:
        """Return the nodes in backoff for the periodic `counters` log event."""
        return [
            {
                "node": name,
                "reason": self.states[name].disconnect_reason,
                "reconnect_in_ms": backoff // MILLISECOND_NS,
            }
            for name, backoff in self._selection.backoffs(now).items()
        ]

    def _close_surplus(self, now: int) -> None:
        for name in self._selection.surplus(now, self.greeted(), self.current()):
            self._connections[name].closed_as_surplus = True
            self._connections[name].close()

    def _open(self, node: NodeSettings) -> None:
        connection = NodeConnection(
            node,
            self.states[node.name].progress,
            self._hello,
            self._deployment,
            self._silence_timeout,
            self._listener,
            self._loop,
        )
        self._connections[node.name] = connection
        greenlet = gevent.spawn(self._run, connection)
        self._greenlets.add(greenlet)
        greenlet.rawlink(self._greenlets.discard)

    def _run(self, connection: NodeConnection) -> None:
        name = connection.node.name
        reason = ""
        try:
            connection.run()
        except NotAControlNodeError as error:
            reason = str(error)
            self._selection.record_rejected(name, clock.now())
            self._guard.counters.add("control.rejected")
        except (OSError, InvalidLineError, SequenceError, SilentNodeError) as error:
            reason = f"{type(error).__name__}: {error}"
        except Exception as error:
            reason = repr(error)
            self._guard.record("control", error)
        self._remove(connection, reason)

    def _remove(self, connection: NodeConnection, reason: str) -> None:
        name = connection.node.name
        state = self.states[name]
        del self._connections[name]
        connection.greeted = False
        connection.current = False
        connection.listed = False
        if not connection.closed_as_surplus and self._selection.health[name].retry_at <= clock.now():
            self._selection.record_disconnected(name, clock.now())
            self._guard.counters.add("control.connection_lost")
        if state.disconnect_reason != reason:
            state.disconnect_reason = reason
            disconnected = "surplus" if connection.closed_as_surplus else reason
            self._guard.log.info("control", node=name, disconnected=disconnected)
        self._on_closed()
