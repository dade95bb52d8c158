"""Reads client connections: decodes messages, and limits message floods and buffered bytes."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Generic

import gevent

from ..protocols.client_protocol import FrameDecoder, InvalidFrameError
from ..runtime.error_guard import ErrorGuard
from ..runtime.units import SECOND_NS
from .client_connection import ClientConnection, ReceivedMessage
from .client_end_detector import ClientEndDetector
from .client_registry import ClientRegistry, CloseReason
from .request_dispatcher import RequestDispatcher
from .request_service import RequestService, RequestT
from .response_writer import ResponseWriter
from .sockets import CALLS_PER_TURN, READ_BUFFER, has_unread_bytes, read_chunks, receive_into

READ_AHEAD_PERIOD_S = 0.01  # poll period for input of a client that is not reading its responses


class RequestReader(Generic[RequestT]):
    """Reads client connections, each in a greenlet of its own.

    Args:
        connections: Closes connections, and accounts for the bytes that are buffered for them.
        dispatcher: Handles the messages.
        writer: Writes the immediate responses of the dispatcher.
        end_detector: Detects and handles the departure of clients.
        service: Provides the granularity of timers.
        clock: The monotonic clock, ns.
        guard: Records exceptions, and provides the counters.
    """

    def __init__(
        self,
        connections: ClientRegistry[RequestT],
        dispatcher: RequestDispatcher[RequestT],
        writer: ResponseWriter[RequestT],
        end_detector: ClientEndDetector[RequestT],
        service: RequestService[RequestT],
        clock: Callable[[], int],
        guard: ErrorGuard,
    ) -> None:
        self._connections = connections
        self._dispatcher = dispatcher
        self._writer = writer
        self._end_detector = end_detector
        self._buffers = connections.buffers
        self._service = service
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters

    def run(self, client: ClientConnection[RequestT]) -> None:
        """Read a connection until it ends; never raises."""
        try:
            for data in read_chunks(client.sock):
                earliest_arrival = client.arrivals.record_read(len(data) < len(READ_BUFFER))
                if not client.input_ended:  # otherwise only the end of the input matters
                    self._process_input(client, data, earliest_arrival)
                if client.closed:
                    return
                client.arrivals.start_waiting()
        except OSError as error:
            self._connections.close(client, CloseReason.RESET, error)
        except Exception as error:
            self._guard.record("client", error)
            self._connections.close(client, CloseReason.EXCEPTION, error)
        else:
            # The client has most likely left, but may still read. Responses to attempts in flight are
            # written, but no further attempt is sent.
            client.input_ended = client.half_closed = True
            self._end_detector.connection_half_closed(client)
            self._connections.close_if_finished(client)

    def _process_input(
        self, client: ClientConnection[RequestT], data: memoryview, earliest_arrival: int
    ) -> None:
        """Process bytes that were read; an invalid frame ends the input once earlier messages are handled."""
        try:
            self._decode_and_dispatch(client, data, earliest_arrival)
        except InvalidFrameError:
            self._counters.add("client.bad_frame")
            client.input_ended = True
            client.frames = FrameDecoder()
            client.pending_messages.clear()
            self._connections.drop_partial_frame(client)
            self._writer.flush(client)
            self._connections.close_if_finished(client)

    def _decode_and_dispatch(
        self, client: ClientConnection[RequestT], data: memoryview, earliest_arrival: int
    ) -> None:
        if len(data) == len(READ_BUFFER):  # more input may be unread, including its end
            self._end_detector.check_connection(client)
        self._queue_messages(client, data, earliest_arrival)
        self._dispatch_pending(client)
        if client.closed:
            return
        if client.frames.error:
            raise client.frames.error
        self._buffers.used += len(client.frames.buffer) - client.partial_frame_bytes
        client.partial_frame_bytes = len(client.frames.buffer)
        self._enforce_buffer_limit(client)

    def _queue_messages(
        self, client: ClientConnection[RequestT], data: memoryview, earliest_arrival: int
    ) -> None:
        """Decode bytes and queue the messages that they complete."""
        client.active_at = self._clock()
        frames = client.frames.feed(data)
        if frames:
            client.has_sent_message = True
            client.unfinished_since = 0
        if client.frames.has_partial_frame:
            client.unfinished_since = client.unfinished_since or client.active_at
        client.pending_messages += [ReceivedMessage(strings, earliest_arrival) for strings in frames]

    def _dispatch_pending(self, client: ClientConnection[RequestT]) -> None:
        """Handle the queued messages, yielding to other greenlets after every `CALLS_PER_TURN` of them."""
        messages = client.pending_messages
        for count in itertools.count(1):
            if not messages or client.closed:
                break
            self._dispatcher.dispatch(client, messages.popleft())
            if len(client.immediate_responses) > len(READ_BUFFER):
                self._writer.flush(client)
                if client.flush_done:  # the client is not reading, so no further requests are handled
                    self._read_ahead(client)
            if messages and not count % CALLS_PER_TURN:
                self._writer.flush(client)
                gevent.sleep(0)
                self._end_detector.check_connection(client)
        self._writer.flush(client)

    def _read_ahead(self, client: ClientConnection[RequestT]) -> None:
        """Wait until the pending responses are written; meanwhile handle cancels and the end of the input.

        Other messages that arrive meanwhile are queued, up to the size of one read buffer.
        """
        free_bytes = len(READ_BUFFER)
        while client.flush_done and not client.closed:
            self._end_detector.check_connection(client)
            if free_bytes and not client.frames.error and has_unread_bytes(client.sock):
                size = receive_into(client.sock, READ_BUFFER[:free_bytes])
                earliest_arrival = client.arrivals.record_read(size < free_bytes)
                free_bytes -= size
                try:
                    self._queue_messages(client, READ_BUFFER[:size], earliest_arrival)
                except InvalidFrameError as error:  # messages before the invalid frame are still answered
                    client.frames.error = error
            self._dispatch_cancels(client)
            client.flush_done.wait(READ_AHEAD_PERIOD_S)

    def _dispatch_cancels(self, client: ClientConnection[RequestT]) -> None:
        """Handle the queued cancels of open requests ahead of other queued messages."""
        cancels = [
            message
            for message in client.pending_messages
            if client.cancelled_tag(message.strings) in client.open_requests
        ]
        for message in cancels:
            client.pending_messages.remove(message)
            self._dispatcher.dispatch(client, message)

    def _enforce_buffer_limit(self, client: ClientConnection[RequestT]) -> None:
        """Stop reading this client while the buffered bytes exceed the limit.

        To free bytes, connections without pending responses are closed, the largest partial frame first.
        """
        while self._buffers.used > self._buffers.limit and client.partial_frame_bytes and not client.closed:
            if not self._connections.close_largest_partial_frame():
                gevent.sleep(self._service.clock_resolution / SECOND_NS)
                self._end_detector.check_connection(client)
