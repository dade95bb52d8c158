"""The control plane client of a front: follows two control nodes and applies their events.

The rules are in modules without I/O: `node_selection` (which nodes to connect to), `stream_progress` (which
events may be confirmed), `list_sources` (which list of caches is in force) and `event_dispatch` (each event
is applied once).
"""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import Event as Signal

from ...model.watch_event import EndpointListChange, Purge
from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...runtime.loop_monitor import LoopMonitor
from ...runtime.units import MILLISECOND_NS, SECOND_NS
from ..messages import ConfigurationApplied, ConfigurationRejected, Greeting, LoadReport, NumberedEvent
from ..settings import ControlSettings
from .age_limit import AgeLimiter
from .client_status import ControlClientStatus
from .connection import NodeConnection
from .event_dispatch import EventDispatcher
from .list_sources import DISCOVERY
from .node_connections import NodeConnections
from .node_selection import NodeSelection, next_primary, rank_nodes
from .purge_coverage import PurgeCoverage
from .stream_progress import SequenceError
from .target import ControlTarget, DiscoveryWatch, NoDiscoveryWatch

__all__ = ["ControlClient", "ControlTarget", "DiscoveryWatch"]

MAX_TICK_INTERVAL_NS = SECOND_NS


class ControlClient:
    """Follows the control plane for one front.

    Args:
        settings: The settings of the control plane.
        name: The front's name, as listed in the settings.
        start_ms: When the front started, in Unix milliseconds.
        target: The front to which events are applied.
        guard: Counts and logs exceptions.
        discovery: The front's own watch of the discovery service; it must already be running.
        loop: Monitor of the event loop; without one, unread events are looked for before each attempt.
        apply_load_view: Called with each encoded load view of the primary node; None: they are ignored.

    Attributes:
        primary: Name of the node whose list of caches is in force and to which load reports are sent.
        discovery_running: Whether the front's own watch of the discovery service is in use.
        leaving: Whether the front is shutting down.
    """

    def __init__(
        self,
        settings: ControlSettings,
        name: str,
        start_ms: int,
        target: ControlTarget,
        guard: ErrorGuard,
        discovery: DiscoveryWatch | None = None,
        loop: LoopMonitor | None = None,
        apply_load_view: Callable[[bytes], None] | None = None,
    ) -> None:
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self._discovery = discovery or NoDiscoveryWatch()
        self._preferred = rank_nodes(settings, name)
        self._selection = NodeSelection(name, self._preferred)
        self._wake = Signal()
        self._nodes = NodeConnections(
            settings,
            name,
            start_ms,
            self._selection,
            self,
            self._wake.set,
            guard,
            loop or LoopMonitor(clock.now, guard.log),
        )
        self._dispatcher = EventDispatcher(target, guard)
        self._lists = self._dispatcher.lists
        self._age_limiter = AgeLimiter(PurgeCoverage(settings.purge_deadline_ns, clock.now()), target, guard)
        self.primary: str | None = None
        self.discovery_running = True
        self.leaving = False
        self._closed = False
        self._apply_load_view = apply_load_view

    # Main loop

    def run(self) -> None:
        """Maintain the connections until `close` is called."""
        while not self._closed:
            self._guard.call("control", self._tick)
            self._wake.wait(self._time_to_next_tick(clock.now()) / SECOND_NS)
            self._wake.clear()

    def _tick(self) -> None:
        now = clock.now()
        if not self.leaving:
            self._nodes.update(now)
        self._choose_primary()
        self._pause_or_resume_discovery()
        self._age_limiter.apply(now)

    def _time_to_next_tick(self, now: int) -> int:
        times = (
            now + MAX_TICK_INTERVAL_NS,
            self._selection.next_retry(now),
            self._age_limiter.next_change_at(),
        )
        return max(MILLISECOND_NS, min(time for time in times if time is not None) - now)

    # Choice of the active source

    def _choose_primary(self) -> None:
        listed = {name for name in self._nodes.listed() if self._lists.has_list(self._stream(name))}
        primary = next_primary(
            self._preferred, self.primary, self._nodes.greeted(), listed, self._nodes.current()
        )
        stream = self._stream(primary) if primary else None
        if stream is not None and self._lists.active != stream:
            self._lists.activate(stream)
            self._log.info("control", list_source=primary)
        self.primary = primary

    def _stream(self, name: str) -> str:
        return self._nodes.states[name].progress.stream

    def _pause_or_resume_discovery(self) -> None:
        current = self._nodes.current()
        if self.discovery_running and self.primary in current:
            self.discovery_running = False
            self._discovery.pause()
            self._counters.add("control.discovery_paused")
            self._log.info("control", source="nodes")
        elif not self.discovery_running and not current:
            self.discovery_running = True
            self._discovery.resume()
            self._counters.add("control.discovery_resumed")
            self._log.info("control", source="discovery")

    def _record_caught_up(self) -> None:
        if self._age_limiter.record_caught_up(clock.now()):
            self._wake.set()

    # Implementation of `NodeListener`

    def on_greeting(self, connection: NodeConnection, greeting: Greeting) -> None:
        """Handle the greeting of a node, and resend the answer to its last configuration version.

        The answer may have been lost with the previous connection.
        """
        name = connection.node.name
        state = self._nodes.states[name]
        self._selection.record_connected(name, clock.now())
        self._dispatcher.begin_stream(connection.progress, greeting)
        connection.confirming = not self.leaving
        state.disconnect_reason = ""
        self._counters.add("control.connected")
        self._log.info("control", node=name, stream=greeting.stream, snapshot_to=greeting.snapshot_to)
        if state.configuration and not self.leaving:
            connection.send(state.configuration)
        self._wake.set()

    def on_event(self, connection: NodeConnection, event: NumberedEvent) -> None:
        """Apply an event of a node at most once, and record its index as applied."""
        progress = connection.progress
        if not progress.is_new(event.index):
            self._counters.add("control.duplicate_event")
            return
        try:
            answer = self._dispatcher.apply(progress.stream, event)
        except Exception as error:
            self._guard.record("control_event", error)
            if progress.record_failure(event.index):
                raise SequenceError(f"event {event.index} could not be applied") from error
            return
        progress.record_applied(event.index)
        if answer:
            self._answer(connection, answer)
        if isinstance(event, EndpointListChange) and event.complete:
            connection.listed = True
            self._wake.set()

    def _answer(
        self, connection: NodeConnection, answer: ConfigurationApplied | ConfigurationRejected
    ) -> None:
        self._nodes.states[connection.node.name].configuration = answer
        if not self.leaving:
            connection.send(answer)

    def on_heartbeat(self, connection: NodeConnection, index: int) -> None:
        """Handle a heartbeat, which has the index of the last event of the node."""
        connection.progress.record_heartbeat(index)
        if connection.progress.caught_up:
            self._record_caught_up()
            if not connection.current:
                connection.current = True
                connection.listed = True
                self._lists.record_caught_up(connection.progress.stream)
                self._wake.set()

    def on_load_view(self, connection: NodeConnection, data: bytes) -> None:
        """Apply a load view if the primary node sent it; drop load views of other nodes."""
        if self._apply_load_view and connection.node.name == self.primary:
            self._apply_load_view(data)

    def report(self, data: bytes) -> bool:
        """Send an encoded load report to the primary node, which answers with a load view.

        Return False if no primary node is connected or the front is shutting down.
        """
        connection = self._nodes.get(self.primary) if self.primary else None
        if connection is None or not connection.greeted or self.leaving:
            return False
        connection.send(LoadReport(data))
        return True

    # The discovery service

    def add_startup_change(self, change: EndpointListChange) -> None:
        """Record a list change from the start-up configuration, which the front has already applied."""
        self._lists.add_startup_change(change)

    def handle_discovery_event(self, event: EndpointListChange | Purge) -> None:
        """Handle an event of the front's own watch of the discovery service."""
        self._dispatcher.handle_discovery_event(event)

    def handle_discovery_caught_up(self) -> None:
        """Handle that the front has caught up with the last index of the discovery service."""
        self._record_caught_up()
        if self.discovery_running and self.primary is None and self._lists.active != DISCOVERY:
            self._lists.activate(DISCOVERY)
            self._log.info("control", list_source="discovery")

    # Shutdown and status

    def leave(self) -> None:
        """Announce the shutdown of the front to the nodes, and stop confirming events."""
        self.leaving = True
        self._nodes.leave()

    def close(self) -> None:
        """Close all connections and end the loop.

        Only a process that hosts several clients needs this. A front's process exits without it.
        """
        self._closed = True
        self.leaving = True
        self._nodes.close()
        self._wake.set()

    def apply_pending_events(self) -> None:
        """Apply events that may have been waiting unread in the receive buffers for too long."""
        self._nodes.apply_pending_events()

    @property
    def last_line_at(self) -> int:
        """When a greeted node last sent a line other than a load view, in nanoseconds; 0 if none did."""
        return self._nodes.last_line_at

    def status(self) -> ControlClientStatus:
        """Return the fields for the periodic `counters` log event."""
        now = clock.now()
        return {
            "primary": self.primary,
            "discovery": self.discovery_running,
            "version": self._dispatcher.versions.in_force,
            **self._age_limiter.status(now),
            "nodes": self._nodes.status(),
            "unavailable": self._nodes.backoff_status(now),
        }
