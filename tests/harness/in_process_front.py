"""A front in the test process: the real components, with clients and caches that the test controls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from marbleglade.discovery_events import DiscoveryCallbacks
from marbleglade.model.policy_protocol import PolicyProtocol
from marbleglade.model.request import Request
from marbleglade.policy_driver import PolicyDriver
from marbleglade.request_handler import HandlerComponents, RequestHandler
from marbleglade.runtime import clock
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.runtime.loop_monitor import LoopMonitor
from marbleglade.settings.environment import Environment
from marbleglade.state.body_budget import BodyBudget
from marbleglade.state.local_cache import LocalCache
from marbleglade.state.purge_history import PurgeHistory
from marbleglade.state.upstream_registry import UpstreamRegistry
from marbleglade.transport.client_connection import ClientConnection
from marbleglade.transport.client_listener import ClientListener
from marbleglade.transport.client_registry import ClientLimits
from marbleglade.transport.connection_pool import PoolLimits
from marbleglade.transport.upstream_client import UpstreamClient
from tests.harness.connections import SMALL_BUFFER
from tests.harness.servers import CONNECTION_QUEUE, bound_socket
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until

PURGE_RETENTION_NS = 1000 * NS_PER_MS
ANSWER_SLACK_NS = 50 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """Limits of an in-process front; sizes in bytes, times in ns. None means the value of the settings."""

    body_budget: int
    upstream_connections: int
    local_cache: int
    bytes_per_second: int
    clients: int
    client_buffers: int
    connect_timeout: int | None = None
    streams_per_connection: int | None = None


class InProcessFront:
    """The components of a front that handle requests, and its listener for clients.

    Attributes:
        listener: The socket that accepts clients.
        client_clock: The clock that client connections use, in ns; a test may replace it.
        loop_monitor: A monitor that is not started, so that it reports no delays.
        client_sockets: The client ends of the connections.
    """

    def __init__(
        self, environment: Environment, limits: FrontLimits, policy: Callable[..., PolicyProtocol]
    ) -> None:
        self.class_name = next(iter(environment.request_classes))
        self.parameters = environment.parameters
        self.counters = Counters()
        self.guard = ErrorGuard(self.counters, Log("t", self.counters, sink=2))
        self.body_budget, self.local_cache = BodyBudget(limits.body_budget), LocalCache(limits.local_cache)
        self.upstreams = UpstreamRegistry(environment, clock.from_unix_ms)
        purges = PurgeHistory(PURGE_RETENTION_NS)
        self.policy_driver = PolicyDriver(
            self.parameters, policy, clock.now, 0, self.counters, lambda _action: None
        )
        self.upstream_client = self._upstream_client(environment, limits, purges)
        self.publish: Callable[[Any], None] = lambda _update: None
        self.retract: Callable[[str], None] = lambda _id: None
        self.request_handler = self._request_handler(limits, purges)
        self.client_clock, self.loop_monitor = clock.now, LoopMonitor(clock.now, self.guard.log)
        self.client_listener = ClientListener(
            self.request_handler,
            ClientLimits(limits.clients, limits.client_buffers, ANSWER_SLACK_NS),
            lambda: True,
            lambda: self.client_clock(),
            self.guard,
            self.loop_monitor,
        )
        self.listener = bound_socket()
        self.client_sockets: list[socket.socket] = []
        self.listener.listen(max(CONNECTION_QUEUE, limits.clients))
        self.loops = [gevent.spawn(self.client_listener.accept, self.listener)]

    def _upstream_client(
        self, environment: Environment, limits: FrontLimits, purges: PurgeHistory
    ) -> UpstreamClient:
        return UpstreamClient(
            self.upstreams.by_upstream,
            self.body_budget,
            PoolLimits(
                limits.upstream_connections,
                limits.connect_timeout or environment.connect_timeout,
                environment.idle_timeout,
                limits.streams_per_connection or environment.streams_per_connection,
            ),
            clock.now,
            self.guard,
            lambda request, since: purges.notified_since(request.object_id, request.group, since),
        )

    def _request_handler(self, limits: FrontLimits, purges: PurgeHistory) -> RequestHandler:
        parts = HandlerComponents(
            self.policy_driver,
            self.upstream_client,
            self.upstreams,
            purges,
            self.local_cache,
            limits.bytes_per_second,
            self.guard,
        )
        return RequestHandler(
            parts,
            callbacks=DiscoveryCallbacks(
                publish=lambda update: self.publish(update), retract=lambda id: self.retract(id)
            ),
        )

    def connect_client(self) -> socket.socket:
        """Connects a client; the front may not have accepted the connection yet."""
        sock = socket.create_connection(self.listener.getsockname())
        sock.settimeout(TIMEOUT_SECONDS)
        self.client_sockets.append(sock)
        return sock

    def connect_slow_client(self) -> tuple[socket.socket, ClientConnection[Request]]:
        """Connects a client with small buffers; returns its socket and the front's end of the connection."""
        sock = socket.socket()
        sock.settimeout(TIMEOUT_SECONDS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        known = set(self.client_listener.connections.open)
        sock.connect(self.listener.getsockname())
        self.client_sockets.append(sock)
        wait_until(lambda: set(self.client_listener.connections.open) - known)
        (connection,) = set(self.client_listener.connections.open) - known
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        return sock, connection

    def close(self) -> None:
        """Kills the greenlets of the front, and closes its listener and its clients' sockets."""
        gevent.killall(self.loops)
        for sock in (self.listener, *self.client_sockets):
            sock.close()
