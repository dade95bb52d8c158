"""The state of one client connection: open requests, pending messages and buffered bytes."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic

from gevent import socket
from gevent.event import Event
from gevent.lock import Semaphore

from ..model.request import RequestClass
from ..protocols.client_protocol import FrameDecoder, InvalidFrameError, decode_message
from .arrival import ArrivalBound
from .request_service import RequestT
from .sockets import peek

MAX_PEEKED_BYTES = 1 << 18  # unread bytes of a connection that are searched for a cancel


@dataclass(slots=True, eq=False)
class ReceivedMessage:
    """A message that was read and is queued for the dispatcher.

    Attributes:
        strings: The strings of the message's frame.
        earliest_arrival: The earliest time at which the message may have arrived, ns of the monotonic clock.
    """

    strings: list[bytes]
    earliest_arrival: int


class ClientConnection(Generic[RequestT]):
    """The state of one connection, shared by its reader, dispatcher and writer.

    Attributes:
        number: Identifies the connection in the log.
        open_requests: The requests that have no response yet, by tag.
        pending_messages: Messages that were read and are not handled yet.
        write_lock: Held by the greenlet that writes to the connection.
        immediate_responses: Encoded responses from the reader's greenlet, to be written together.
        flush_done: Set once the immediate responses are written; None if no greenlet is writing them.
        accepted_at: When the connection was accepted, ns.
        active_at: When bytes were last read or written, ns.
        unfinished_since: Start of the wait for the first message or for the rest of a partial one, ns; 0 if
            neither is awaited.
        has_sent_message: Whether a complete message has arrived.
        has_sent_request: Whether a request has arrived.
        consecutive_unserved: Number of messages in a row that were rejected or unusable.
        partial_frame_bytes: Buffered bytes of an incomplete frame.
        input_ended: Whether further input is discarded.
        half_closed: Whether the end of the client's input (FIN) was read.
        end_detected: Whether that end was detected; bytes before it may still be unread.
        closed: Whether the socket is closed.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        sock: socket.socket,
        clock: Callable[[], int],
        arrivals: ArrivalBound,
        request_classes: Mapping[str, RequestClass],
    ) -> None:
        self.sock = sock
        self.arrivals = arrivals
        self.frames = FrameDecoder()
        self.number = next(self.numbers)
        self.open_requests: dict[int, RequestT] = {}
        self.pending_messages: deque[ReceivedMessage] = deque()
        self.write_lock = Semaphore()
        self.immediate_responses = bytearray()
        self.flush_done: Event | None = None
        self.accepted_at = self.active_at = self.unfinished_since = clock()
        self.has_sent_message = False
        self.has_sent_request = False
        self.consecutive_unserved = 0
        self.partial_frame_bytes = 0
        self.input_ended = False
        self.half_closed = False
        self.end_detected = False
        self.closed = False
        self._request_classes = request_classes

    @property
    def has_pending_work(self) -> bool:
        """Whether a message has yet to be handled, or a response has yet to be written."""
        return bool(
            self.open_requests
            or self.immediate_responses
            or self.flush_done
            or self.write_lock.locked()
            or self.pending_messages
        )

    def cancelled_tag(self, strings: list[bytes]) -> int:
        """Return the tag of the request that a message cancels; 0 if the message is not a cancel."""
        if strings[0] != b"NEVERMIND":
            return 0
        try:
            return decode_message(strings, self._request_classes).tag
        except InvalidFrameError:  # the dispatcher will end the connection
            return 0

    def has_pending_cancel(self, tag: int) -> bool:
        """Return whether a cancel of this request is queued."""
        return any(self.cancelled_tag(message.strings) == tag for message in self.pending_messages)

    def has_unread_cancel(self, tag: int) -> bool:
        """Return whether a cancel of this request is unread on the socket; consumes no bytes."""
        data = peek(self.sock, MAX_PEEKED_BYTES) or b""
        if b"NEVERMIND" not in self.frames.buffer + data and not self.frames.strings:
            return False
        return any(self.cancelled_tag(strings) == tag for strings in self.frames.preview(data))
