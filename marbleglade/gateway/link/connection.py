"""One connection of a link: reads messages, writes the send queue, and closes when the peer is silent."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import gevent
from gevent import socket

from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...runtime.loop_monitor import LoopMonitor
from ...runtime.units import SECOND_NS
from ...transport.arrival import ArrivalBound
from ...transport.sockets import READ_BUFFER, read_chunks, send_now, set_options
from .flow_control import MAX_CHUNK_BYTES, FlowControlError, OutgoingChunk, SendQueue
from .frames import InvalidLinkFrameError, LinkFrameDecoder, encode, encode_chunk
from .messages import FRAME_FIELDS, CreditGrant, Heartbeat, Hello, LinkMessage

MAX_SEND_BUFFER_BYTES = 4 * MAX_CHUNK_BYTES  # unsent bytes in the kernel that a control frame may wait for
CONNECTION_WINDOW_BYTES = 64 * MAX_CHUNK_BYTES  # the most bytes of bodies in flight on one connection
INITIAL_CREDIT_BYTES = MAX_CHUNK_BYTES  # bytes of each body that may be sent before credit is granted
DELAY_TARGET_DIVISOR = 4  # the accepted queueing delay is this fraction (1/n) of the silence timeout
# Received bytes after which credit is returned to the sender. From the first threshold on it is sent at once
# if the sender may be waiting for it, else with the next frame; from the second on it is always sent at once.
CREDIT_URGENT_BYTES = MAX_CHUNK_BYTES // 4
CREDIT_BATCH_BYTES = 4 * MAX_CHUNK_BYTES
CLOSE_POLLS_PER_TIMEOUT = 32  # checks of the send queue per silence timeout, before a connection is closed

# The handler of each type of message; an exception raised by a handler closes the connection.
MessageHandlers = Mapping[type[LinkMessage], Callable[..., None]]


class LinkConnection:
    """One connection between two gateways; used by both the side that opened it and the one that accepted it.

    The connection is closed when nothing is received for the silence timeout, or the send queue has not been
    written completely for twice that time. Time for which this process was delayed does not count as silence.

    Args:
        sock: The connected socket.
        silence_timeout_ns: The silence timeout, ns.
        guard: Provides the log and the counters; records exceptions.
        loop_monitor: Measures for how long this process was delayed.

    Attributes:
        frames: Decodes the received bytes.
        send_queue: Frames and bodies that wait to be written.
        received_at: When bytes were last received, ns.
        earliest_arrival: The earliest moment at which the last received bytes may have arrived, ns.
        closed: True once the connection was closed.
        close_reason: Why the connection was closed, for the log; empty while it is open.
    """

    def __init__(
        self,
        sock: socket.socket,
        silence_timeout_ns: int,
        guard: ErrorGuard,
        loop_monitor: LoopMonitor,
    ) -> None:
        self.sock = sock
        self._silence_timeout_ns = silence_timeout_ns
        self._guard = guard
        self._counters = guard.counters
        self._loop_monitor = loop_monitor
        self._event_loop = gevent.get_hub().loop
        self.frames = LinkFrameDecoder()
        self.send_queue = SendQueue(
            CONNECTION_WINDOW_BYTES, INITIAL_CREDIT_BYTES, silence_timeout_ns // DELAY_TARGET_DIVISOR
        )
        self.received_at = clock.now()
        self._total_delay_at_receipt = loop_monitor.total_delay_until(self.received_at)
        self._flushed_at = self.received_at  # when the send queue was last written completely
        self._arrivals = ArrivalBound(loop_monitor, loop_monitor.last_tick)
        self.earliest_arrival = self.received_at
        self._flushing = False
        self._unwritten = b""
        self._uncredited_bytes = 0  # bytes of bodies received for which no credit was returned yet
        self._ignores_messages = False
        self._peer_heartbeat_sent_ns = 0  # by the peer's clock, Unix ns; 0: none received
        self._peer_heartbeat_received_ns = 0  # by this gateway's clock, Unix ns
        self.closed = False
        self.close_reason = ""
        options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_SEND_BUFFER_BYTES),
        ]
        set_options(sock, options, lambda: self._counters.add("link.option_failed"))

    def apply_peer_windows(self, hello: Hello) -> None:
        """Limit what is sent to the initial credit and the window that the peer announced."""
        self.send_queue.initial_credit = min(hello.opening, INITIAL_CREDIT_BYTES)
        self.send_queue.send_window.window = min(hello.window, CONNECTION_WINDOW_BYTES)

    # Writing

    def send(self, message: LinkMessage) -> None:
        """Queue a message and schedule a write; do nothing on a closed connection."""
        self.send_later(message)
        self._schedule_flush()

    def send_later(self, message: LinkMessage) -> None:
        """Queue a message to be written together with the next message or heartbeat."""
        if self.closed:
            return
        try:
            self.send_queue.put_frame(encode(message))
        except FlowControlError:
            self.close("overrun")

    def send_body(self, number: int, body: bytes, offset: int = 0) -> None:
        """Queue the body of a forwarded request or of its response, from `offset` on."""
        self.send_queue.put_body(number, body, offset)
        self._schedule_flush()

    def send_heartbeat(self, discovery_lost: bool = False) -> None:
        """Send a heartbeat.

        Args:
            discovery_lost: This region's discovery service is silent, so purges may be missing.
        """
        self.send(
            Heartbeat(
                sent_ns=clock.unix_ns(),
                echo_ns=self._peer_heartbeat_sent_ns,
                came_ns=self._peer_heartbeat_received_ns,
                deaf=discovery_lost,
            )
        )

    def grant_credit_for(self, size: int, more_expected: bool) -> None:
        """Return credit for received bytes to their sender, for several chunks at a time.

        Args:
            size: Bytes of a body that were received.
            more_expected: The body is incomplete, so that its sender may be waiting for credit.
        """
        self._uncredited_bytes += size
        if self._uncredited_bytes >= (CREDIT_URGENT_BYTES if more_expected else CREDIT_BATCH_BYTES):
            self._grant_credit(self.send)
        elif not more_expected and self._uncredited_bytes >= CREDIT_URGENT_BYTES:
            self._grant_credit(self.send_later)

    def _grant_credit(self, send: Callable[[LinkMessage], None]) -> None:
        send(CreditGrant(number=0, bytes=self._uncredited_bytes))
        self._uncredited_bytes = 0

    def _schedule_flush(self) -> None:
        """Schedule a write for when the current greenlet yields, so that its messages go out together."""
        if not self._flushing and not self.closed:
            self._flushing = True
            self._event_loop.run_callback(self._flush)

    def _flush(self) -> None:
        """Write as much as the socket accepts without blocking; a greenlet writes the rest."""
        try:
            while not self.closed:
                data = self._take_next_write()
                if not data:
                    break
                sent = send_now(self.sock, data)
                if sent < len(data):
                    self._unwritten = data[sent:]
                    gevent.spawn(self._write_unwritten)
                    return  # the greenlet continues the flush
        except OSError:
            self.close("write")
        except Exception as error:
            self._guard.record("link", error)
            self.close("exception")
        self._flushing = False
        self._flushed_at = clock.now()

    def _write_unwritten(self) -> None:
        try:
            self.sock.sendall(self._unwritten)
            self._unwritten = b""
        except OSError:
            self.close("write")
        else:
            self._flush()

    def _take_next_write(self) -> bytes:
        """Remove the frames and chunks of the next write from the queue, and return their bytes."""
        parts: list[bytes | memoryview] = []
        size = 0
        while size < MAX_SEND_BUFFER_BYTES and (item := self.send_queue.next_item(clock.now())):
            if isinstance(item, OutgoingChunk):
                header, data = encode_chunk(item.number, item.offset, item.data)
                parts.append(header)
                parts.append(data)
                size += len(header) + len(data)
                self._counters.add("link.chunks")
            else:
                parts.append(item)
                size += len(item)
        return b"".join(parts)

    # Reading

    def read_until_closed(self, handlers: MessageHandlers) -> None:
        """Pass messages to their handlers until the connection is closed; then `close_reason` is set."""
        try:
            self.sock.settimeout(None)
            for data in read_chunks(self.sock):
                self.earliest_arrival = self._arrivals.record_read(len(data) < len(READ_BUFFER))
                self.received_at = clock.now()
                self._total_delay_at_receipt = self._loop_monitor.total_delay_until(self.received_at)
                for message in self.frames.feed(data):
                    self._handle(message, handlers)
                    if self.closed:
                        return
                self._arrivals.start_waiting()
            self.close("closed")
        except (InvalidLinkFrameError, FlowControlError) as error:
            self.close(f"bad: {error}")
        except OSError:
            self.close("reset")
        except Exception as error:
            self._guard.record("link", error)
            self.close("exception")

    def _handle(self, message: LinkMessage, handlers: MessageHandlers) -> None:
        if isinstance(message, CreditGrant):
            self.send_queue.add_credit(message.number, message.bytes, self.received_at)
            self._schedule_flush()
            return
        if isinstance(message, Heartbeat):
            self._peer_heartbeat_sent_ns = message.sent_ns
            self._peer_heartbeat_received_ns = clock.unix_ns()
        if self._ignores_messages:
            return
        handler = handlers.get(type(message))
        if handler is None:
            raise InvalidLinkFrameError(
                f"{FRAME_FIELDS[type(message)]} message from the wrong side of the link"
            )
        handler(message)

    # Closing

    def ignore_messages(self) -> None:
        """Drop all further messages; for a connection that was refused and is about to be closed."""
        self._ignores_messages = True

    def check_liveness(self) -> None:
        """Close the connection if the peer is silent or does not read; to be called periodically."""
        now = clock.now()
        delayed_ns = self._loop_monitor.total_delay_until(now) - self._total_delay_at_receipt
        if now - self.received_at - delayed_ns > self._silence_timeout_ns:
            self.close("silent")
        elif self._unwritten and now - self._flushed_at > 2 * self._silence_timeout_ns:
            self.close("stuck")

    def close(self, reason: str) -> None:
        """Close the connection; later calls do nothing.

        Args:
            reason: The reason for the log; the part before its first colon is the name of the counter.
        """
        if self.closed:
            return
        self.closed = True
        self.close_reason = reason
        self._counters.add(f"link.{reason.partition(':')[0]}")
        self.sock.close()

    def close_after_flush(self) -> None:
        """Close the connection once the send queue is written, or after the silence timeout."""
        gevent.spawn(self._flush_and_close)

    def _flush_and_close(self) -> None:
        timeout_s = self._silence_timeout_ns / SECOND_NS
        with gevent.Timeout(timeout_s, False):
            while not self.closed and self._has_unwritten():
                gevent.sleep(timeout_s / CLOSE_POLLS_PER_TIMEOUT)
        self.close("ended")

    def _has_unwritten(self) -> bool:
        return bool(self.send_queue.control_frames or self.send_queue.bodies or self._flushing)
