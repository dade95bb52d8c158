"""One connection from a front to a control node."""

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
MIN_WAIT_S = 0.001  # so that received data is read before a node counts as silent
LINES_PER_TURN = 32  # before other greenlets run


class NotAControlNodeError(Exception):
    """The server is no control node of this deployment; the message has the reason."""


class SilentNodeError(Exception):
    """The node sent no complete line for too long."""


def check_greeting(message: StreamLine, deployment: str, node: str) -> Greeting:
    """Check and return the first line of a node.

    Raises:
        NotAControlNodeError: It is no greeting of that node and deployment.
    """
    if not isinstance(message, Greeting):
        raise NotAControlNodeError("its first line is no greeting")
    if message.deployment != deployment:
        raise NotAControlNodeError(f"it serves the deployment {message.deployment}")
    if message.node != node:
        raise NotAControlNodeError(f"it is the node {message.node}")
    return message


class NodeListener(Protocol):
    """Handles the lines of a connection. An exception that it raises ends the connection."""

    def on_greeting(self, connection: NodeConnection, greeting: Greeting) -> None:
        """The node greeted the front."""

    def on_event(self, connection: NodeConnection, event: NumberedEvent) -> None:
        """The node sent an event."""

    def on_heartbeat(self, connection: NodeConnection, index: int) -> None:
        """The node sent the index of its last event."""

    def on_load_view(self, connection: NodeConnection, data: bytes) -> None:
        """The node sent the load view for this front, encoded as between fronts."""


class NodeConnection:
    """Follows one node until the connection ends.

    Args:
        node: Where to connect.
        progress: How far this node's stream was applied; survives the connection.
        hello: The front's name and start; the stream is filled in here.
        deployment: The deployment that the node must serve.
        silence_timeout: Nanoseconds without a complete line after which the node counts as silent.
        listener: Receives what the node sends.
        loop: The monitored event loop.

    Attributes:
        greeted: The node has greeted the front.
        current: Everything that the node had was applied at some time.
        listed: The node sent a complete list, or everything that it had was applied.
        released: It is closed as surplus.
        confirming: Applied events are confirmed.
        last_line_at: When the last line arrived that proves the node alive, in nanoseconds; 0: none yet.
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
        self._lines: deque[bytes] = deque()  # complete, and not handled yet
        self._error: Exception | None = None  # raised by `apply_pending_events`
        self.greeted = False
        self.current = False
        self.listed = False
        self.released = False
        self.confirming = True
        self.last_line_at = 0

    def run(self) -> None:
        """Connect, and handle lines until the connection ends; it always ends with an exception.

        Raises:
            OSError: The connection failed or was closed.
            InvalidLineError: The node sent an invalid line.
            SilentNodeError: The node sent no complete line for too long.
            SequenceError: The indices of the stream have a gap.
            NotAControlNodeError: The server is no control node of this deployment.
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
        """Send one line without waiting; the connection is closed if the send buffer is full."""
        if not self._sock:
            return
        line = encode_request(request)
        try:
            if send_now(self._sock, line) < len(line):
                self._sock.close()
        except OSError:
            self._sock.close()

    def apply_pending_events(self) -> None:
        """Handle lines that have reached this machine and may have been unread for long."""
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
            self._error = error  # `run` raises it
            self.close()

    def status(self) -> ConnectionStatus:
        """Return the state for the log line of counters."""
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
                raise SilentNodeError("no complete line")
            self._confirm()

    def _chunks(self, sock: socket.socket) -> Iterator[bytes]:
        """Yield received bytes; none when a confirmation is due or the node may be silent."""
        while True:
            sock.settimeout(self._wait_s())
            try:
                data: memoryview | None = READ_BUFFER[: sock.recv_into(READ_BUFFER)]
            except TimeoutError:
                # After a pause of this process the timeout fires before unread data is seen, and the node
                # would count as silent.
                data = receive_available(sock)
            if data is None:
                yield b""
                continue
            if not data:
                raise ConnectionResetError("closed by the node")
            self._arrivals.record_read(len(data) < len(READ_BUFFER))
            yield bytes(data)
            self._arrivals.start_waiting()

    def _wait_s(self) -> float:
        """Return the seconds until a confirmation is due or the node counts as silent."""
        now = clock.now()
        wake_at = self.last_line_at + self._silence_timeout
        confirmation_at = self.progress.next_confirmation_at() if self._may_confirm() else None
        if confirmation_at is not None:
            wake_at = min(wake_at, confirmation_at)
        return max(MIN_WAIT_S, (wake_at - now) / SECOND_NS)

    def _handle_lines(self, limit: int | None = None) -> None:
        """Handle `limit` lines in their order, or all."""
        count = len(self._lines) if limit is None else min(limit, len(self._lines))
        for _ in range(count):
            self._handle_line(self._lines.popleft())

    def _handle_line(self, line: bytes) -> None:
        message = decode_stream_line(line)
        # A node sends load views also while it receives nothing of its discovery service.
        if not isinstance(message, LoadView):
            self.last_line_at = clock.now()
        if not self.greeted:
            self._handle_greeting(message)
        elif isinstance(message, Heartbeat):
            self._listener.on_heartbeat(self, message.index)
        elif isinstance(message, LoadView):
            self._listener.on_load_view(self, message.data)
        elif isinstance(message, Greeting):
            raise InvalidLineError("a second greeting")
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
