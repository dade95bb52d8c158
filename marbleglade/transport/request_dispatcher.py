"""Handles the messages of clients: passes requests to the request service, and responses to the writer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Generic

import gevent

from ..protocols.client_protocol import (
    Cancel,
    ClientRequest,
    InvalidFrameError,
    StatusQuery,
    decode_message,
)
from ..runtime.error_guard import ErrorGuard
from ..state.decisions import RequestOutcome, Response
from ..state.recent_trace_ids import RecentTraceIds
from .arrival import arrival_time
from .client_connection import ClientConnection, ReceivedMessage
from .client_end_detector import ClientEndDetector
from .client_registry import ClientRegistry
from .request_service import RequestService, RequestT
from .response_encoder import (
    STATUS_FAILED,
    STATUS_NOT_READY,
    STATUS_READY,
    STATUS_REJECTED,
    ResponseEncoder,
)
from .response_writer import ResponseWriter

MAX_OPEN_REQUESTS = 32  # limit of the protocol for one connection
MAX_CONSECUTIVE_UNSERVED = 32  # rejected or unusable messages in a row; correct clients send far fewer


class RequestDispatcher(Generic[RequestT]):
    """Handles the messages of each client one after the other.

    Args:
        service: Handles the requests.
        connections: Closes connections, and counts the bytes that are buffered for them.
        writer: Writes the responses.
        end_detector: Handles cancels, and detects clients that have closed their side.
        is_ready: Returns whether a status query is answered with "ready", that is, new requests are accepted.
        response_slack: Time after the deadline of a request until which its response may be written, ns.
        clock: The monotonic clock, ns.
        guard: Records exceptions, and provides the log and the counters.
    """

    def __init__(
        self,
        service: RequestService[RequestT],
        connections: ClientRegistry[RequestT],
        writer: ResponseWriter[RequestT],
        end_detector: ClientEndDetector[RequestT],
        is_ready: Callable[[], bool],
        response_slack: int,
        clock: Callable[[], int],
        guard: ErrorGuard,
    ) -> None:
        self._service = service
        self._connections = connections
        self._writer = writer
        self._end_detector = end_detector
        self._buffers = connections.buffers
        self._is_ready = is_ready
        self._response_slack = response_slack
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log
        self._encoder = ResponseEncoder(guard.counters)
        self._request_classes = service.request_classes
        longest_timeout = max(
            request_class.client_timeout for request_class in self._request_classes.values()
        )
        self._trace_ids = RecentTraceIds(longest_timeout)

    def dispatch(self, client: ClientConnection[RequestT], received: ReceivedMessage) -> None:
        """Handle a message. If handling it raises an exception, only this message is answered as failed.

        Raises:
            InvalidFrameError: The message violates the protocol: the connection has to be closed.
        """
        try:
            self._handle(client, received)
        except InvalidFrameError:
            raise
        except Exception as error:
            self._guard.record("message", error)
            message = decode_message(received.strings, self._request_classes)
            if not isinstance(message, Cancel):
                self._queue_failed(client, message.tag)

    def _handle(self, client: ClientConnection[RequestT], received: ReceivedMessage) -> None:
        message = decode_message(received.strings, self._request_classes)
        if not isinstance(message, Cancel) and message.tag in client.open_requests:
            # The client could not tell the responses to the two requests apart.
            raise InvalidFrameError(f"tag {message.tag} belongs to a request that is still open")
        if isinstance(message, ClientRequest):
            self._handle_request(client, message, received.earliest_arrival)
        elif isinstance(message, Cancel):
            self._end_detector.cancel(client, message.tag)
        elif isinstance(message, StatusQuery):
            self._queue_response(client, message.tag, STATUS_READY if self._is_ready() else STATUS_NOT_READY)
        else:
            self._counters.add("client.unusable")
            self._queue_unserved(client, message.tag, STATUS_FAILED)

    def _handle_request(
        self, client: ClientConnection[RequestT], request: ClientRequest, earliest_arrival: int
    ) -> None:
        if not self._trace_ids.is_new(request.trace_id, client.active_at):
            self._counters.add("request.repeated_trace")
            self._queue_unserved(client, request.tag, STATUS_FAILED)
            return
        client.has_sent_request = True
        if len(client.open_requests) >= MAX_OPEN_REQUESTS:
            self._counters.add("request.rejected_at_admission")
            self._queue_unserved(client, request.tag, STATUS_REJECTED)
            return
        client.consecutive_unserved = 0
        request.received_at = arrival_time(earliest_arrival, self._clock())
        request.check_client_end = partial(self._end_detector.check_request, client, request.tag)
        if self._log.debug_enabled:
            self._log.debug("read", trace=request.trace_id, client=client.number, tag=request.tag)
        if self._service.over_capacity() or self._buffers.used + len(request.body) > self._buffers.limit:
            self._counters.add("request.rejected_at_admission")
            if self._log.debug_enabled:
                self._log.debug("finished", trace=request.trace_id, outcome="REJECTED", reason="no room")
            self._queue_response(client, request.tag, STATUS_REJECTED)
            return
        self._start(client, request)

    def _start(self, client: ClientConnection[RequestT], request: ClientRequest) -> None:
        """Admit a request; answer it immediately if possible, otherwise run it in a greenlet of its own."""
        admitted = client.open_requests[request.tag] = self._service.admit(request)
        response = self._service.answer_immediately(request, admitted)
        if response:
            del client.open_requests[request.tag]
            unwritten = len(client.immediate_responses) + len(response.body)
            if response.body and self._buffers.used + unwritten > self._buffers.limit:
                self._counters.add("answer.no_room")
                response = Response(RequestOutcome.REJECTED)
            client.immediate_responses += self._encoder.encode(request.tag, response)
            return
        gevent.spawn_raw(self._guard.call, "answer", self._run, client, request, admitted)
        if client.end_detected:
            self._end_detector.request_half_closed(admitted)

    def _run(self, client: ClientConnection[RequestT], request: ClientRequest, admitted: RequestT) -> None:
        """Run a request until it has ended; `_respond` writes its response."""
        self._buffers.used += len(request.body)
        try:
            self._service.run(
                request, admitted, lambda response: self._respond(client, request.tag, admitted, response)
            )
        except Exception as error:
            self._guard.record("answer", error)
            if client.open_requests.get(request.tag) is admitted:
                self._queue_failed(client, request.tag)
                self._writer.flush(client)
        finally:
            self._buffers.used -= len(request.body)

    def _respond(
        self, client: ClientConnection[RequestT], tag: int, admitted: RequestT, response: Response
    ) -> None:
        """Write a response unless its client has left or cancelled the request meanwhile."""
        time_left = admitted.deadline + self._response_slack - self._clock()
        data = self._encoder.encode(tag, response)
        if self._writer.write(client, data, time_left, lambda: client.open_requests.get(tag) is admitted):
            client.open_requests.pop(tag, None)
        self._connections.close_if_finished(client)

    def _queue_response(self, client: ClientConnection[RequestT], tag: int, status: bytes) -> None:
        """Queue a status response, which is written together with the other immediate responses."""
        client.immediate_responses += self._encoder.encode_status(tag, status)

    def _queue_unserved(self, client: ClientConnection[RequestT], tag: int, status: bytes) -> None:
        """Queue the response to a rejected or unusable message; too many in a row end the connection."""
        client.consecutive_unserved += 1
        self._queue_response(client, tag, status)
        if client.consecutive_unserved > MAX_CONSECUTIVE_UNSERVED:
            raise InvalidFrameError(f"more than {MAX_CONSECUTIVE_UNSERVED} messages in a row were not served")

    def _queue_failed(self, client: ClientConnection[RequestT], tag: int) -> None:
        """Queue the response to a message whose handling raised an exception; abandon its request if open."""
        admitted = client.open_requests.pop(tag, None)
        if admitted is not None:
            self._guard.call("abandon_request", self._service.abandon_request, admitted)
        self._queue_response(client, tag, STATUS_FAILED)
