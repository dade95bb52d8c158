"""A pool of connections to upstreams: opens, reuses and closes them, and shares them at the limit."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
from typing import NamedTuple

import gevent
from gevent import socket

from ..model.attempt import AttemptResult
from ..model.upstream import Upstream
from ..runtime.counters import Counters
from ..runtime.units import SECOND_NS
from ..state.body_budget import BodyBudget
from ..state.upstream_registry import RegisteredUpstream
from .sockets import connect_within, has_ended, set_options
from .upstream_connection import EndpointPool, UpstreamConnection, UpstreamResult

SHARING_CANDIDATES = 16  # connections compared when one is shared; the one with the fewest requests is taken


class PoolLimits(NamedTuple):
    """Limits on the connections to upstreams.

    Attributes:
        max_connections: The most connections to all upstreams together.
        connect_timeout: Time-out of connecting, ns.
        idle_timeout: Time after which upstreams close an idle connection, ns; 0: never.
        max_streams: The most requests in flight on a shared connection.
    """

    max_connections: int
    connect_timeout: int
    idle_timeout: int
    max_streams: int


class ConnectionPool:
    """The connections to all upstreams.

    Each request has a connection of its own, so that a broken connection fails only one request. Once
    `max_connections` are open, requests share connections.

    Args:
        upstreams: The known upstreams with their addresses.
        body_budget: The budget to which a closed connection returns its reserved bytes.
        limits: Limits on the connections.
        clock: The monotonic clock, ns.
        counters: Counts connections opened, reused, shared and closed.
        read: Reads the responses of a new connection until it ends; runs in a greenlet.

    Attributes:
        max_connections: The limit on connections to all upstreams together.
        by_upstream: The connections to each upstream.
        connection_count: Connections that are open or being opened.
    """

    def __init__(
        self,
        upstreams: Mapping[Upstream, RegisteredUpstream],
        body_budget: BodyBudget,
        limits: PoolLimits,
        clock: Callable[[], int],
        counters: Counters,
        read: Callable[[UpstreamConnection], None],
    ) -> None:
        self.max_connections = limits.max_connections
        self.by_upstream: dict[Upstream, EndpointPool] = {}
        self.connection_count = 0
        self._upstreams = upstreams
        self._body_budget = body_budget
        self._max_streams = limits.max_streams
        self._connect_timeout = limits.connect_timeout
        self._idle_timeout = limits.idle_timeout
        self._clock = clock
        self._counters = counters
        self._read = read

    def take_idle(self, upstream: Upstream, request_id: str) -> UpstreamConnection | None:
        """Take the most recently used idle connection on which `request_id` is unambiguous."""
        pool = self.by_upstream.get(upstream)
        if pool is None:
            return None
        unusable: list[UpstreamConnection] = []
        found: UpstreamConnection | None = None
        for connection in reversed(pool.idle):
            # A request would fail on a connection that the upstream has closed or on which part of an
            # unexpected response has arrived, and a non-idempotent request could not be retried.
            if connection.decoder.has_partial_response or has_ended(connection.sock):
                unusable.append(connection)
            elif connection.is_unambiguous(request_id):
                found = connection
                break
        for connection in unusable:
            self.close(connection)
        if found:
            del pool.idle[found]
            self._counters.add("upstream.connection_reused")
        return found

    def acquire(self, upstream: Upstream, request_id: str) -> UpstreamConnection | AttemptResult:
        """Return an idle, new or shared connection, or the attempt's result if none is available."""
        endpoint = self._upstreams.get(upstream)
        if endpoint is None:
            return AttemptResult.CANCELLED
        pool = self.by_upstream.setdefault(upstream, EndpointPool())
        if connection := self.take_idle(upstream, request_id):
            return connection
        if self.connection_count >= self.max_connections and not self._close_longest_idle():
            return self._share(pool, request_id) or AttemptResult.NOT_STARTED
        return self._open(endpoint.address, pool)

    def _open(self, address: tuple[str, int], pool: EndpointPool) -> UpstreamConnection | AttemptResult:
        self.connection_count += 1
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            set_options(sock, [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)], self._option_failed)
            connect_within(sock, address, self._connect_timeout / SECOND_NS)
            # Let readers of other sockets that became ready in the same loop iteration run first: one of them
            # may find that the client of this request has left.
            gevent.sleep(0)
        except BaseException as error:
            self.connection_count -= 1
            if sock is not None:
                sock.close()
            if not isinstance(error, OSError):
                raise
            self._counters.add("upstream.connect_failed")
            return AttemptResult.CONNECT_FAILED
        self._counters.add("upstream.connection_opened")
        connection = UpstreamConnection(sock, pool)
        pool.connections[connection] = None
        gevent.spawn(self._read, connection)
        return connection

    def _option_failed(self) -> None:
        self._counters.add("upstream.option_failed")

    def _share(self, pool: EndpointPool, request_id: str) -> UpstreamConnection | None:
        """Return a connection that can take one more request, or None if there is none.

        Of the next few candidates it is the one with the fewest requests in flight; a connection that has not
        responded since a cancel comes last.
        """
        candidates: list[UpstreamConnection] = []
        for connection in list(itertools.islice(pool.connections, 4 * SHARING_CANDIDATES)):
            del pool.connections[connection]  # move it to the end, so that calls rotate over all connections
            pool.connections[connection] = None
            if (
                connection.is_unambiguous(request_id)
                and request_id not in connection.in_flight
                and not connection.writer_running
                and len(connection.in_flight) < self._max_streams > len(connection.cancelled)
            ):
                candidates.append(connection)
                if len(candidates) == SHARING_CANDIDATES:
                    break
        if not candidates:
            self._counters.add("upstream.connection_limit")
            return None
        self._counters.add("upstream.connection_shared")
        return min(candidates, key=lambda connection: (connection.unanswered, len(connection.in_flight)))

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection of all upstreams; return False if no connection is idle."""
        idle = [connection for pool in self.by_upstream.values() for connection in pool.idle]
        if not idle:
            return False
        self.close(min(idle, key=lambda connection: connection.idle_since))
        return True

    def release(self, connection: UpstreamConnection) -> None:
        """Make a connection available for the next request if it has no request in flight."""
        connection.idle_since = self._clock()
        if connection.in_flight or connection.closed:
            return
        # A running writer means that the request was answered before it was written in full. The connection
        # can't be reused before the rest is written, which no longer serves any request.
        if connection.pool.stale or connection.writer_running:
            self.close(connection)
        else:
            connection.pool.idle.setdefault(connection)

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection; its requests in flight end as reset."""
        if connection.closed:
            return
        connection.closed = True
        self.connection_count -= 1
        connection.pool.connections.pop(connection, None)
        connection.pool.idle.pop(connection, None)
        if connection.waiting_reader:
            connection.waiting_reader.kill(block=False)
        self._body_budget.release(connection.reserved_bytes)
        connection.reserved_bytes = 0
        connection.sock.close()
        self._counters.add("upstream.connection_closed")
        in_flight, connection.in_flight = connection.in_flight, {}
        for request in in_flight.values():
            if not request.result.ready():
                request.result.set(UpstreamResult(AttemptResult.RESET))

    def close_stale(self, upstreams: list[Upstream]) -> None:
        """Mark the pools of removed, moved or restarted upstreams as stale; close their idle connections."""
        for upstream in upstreams:
            pool = self.by_upstream.pop(upstream, None)
            if pool:
                pool.stale = True
                for connection in list(pool.idle):
                    self.close(connection)

    def close_idle(self) -> None:
        """Close connections that were idle for more than half of the upstreams' idle time-out."""
        for pool in self.by_upstream.values():
            for connection in [
                idle for idle in pool.idle if (self._clock() - idle.idle_since) * 2 > self._idle_timeout > 0
            ]:
                self.close(connection)
