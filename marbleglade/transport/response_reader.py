"""Reads responses from connections to upstreams, within the budget for response bodies in memory."""

from __future__ import annotations

import gevent

from ..model.attempt import AttemptResult
from ..protocols.cache_protocol import CacheStatus, InvalidLineError, UpstreamResponse
from ..runtime.error_guard import ErrorGuard
from ..state.body_budget import BodyBudget
from .connection_pool import ConnectionPool
from .sockets import read_chunks
from .upstream_connection import UpstreamConnection, UpstreamResult

RESULT_BY_STATUS = {
    CacheStatus.SERVED: AttemptResult.OK,
    CacheStatus.NOT_MODIFIED: AttemptResult.OK,
    CacheStatus.MISSING: AttemptResult.MISS,
    CacheStatus.REJECTED: AttemptResult.REJECTED,
    CacheStatus.FAILED: AttemptResult.ERROR,
    CacheStatus.NOT_STARTED: AttemptResult.NOT_STARTED,
    CacheStatus.HEALTHY: AttemptResult.OK,
    CacheStatus.UNHEALTHY: AttemptResult.OK,  # the response still contains the load report
}


class ResponseReader:
    """Passes each response to the request that waits for it.

    Args:
        pool: The pool to which free connections are released, and which closes failed ones.
        body_budget: The budget for response bodies in memory.
        guard: Counts and logs errors.
    """

    def __init__(self, pool: ConnectionPool, body_budget: BodyBudget, guard: ErrorGuard) -> None:
        self._pool, self._body_budget = pool, body_budget
        self._guard, self._counters = guard, guard.counters

    def run(self, connection: UpstreamConnection) -> None:
        """Read responses from a connection until it ends, then close it."""
        try:
            for data in read_chunks(connection.sock):
                for response in connection.decoder.feed(data):
                    self._complete(connection, response)
                if not self._reserve_missing(connection):
                    return
        except OSError:
            self._counters.add("upstream.connection_lost")
        except InvalidLineError:
            self._counters.add("upstream.invalid_response")
        except Exception as error:
            self._guard.record("upstream", error)
        finally:
            self._pool.close(connection)

    def _reserve_missing(self, connection: UpstreamConnection) -> bool:
        """Reserve budget for the body that is being read, and wait until enough is free.

        Returns:
            False if the connection was closed meanwhile.
        """
        missing = connection.decoder.body_size - connection.reserved_bytes
        if missing <= 0:
            return True
        connection.waiting_reader = gevent.getcurrent()
        try:
            self._body_budget.reserve(missing)
        finally:
            connection.waiting_reader = None
        if connection.closed:
            self._body_budget.release(missing)
            return False
        connection.reserved_bytes += missing
        return True

    def _complete(self, connection: UpstreamConnection, response: UpstreamResponse) -> None:
        """Pass a response to its request.

        Raises:
            InvalidLineError: The response does not match the request with its id.
        """
        size = len(response.body)
        connection.unanswered = False
        connection.reserved_bytes -= size
        if connection.reserved_bytes < 0:  # the body arrived in one read, before budget was reserved
            self._body_budget.reserve_unconditionally(-connection.reserved_bytes)
            connection.reserved_bytes = 0
        request = connection.in_flight.pop(response.id, None)
        if request is None:
            connection.cancelled.discard(response.id)
            self._body_budget.release(size)
            self._counters.add("upstream.late_response")
            return
        if not response.answers(request.is_load_report_request, request.cached_etag, request.cacheable):
            connection.in_flight[request.id] = request
            self._body_budget.release(size)
            raise InvalidLineError(f"{response.status} is no valid response to request {response.id}")
        self._counters.add(f"upstream.{response.status}")
        request.connection, connection.last_answered = None, request.id
        if request.result.ready():
            self._body_budget.release(size)
        else:
            request.result.set(UpstreamResult(RESULT_BY_STATUS[response.status], response))
        self._pool.release(connection)
