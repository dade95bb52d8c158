"""One control node: creates, starts and stops its components."""

from __future__ import annotations

import gc
import secrets
import signal

import gevent
from gevent.event import Event

from ...model.watch_event import EndpointListChange, Purge
from ...runtime import clock
from ...runtime.counters import Counters
from ...runtime.error_guard import ErrorGuard
from ...runtime.process_signals import process_signals
from ...runtime.units import MILLISECOND_NS
from ...transport.discovery_watch import WatchClient
from ..events.confirmation import ConfirmationTracker
from ..events.event_log import EventLog
from ..settings import ControlSettings
from ..status.node_status import NodeStatus, encode_status
from ..status.report import StatusReporter
from .configuration_source import ConfigurationSource, VersionedDocument
from .discovery_replay import ReplayMerger
from .load_view_service import LoadViewService
from .node_log import NodeLog
from .server import ControlServer

MAX_HEARTBEAT_AGE_NS = (
    2_500 * MILLISECOND_NS
)  # the status is `current` up to this age; heartbeats arrive each second
STREAM_ID_BYTES = 8


class ControlNode:
    """One control node; `start` opens its listener.

    Args:
        settings: The settings of the control plane.
        name: The name of this node in the settings.
        configuration: The source of configuration versions; None: the node distributes none.
        sink: File descriptor of the log; None: standard error.

    Raises:
        ValueError: The settings list no node with this name.
    """

    def __init__(
        self,
        settings: ControlSettings,
        name: str,
        configuration: ConfigurationSource | None = None,
        sink: int | None = None,
    ) -> None:
        node = settings.node(name)
        if node is None:
            raise ValueError(f"the control plane settings list no node named {name!r}")
        self.settings = settings
        self.node = node
        self.configuration = configuration
        self.counters = Counters()
        self.guard = ErrorGuard(self.counters, NodeLog(name, self.counters, sink=sink))
        self.event_log = EventLog(secrets.token_hex(STREAM_ID_BYTES))
        self.confirmation = ConfirmationTracker(
            [front for region in settings.regions for front in region.fronts]
        )
        self.last_heartbeat_at = 0  # time of the discovery service's last heartbeat, ns; 0: none yet
        self.status_reporter = StatusReporter(
            deployment=settings.deployment,
            node=name,
            started_ms=clock.unix_ns() // MILLISECOND_NS,
            log=self.event_log,
            confirmation=self.confirmation,
            counters=self.counters,
        )
        region = next(region for region in settings.regions if region.name == node.region)
        replay_merger = ReplayMerger(self._on_purge, self._on_list_change, self._on_heartbeat)
        self.discovery_client = WatchClient(
            region.discovery, 0, replay_merger.callbacks(), self.guard, accept_index_restart=True
        )
        self.load_views = LoadViewService(settings, name, self.guard)
        self.server = self._make_server()
        self.greenlets: list[gevent.Greenlet] = []

    def _make_server(self) -> ControlServer:
        return ControlServer(
            deployment=self.settings.deployment,
            node=self.node.name,
            log=self.event_log,
            confirmation=self.confirmation,
            catch_up_bytes_per_s=self.settings.catch_up_bytes_per_s,
            is_ready=lambda: bool(self.last_heartbeat_at),
            status=lambda: encode_status(self.status()),
            load_views=self.load_views,
            guard=self.guard,
        )

    def start(self) -> None:
        """Open the listener and start all greenlets. Raises OSError."""
        self.server.listen(self.node.address)
        load_view_workers = self.load_views.workers(self.server.send_to_nodes)
        self.greenlets = [gevent.spawn(worker) for worker in (self.discovery_client.run, *load_view_workers)]
        if self.configuration:
            self.configuration.subscribe(self._on_configuration)
            if current := self.configuration.current():
                self._on_configuration(current)
            self.greenlets.append(gevent.spawn(self.configuration.run))

    def close(self) -> None:
        """Stop all greenlets and close the listener."""
        gevent.killall(self.greenlets)
        self.server.close()

    # Events.

    def _on_purge(self, purge: Purge, live: bool) -> None:
        if entry := self.event_log.append_purge(purge):
            received_unix_ms = clock.unix_ns() // MILLISECOND_NS
            self.confirmation.add_purge(entry.index, purge, clock.now(), received_unix_ms, live)
            self.server.notify_appended()

    def _on_list_change(self, change: EndpointListChange) -> None:
        self.event_log.append_list(change)
        self.server.notify_appended()

    def _on_configuration(self, document: VersionedDocument) -> None:
        if self.event_log.append_configuration(document.version, document.text):
            self.confirmation.add_configuration(
                document.version, clock.now(), clock.unix_ns() // MILLISECOND_NS
            )
            self.server.notify_appended()

    def _on_heartbeat(self) -> None:
        """Forward a heartbeat to watchers, which thus receive none while the discovery service is down."""
        is_first = not self.last_heartbeat_at
        self.last_heartbeat_at = clock.now()
        if is_first:
            self.guard.log.info("ready", stream=self.event_log.stream, last=self.event_log.last_index)
        self.server.heartbeat()

    # Status.

    def status(self) -> NodeStatus:
        """Return the current status of the node."""
        age = clock.now() - self.last_heartbeat_at if self.last_heartbeat_at else None
        return self.status_reporter.build(age, age is not None and age <= MAX_HEARTBEAT_AGE_NS)


def run(
    settings: ControlSettings,
    name: str,
    configuration: ConfigurationSource | None = None,
) -> None:
    """Run one control node in this process until SIGTERM or SIGINT.

    Args:
        settings: The settings of the control plane.
        name: The name of this node in the settings.
        configuration: The source of configuration versions; None: the node distributes none.

    Raises:
        OSError: The listener can't be opened.
        ValueError: The settings list no node with this name.
    """
    node = ControlNode(settings, name, configuration)
    log = node.guard.log
    stop = Event()
    node.start()
    handlers = {signal.SIGTERM: stop.set, signal.SIGINT: stop.set}
    process_signals.handle(handlers, lambda name: log.info("signal_ignored", signal=name))
    gc.freeze()
    log.info("listening", address=":".join(map(str, node.node.address)))
    process_signals.deliver_pending()
    stop.wait()
    node.close()
    log.info("stopped", counts=node.counters.table())
