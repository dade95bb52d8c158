"""Accepts the connections of clients."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Generic

import gevent
from gevent import socket

from ..runtime.error_guard import ErrorGuard
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.units import SECOND_NS
from .arrival import ArrivalBound
from .client_connection import ClientConnection
from .client_end_detector import ClientEndDetector
from .client_registry import ClientLimits, ClientRegistry
from .request_dispatcher import RequestDispatcher
from .request_reader import RequestReader
from .request_service import RequestService, RequestT
from .response_writer import ResponseWriter
from .sockets import CALLS_PER_TURN, has_unread_bytes


class ClientListener(Generic[RequestT]):
    """Accepts connections and starts a greenlet that reads each of them.

    Args:
        service: Handles the requests.
        limits: Limits on the connections and their buffers.
        is_ready: Returns the readiness that is reported to clients: whether new requests are accepted.
        clock: The monotonic clock, ns.
        guard: Records exceptions, and provides the log and the counters.
        loop: The monitor of the event loop. Without one, delays of the loop are not known.

    Attributes:
        connections: The accepted connections.
        reader: Reads the accepted connections.
    """

    def __init__(
        self,
        service: RequestService[RequestT],
        limits: ClientLimits,
        is_ready: Callable[[], bool],
        clock: Callable[[], int],
        guard: ErrorGuard,
        loop: LoopMonitor | None = None,
    ) -> None:
        self._service = service
        self._loop = loop or LoopMonitor(clock, guard.log)
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self._request_classes = service.request_classes
        self._backlog: ArrivalBound | None = None  # of connections in the listen backlog
        self.connections = ClientRegistry(service, limits, clock, guard)
        writer = ResponseWriter(self.connections, self._loop, clock, guard.counters)
        end_detector = ClientEndDetector(service, clock, guard)
        dispatcher = RequestDispatcher(
            service, self.connections, writer, end_detector, is_ready, limits.response_slack, clock, guard
        )
        self.reader = RequestReader(
            self.connections,
            dispatcher,
            writer,
            end_detector,
            service,
            clock,
            guard,
        )

    def accept(self, listener: socket.socket) -> None:
        """Accept connections forever."""
        backlog = self._backlog_arrivals()
        for count in itertools.count(1):
            if not count % CALLS_PER_TURN:  # a burst must not delay clients being served
                gevent.sleep(0)
            ticks, called_at = self._loop.ticks, self._loop.last_tick
            backlog.start_waiting()
            try:
                sock, _ = listener.accept()
            except OSError as error:
                self._record_accept_failure(error)
                gevent.sleep(self._service.clock_resolution / SECOND_NS)
                continue
            if self._loop.ticks != ticks:  # the call blocked, so the backlog was empty
                backlog.stop_waiting(called_at)
            self._guard.call("accept", self._start_connection, sock, backlog.earliest_arrival())

    def drain_backlog(self, listener: socket.socket) -> bool:
        """Accept the connections in the backlog, and return whether work was found.

        Work is a connection in the backlog, or unread bytes on an open connection. Connections that the
        kernel has already established are served before the process ends.
        """
        timeout = listener.gettimeout()
        listener.settimeout(0.0)
        try:
            found = self._accept_backlog(listener)
        finally:
            listener.settimeout(timeout)
        return found or any(
            not client.input_ended and has_unread_bytes(client.sock) for client in self.connections.open
        )

    def _accept_backlog(self, listener: socket.socket) -> bool:
        """Accept from a non-blocking listener; return whether the backlog held any connection."""
        found = False
        failures = 0
        while failures <= CALLS_PER_TURN:
            try:
                sock = listener.accept()[0]
            except BlockingIOError:
                break
            except OSError as error:
                # Another connection may wait behind a failed one. If all calls fail, the next call of
                # `drain_backlog` tries again, until the shutdown deadline of the process.
                self._record_accept_failure(error)
                failures += 1
            else:
                self._guard.call(
                    "accept", self._start_connection, sock, self._backlog_arrivals().earliest_arrival()
                )
            found = True
        return found

    def _backlog_arrivals(self) -> ArrivalBound:
        self._backlog = self._backlog or ArrivalBound(self._loop, self._loop.last_tick)
        return self._backlog

    def _record_accept_failure(self, error: OSError) -> None:
        self._counters.add("client.accept_failed")
        if self._log.debug_enabled:
            self._log.debug("accept_failed", error=str(error))

    def _start_connection(self, sock: socket.socket, earliest_arrival: int) -> None:
        """Start reading a connection; it and its bytes arrived at `earliest_arrival` (ns) or later."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:  # without TCP_NODELAY responses are only slower
            self._record_accept_failure(error)
        arrivals = ArrivalBound(self._loop, earliest_arrival)
        client: ClientConnection[RequestT] = ClientConnection(
            sock, self._clock, arrivals, self._request_classes
        )
        self.connections.add(client)
        gevent.spawn(self.reader.run, client)
        self.connections.enforce_limit(client)
