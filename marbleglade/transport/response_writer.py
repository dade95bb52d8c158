"""Writes responses to clients, and closes connections whose clients do not read them in time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic

import gevent
from gevent.event import Event

from ..runtime.counters import Counters
from ..runtime.loop_monitor import LoopMonitor
from ..runtime.timeouts import TimeLimit
from ..runtime.units import MILLISECOND_NS
from .client_connection import ClientConnection
from .client_registry import ClientRegistry, CloseReason
from .client_timeouts import UNFINISHED_TIMEOUT_NS
from .request_service import RequestT
from .sockets import send_or_defer
from .timed_write import acquire_within, send_within

MIN_WRITE_TIMEOUT_NS = 250 * MILLISECOND_NS  # if the deadline of a partly written response is near


class ResponseWriter(Generic[RequestT]):
    """Writes responses, one at a time on each connection.

    Args:
        connections: Closes connections.
        loop: The monitor of the event loop.
        clock: The monotonic clock, ns.
        counters: Counts connections that are closed because a write failed or timed out.
    """

    def __init__(
        self,
        connections: ClientRegistry[RequestT],
        loop: LoopMonitor,
        clock: Callable[[], int],
        counters: Counters,
    ) -> None:
        self._connections = connections
        self._loop = loop
        self._clock = clock
        self._counters = counters

    def flush(self, client: ClientConnection[RequestT]) -> None:
        """Write the immediate responses without blocking the reader, which has to read cancels and the end.

        If they can't all be written at once, a new greenlet writes the rest. Until it has ended,
        `client.flush_done` is the event that it will set.
        """
        if not client.immediate_responses or client.flush_done or client.closed:
            return
        has_lock = client.write_lock.acquire(blocking=False)
        if has_lock:
            try:
                sent = send_or_defer(client.sock, client.immediate_responses)
            except OSError:
                client.write_lock.release()
                self._close_after_write_error(client)
                return
            del client.immediate_responses[:sent]
            if not client.immediate_responses:
                client.active_at = self._clock()
                client.write_lock.release()
                return
        client.flush_done = Event()
        gevent.spawn(self._continue_flush, client, client.flush_done, has_lock)

    def _continue_flush(self, client: ClientConnection[RequestT], flush_done: Event, has_lock: bool) -> None:
        """Write the immediate responses, releasing the lock after each write.

        Otherwise responses from upstreams would wait behind ever more immediate ones until they time out.
        """
        limit = self._time_limit(UNFINISHED_TIMEOUT_NS)
        try:
            while client.immediate_responses and not client.closed:
                if not has_lock and not self._acquire_lock(client, limit):
                    return
                has_lock = True
                data, client.immediate_responses = client.immediate_responses, bytearray()
                complete = self._send_remaining(client, data, limit)
                client.write_lock.release()
                has_lock = False
                if not complete:
                    return
                gevent.sleep(0)  # lets greenlets that wait for the lock acquire it first
                limit = self._time_limit(UNFINISHED_TIMEOUT_NS)
        finally:
            if has_lock:
                client.write_lock.release()
            flush_done.set()
            client.flush_done = None
            self._connections.close_if_finished(client)

    def write(
        self, client: ClientConnection[RequestT], data: bytes, time_left: int, is_wanted: Callable[[], bool]
    ) -> bool:
        """Write a response.

        If the client does not read it in time, the connection is closed, which shows the client that the
        response is lost. The time spent waiting for the lock does not count against the client, since a
        response that is late by then must not fail the other ones.

        Args:
            client: The connection.
            data: The encoded response.
            time_left: Time until the response is too late, ns; may be negative.
            is_wanted: Returns whether the client still waits for the response; called with the lock held.

        Returns:
            Whether the response was written completely.
        """
        write_until = self._clock() + time_left
        if not client.write_lock.acquire(blocking=False):
            limit = self._time_limit(max(time_left, UNFINISHED_TIMEOUT_NS))
            if not self._acquire_lock(client, limit):
                return False
        try:
            if client.closed or not is_wanted():
                return False
            sent = send_or_defer(client.sock, data)
            if sent < len(data):
                limit = self._time_limit(max(write_until - self._clock(), MIN_WRITE_TIMEOUT_NS))
                return self._send_remaining(client, memoryview(data)[sent:], limit)
        except OSError:
            self._close_after_write_error(client)
            return False
        except Exception as error:  # nothing can follow a response that may be partial
            self._connections.close(client, CloseReason.INCOMPLETE_RESPONSE, error)
            raise
        finally:
            client.write_lock.release()
        client.active_at = self._clock()
        return True

    def _time_limit(self, duration: int) -> TimeLimit:
        """Return a time limit that ends `duration` ns from now."""
        return TimeLimit(self._loop, self._clock() + duration)

    def _acquire_lock(self, client: ClientConnection[RequestT], limit: TimeLimit) -> bool:
        """Wait for the write lock; return false if that took too long and the connection was closed."""
        if acquire_within(client.write_lock, limit):
            return True
        self._close_slow_reader(client)
        return False

    def _send_remaining(
        self, client: ClientConnection[RequestT], data: bytes | bytearray | memoryview, limit: TimeLimit
    ) -> bool:
        """Wait until these bytes are written; return false if the connection was closed before."""
        self._connections.buffers.used += len(data)
        try:
            complete = send_within(client.sock, data, limit)
        except OSError:
            self._close_after_write_error(client)
            return False
        finally:
            self._connections.buffers.used -= len(data)
        if not complete:
            self._close_slow_reader(client)
            return False
        client.active_at = self._clock()
        return True

    def _close_slow_reader(self, client: ClientConnection[RequestT]) -> None:
        self._counters.add("client.slow_reader")
        self._connections.close(client, CloseReason.SLOW_READER)

    def _close_after_write_error(self, client: ClientConnection[RequestT]) -> None:
        self._counters.add("client.write_failed")
        self._connections.close(client, CloseReason.WRITE_FAILED)
