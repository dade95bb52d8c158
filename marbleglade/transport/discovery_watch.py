"""Watches the discovery service; opens further connections while the open ones receive no lines."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event as Signal

from ..model.watch_event import WatchEvent
from ..protocols.discovery_protocol import InvalidLineError
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.units import MILLISECOND_NS, SECOND_NS
from .event_sequence import EventSequence, IndexRestartError, WatchCallbacks
from .sockets import READ_BUFFER
from .watch_connection import MAX_PENDING_READS, WatchConnection

HEARTBEAT_INTERVAL_S = 1.0  # the protocol guarantees at least one line per interval
SILENCE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S  # without a complete line, before another connection is opened
# Multiples of the silence time-out.
MAX_TIMEOUT_FACTOR = 8  # limit of the wait for a line, and of the time between opening two connections
PARTIAL_LINE_FACTOR = 2  # limit of the time for which bytes without a line end postpone the next connection
MAX_CONNECTIONS = 4  # open at a time; at most one of them has received a line


class WatchClient:
    """Follows a discovery service from the last index that this process has handled.

    A connection that receives no line within the silence time-out is not closed, as the service may be slow
    or overloaded. Another connection is opened in addition, and the first one that receives a line is kept.
    The time between opening further connections doubles up to a limit.

    Args:
        address: Host and port of the service.
        last_index: Index of the last event that was handled before.
        callbacks: The functions that handle the events.
        guard: Counts and logs errors.
        loop: The monitor of the event loop; None: unread events are checked for before every attempt.
        accept_index_restart: Whether the service may restart its indexes; if not, lower indexes are old ones.
        silence_timeout_s: Seconds without a line after which another connection is opened.
        retry_pause_s: Seconds after a failed connection until the next one is opened.

    Attributes:
        address: Host and port in use.
        last_line_at: When a line with the last handled index or a later one last arrived, ns; 0: never.
        connections: The open connections, the oldest first.
        sequence: Checks the order of the events of all connections.
    """

    def __init__(
        self,
        address: tuple[str, int],
        last_index: int,
        callbacks: WatchCallbacks,
        guard: ErrorGuard,
        loop: LoopMonitor | None = None,
        accept_index_restart: bool = False,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
        retry_pause_s: float = HEARTBEAT_INTERVAL_S / 4,
    ) -> None:
        self.address = address
        self.last_line_at = 0
        self.connections: list[WatchConnection] = []
        self.sequence = EventSequence(last_index, callbacks, guard, accept_index_restart)
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self._loop = loop or LoopMonitor(clock.now, guard.log)
        self._silence_timeout_ns = round(silence_timeout_s * SECOND_NS)
        self._retry_pause_ns = round(retry_pause_s * SECOND_NS)
        self._backoff_ns = self._silence_timeout_ns  # time between opening two connections
        self._next_open_at = 0
        self._unresponsive_since = 0  # since when no connection has received a line, ns; 0: one does
        self._reconnecting = False  # `run` has to replace all connections now
        self._wake = Signal()
        self._running = Signal()
        self._running.set()

    @property
    def last_index(self) -> int:
        """Index of the last event that was handled."""
        return self.sequence.last_index

    @property
    def confirmed_at(self) -> int:
        """When the service last confirmed that no event is missing here, ns; 0: never."""
        return self.sequence.confirmed_at

    # Control

    def run(self) -> None:
        """Follow the service; never returns."""
        while True:
            self._running.wait()
            self._reconnecting = False
            self._next_open_at, self._backoff_ns = clock.now(), self._silence_timeout_ns
            while self._running.is_set() and not self._reconnecting:
                self._wake.clear()
                if clock.now() >= self._next_open_at:
                    self._open_next()
                self._wake.wait(max(0, self._next_open_at - clock.now()) / SECOND_NS)
            self.close_connections()

    def reconnect(self, address: tuple[str, int]) -> None:
        """Follow the service at an address from the last index, starting now.

        If that address is already in use, one more connection is opened and none is closed. Otherwise
        configurations that arrive faster than a slow service sends its first line would keep the front
        without events.
        """
        if address != self.address or not self.connections:
            self.address = address
            self._replace_connections()
        elif len(self.connections) < MAX_CONNECTIONS:
            gevent.spawn(self._run_connection)

    def pause(self) -> None:
        """Close the connections and open none until `resume`; the last index is kept."""
        self._running.clear()
        self._wake.set()

    def resume(self) -> None:
        """Follow the service again from the last index, starting now."""
        self._running.set()
        self._replace_connections()

    def close_connections(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            self._close(connection)

    def _replace_connections(self) -> None:
        self._reconnecting = True
        self._wake.set()

    # Events handled before the readers of the connections get to them

    def apply_known_events(self, events: Iterable[WatchEvent]) -> None:
        """Handle the events of a new configuration whose index directly follows the last one."""
        for event in events:
            if event.index == self.last_index + 1:
                with suppress(InvalidLineError):  # the service itself sends the event again
                    self.sequence.receive(event)

    def apply_pending_events(self) -> None:
        """Handle events that have reached this machine and may have been unread for long."""
        for connection in list(self.connections):
            for _ in range(MAX_PENDING_READS):
                if not connection.may_have_unread_events() or not self._handle_pending(connection):
                    break

    def _handle_pending(self, connection: WatchConnection) -> bool:
        """Handle the unread events of a connection ahead of its reader; return whether there may be more."""
        try:
            data = connection.read_pending()
            if not data:
                return False  # the reader handles the end of the stream
            self._handle_data(connection, data)
        except (OSError, InvalidLineError) as error:
            self._handle_failure(connection, error)
            return False
        return len(data) == len(READ_BUFFER)

    # Connections

    def _open_next(self) -> None:
        """Open one more connection and schedule the next one."""
        if self.connections:
            self._record_unresponsive()
            self._backoff_ns = min(2 * self._backoff_ns, MAX_TIMEOUT_FACTOR * self._silence_timeout_ns)
        if len(self.connections) >= MAX_CONNECTIONS:
            self._close(self.connections[0])
        self._next_open_at = clock.now() + self._backoff_ns // 2  # time for it to connect
        gevent.spawn(self._run_connection)

    def _record_unresponsive(self) -> None:
        if self._unresponsive_since:
            return
        self._unresponsive_since = min(connection.last_line_at for connection in self.connections)
        self._counters.add("discovery.unresponsive")
        self._log.info(
            "watch",
            state="unresponsive",
            last_index=self.last_index,
            address=":".join(map(str, self.address)),
        )

    def _run_connection(self) -> None:
        """Open a connection and handle its events until it ends."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of descriptors: `run` retries after the backoff
            self._counters.add(f"discovery.{type(error).__name__}")
            return
        connection = WatchConnection(sock, self._loop)
        self.connections.append(connection)
        try:
            self._follow(connection)
        except (OSError, InvalidLineError) as error:
            self._handle_failure(connection, error)
        except Exception as error:
            self._guard.record("discovery", error)
            self._handle_failure(connection, error)
        else:
            self._handle_failure(connection, ConnectionError("closed"))

    def _follow(self, connection: WatchConnection) -> None:
        """Connect, and handle the events of the connection until the service closes it.

        Raises:
            TimeoutError: No line was received for the longest time allowed.
            OSError: The connection failed.
            InvalidLineError: Events have to be requested again.
        """
        timeout_ns = MAX_TIMEOUT_FACTOR * self._silence_timeout_ns
        connection.connect(self.address, self.last_index, timeout_ns)
        self._counters.add("discovery.connected")
        self._next_open_at = max(self._next_open_at, clock.now() + self._backoff_ns)
        for data in connection.read(timeout_ns):
            self._handle_data(connection, data)

    def _handle_data(self, connection: WatchConnection, data: memoryview) -> None:
        """Handle the bytes that a connection received."""
        for event in self.sequence.decode(connection.decoder, data):
            self.sequence.receive(event)
            if event.index >= self.last_index:  # a service that sends only old indexes lags behind
                self._record_line(connection)
        # Bytes without a line end may be part of a long list from an overloaded service.
        postponed_until = connection.last_line_at + PARTIAL_LINE_FACTOR * self._silence_timeout_ns
        self._next_open_at = max(
            self._next_open_at, min(clock.now() + self._silence_timeout_ns, postponed_until)
        )

    def _record_line(self, connection: WatchConnection) -> None:
        """Keep the connection that received a line, and close the others."""
        now = connection.last_line_at = self.last_line_at = clock.now()
        self._backoff_ns, self._next_open_at = self._silence_timeout_ns, now + self._silence_timeout_ns
        for other in [other for other in self.connections if other is not connection]:
            self._close(other)
        if self._unresponsive_since:
            unresponsive_ms = (now - self._unresponsive_since) // MILLISECOND_NS
            self._log.info(
                "watch", state="responsive", last_index=self.last_index, unresponsive_ms=unresponsive_ms
            )
            self._unresponsive_since = 0

    def _handle_failure(self, connection: WatchConnection, error: Exception) -> None:
        """Close a failed connection, and open another one soon unless a responsive one is left."""
        if isinstance(error, IndexRestartError):
            self._replace_connections()
        if connection.closed:
            return
        self._counters.add(f"discovery.{type(error).__name__}")
        if self._log.debug_enabled:
            self._log.debug("watch", state="ended", reason=str(error), last_index=self.last_index)
        self._close(connection)
        # After a time-out the other connections may still respond, and further ones are opened on schedule.
        others_may_respond = isinstance(error, TimeoutError) and self.connections
        if not others_may_respond and not any(self._is_responsive(other) for other in self.connections):
            self._next_open_at = min(self._next_open_at, clock.now() + self._retry_pause_ns)
        self._wake.set()

    def _is_responsive(self, connection: WatchConnection) -> bool:
        recently = clock.now() - connection.last_line_at < self._silence_timeout_ns
        return recently and not self._unresponsive_since

    def _close(self, connection: WatchConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        connection.close()
