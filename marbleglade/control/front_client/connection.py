"""A connection from a front to a control node."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Protocol

import gevent
from gevent import socket

from ...model.watch_event import Heartbeat
from ...runtime import clock
from ...runtime.loop_monitor import LoopMonitor
from ...runtime.units import SECOND_NS
from ...transport.arrival import ArrivalBound
from ...transport.half_close import unread_input
from ...transport.sockets import READ_BUFFER, receive_available, send_now
from ...transport.watch_connection import MAX_PENDING_READS, MAX_UNREAD_NS
from ..line_buffer import LineBuffer
from ..messages import (
    EventsApplied,
    Follow,
    FrontHello,
    Greeting,
    InvalidLineError,
    LoadView,
    NumberedEvent,
    Request,
    StreamLine,
    decode_stream_line,
    encode_request,
)
from ..settings import NodeSettings
from .client_status import ConnectionStatus
from .stream_progress import StreamProgress

CONNECT_TIMEOUT_S = 1.0
MIN_WAIT_S = 0.001  # data that has been received is read before the node is treated as silent
LINES_PER_TURN = 32  # handled before the connection yields to other greenlets


class NotAControlNodeError(Exception):
    """The server is not the expected control node of this deployment; the message states the reason."""


class SilentNodeError(Exception):
    """The node sent no complete line within the silence timeout."""


def check_greeting(message: StreamLine, deployment: str, node: str) -> Greeting:
    """Check that the first line of a server is the greeting of the expected node, and return it.

    Raises:
        NotAControlNodeError: The line is not a greeting, or names another deployment or node.
    """
    if not isinstance(message, Greeting):
        raise NotAControlNodeError("the first line is not a greeting")
    if message.deployment != deployment:
        raise NotAControlNodeError(
            f"the server belongs to deployment {message.deployment}, expected {deployment}"
        )
    if message.node != node:
        raise NotAControlNodeError(f"the server is node {message.node}, expected {node}")
    return message


class NodeListener(Protocol):
    """Handles the messages of a connection. An exception raised by a method ends the connection."""

    def on_greeting(self, connection: NodeConnection, greeting: Greeting) -> None:
        """Handle the greeting of the node."""

    def on_event(self, connection: NodeConnection, event: NumberedEvent) -> None:
        """Handle an event."""

    def on_heartbeat(self, connection: NodeConnection, index: int) -> None:
        """Handle a heartbeat with the index of the last event of the node."""

    def on_load_view(self, connection: NodeConnection, data: bytes) -> None:
        """Handle a load view for this front, in the encoding that fronts use between each other."""


class NodeConnection:
    """Follows one node until the connection ends.

    Args:
        node: The node to connect to.
        progress: How far the node's stream was applied; kept from one connection to the next.
        hello: The front's name and start; its stream is replaced by the one to resume.
        deployment: The deployment that the node must be part of.
        silence_timeout: Nanoseconds without a complete line after which the node counts as silent.
        listener: Handles the messages of the node.
        loop: Monitor of the event loop.

    Attributes:
        greeted: Whether the node has greeted the front.
        current: Whether the front has caught up with the node at least once on this connection.
        listed: Whether the node has sent a complete list of caches, or the front has caught up with it.
        closed_as_surplus: Whether the connection was closed because it is no longer needed.
        confirming: Whether applied events are confirmed to the node.
        last_line_at: When the last line other than a load view was handled, in nanoseconds. The time of
            connecting before the first such line, 0 before that.
    """

    def __init__(
        self,
        node: NodeSettings,
        progress: StreamProgress,
        hello: FrontHello,
        deployment: str,
        silence_timeout: int,
        listener: NodeListener,
        loop: LoopMonitor,
    ) -> None:
        self.node = node
        self.progress = progress
        self._listener = listener
        self._hello = hello
        self._deployment = deployment
        self._silence_timeout = silence_timeout
        self._sock: socket.socket | None = None
        self._arrivals = ArrivalBound(loop, loop.last_tick)
        self._buffer = LineBuffer()
        self._lines: deque[bytes] = deque()  # complete lines that were not handled yet
        self._error: Exception | None = None  # from `apply_pending_events`, for `run` to raise
        self.greeted = False
        self.current = False
        self.listed = False
        self.closed_as_surplus = False
        self.confirming = True
        self.last_line_at = 0

    def run(self) -> None:
        """Connect, and handle lines until the connection ends, which always raises an exception.

        Raises:
            OSError: Connecting failed, or the connection was closed.
            InvalidLineError: The node sent an invalid line.
            SilentNodeError: The node sent no complete line within the silence timeout.
            SequenceError: The indices of the stream have a gap or decrease.
            NotAControlNodeError: The server is not the expected control node of this deployment.
        """
        sock = self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect(self.node.address)
            stream, last = self.progress.resume_from()
            hello = FrontHello(self._hello.name, self._hello.start_ms, stream)
            sock.sendall(encode_request(hello) + encode_request(Follow(last)))
            self.last_line_at = clock.now()
            self._read(sock)
        except OSError as error:
            if self._error:
                raise self._error from error
            raise
        finally:
            self._sock = None
            sock.close()

    def close(self) -> None:
        """Close the connection from another greenlet."""
        if self._sock:
            self._sock.close()

    def send(self, request: Request) -> None:
        """Send one line without blocking; close the connection if the send buffer has no room for it."""
        if not self._sock:
            return
        line = encode_request(request)
        try:
            if send_now(self._sock, line) < len(line):
                self._sock.close()
        except OSError:
            self._sock.close()

    def apply_pending_events(self) -> None:
        """Handle lines that may have been waiting unread in the receive buffer for too long."""
        following = self._sock and self.last_line_at
        if not following or not self._arrivals.may_be_unread_longer_than(clock.now(), MAX_UNREAD_NS):
            return
        try:
            for _ in range(MAX_PENDING_READS):
                self._handle_lines()
                if not unread_input(self._sock).readable or not (data := receive_available(self._sock)):
                    return  # `run` handles the end of the stream
                self._lines += self._buffer.split(data)
        except Exception as error:
            self._error = error  # raised by `run`
            self.close()

    def status(self) -> ConnectionStatus:
        """Return the fields for the periodic `counters` log event."""
        return {
            "node": self.node.name,
            "greeted": self.greeted,
            "current": self.current,
            "stream": self.progress.stream,
            "applied": self.progress.confirmable_index,
            "snapshot_to": self.progress.snapshot_to,
        }

    def _read(self, sock: socket.socket) -> None:
        for data in self._chunks(sock):
            self._lines += self._buffer.split(data)
            while self._lines:
                self._handle_lines(LINES_PER_TURN)
                if self._lines:
                    gevent.sleep(0)
            if clock.now() - self.last_line_at > self._silence_timeout:
                raise SilentNodeError("no complete line within the silence timeout")
            self._confirm()

    def _chunks(self, sock: socket.socket) -> Iterator[bytes]:
        """Yield received data, or empty bytes when a confirmation is due or the node may be silent."""
        while True:
            sock.settimeout(self._wait_seconds())
            try:
                data: memoryview | None = READ_BUFFER[: sock.recv_into(READ_BUFFER)]
            except TimeoutError:
                # After a pause of this process the timeout fires before unread data is noticed. Without this
                # read the node would be treated as silent.
                data = receive_available(sock)
            if data is None:
                yield b""
                continue
            if not data:
                raise ConnectionResetError("the node closed the connection")
            self._arrivals.record_read(len(data) < len(READ_BUFFER))
            yield bytes(data)
            self._arrivals.start_waiting()

    def _wait_seconds(self) -> float:
        """Return the seconds until a confirmation is due or the silence timeout of the node ends."""
        now = clock.now()
        wake_at = self.last_line_at + self._silence_timeout
        confirmation_at = self.progress.next_confirmation_at() if self._may_confirm() else None
        if confirmation_at is not None:
            wake_at = min(wake_at, confirmation_at)
        return max(MIN_WAIT_S, (wake_at - now) / SECOND_NS)

    def _handle_lines(self, limit: int | None = None) -> None:
        """Handle the next lines in order, at most `limit` of them, or all lines if `limit` is None."""
        count = len(self._lines) if limit is None else min(limit, len(self._lines))
        for _ in range(count):
            self._handle_line(self._lines.popleft())

    def _handle_line(self, line: bytes) -> None:
        message = decode_stream_line(line)
        # Load views don't show that the node is up to date: it also sends them while it receives nothing from
        # its discovery service.
        if not isinstance(message, LoadView):
            self.last_line_at = clock.now()
        if not self.greeted:
            self._handle_greeting(message)
        elif isinstance(message, Heartbeat):
            self._listener.on_heartbeat(self, message.index)
        elif isinstance(message, LoadView):
            self._listener.on_load_view(self, message.data)
        elif isinstance(message, Greeting):
            raise InvalidLineError("received a second greeting on one connection")
        else:
            self._listener.on_event(self, message)

    def _handle_greeting(self, message: StreamLine) -> None:
        greeting = check_greeting(message, self._deployment, self.node.name)
        self.progress.begin(greeting)
        self.greeted = True
        self._listener.on_greeting(self, greeting)

    def _confirm(self) -> None:
        if not self._may_confirm():
            return
        index = self.progress.take_confirmation(clock.now())
        if index is not None:
            self.send(EventsApplied(index))

    def _may_confirm(self) -> bool:
        return self.greeted and self.confirming
