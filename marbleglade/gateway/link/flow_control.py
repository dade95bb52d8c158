"""Flow control of a link, without I/O: the order of writes, and how many bytes may be in flight.

The receiver grants credit for each body and acknowledges bytes for the connection as a whole. Control frames
(frames without bodies, such as purges) are written first, then chunks of the bodies in round-robin order. A
long body therefore delays neither control frames nor short bodies.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

MAX_CHUNK_BYTES = 16_384
MIN_CHUNK_DIVISOR = 4  # the smallest chunk is this fraction (1/n) of the largest
MAX_QUEUED_BYTES = 1 << 22  # the most bytes of control frames in the send queue
ROUND_TRIP_GROWTH_DIVISOR = 64  # one slower round trip may raise the shortest one by this fraction (1/n)


class FlowControlError(Exception):
    """The peer violated flow control or does not read. The connection has to be closed."""


class SendWindow:
    """Limits the bytes of bodies in flight on one connection.

    The limit grows while the round trip exceeds the shortest one by at most `delay_target_ns`; a longer round
    trip halves it. This keeps queues in the network short.

    Args:
        window: The greatest value of `limit`, bytes.
        delay_target_ns: The accepted queueing delay, which is added to the shortest round trip, ns.

    Attributes:
        limit: Bytes that may be in flight at present.
        in_flight_bytes: Bytes sent and not acknowledged.
        unacknowledged: For each unacknowledged chunk, the time of sending, ns, and `sent_bytes` after it.
        sent_bytes: All bytes sent so far.
        acknowledged_bytes: All bytes acknowledged so far.
        reduced_at: When the limit was last halved, ns.
        min_round_trip_ns: The shortest round trip, ns; longer ones raise it slowly. 0: none was measured.
    """

    def __init__(self, window: int, delay_target_ns: int) -> None:
        self.window = window
        self.delay_target_ns = delay_target_ns
        self.min_limit = MAX_CHUNK_BYTES // 2
        self.limit = min(window, MAX_CHUNK_BYTES)
        self.in_flight_bytes = 0
        self.unacknowledged: deque[tuple[int, int]] = deque()
        self.sent_bytes = 0
        self.acknowledged_bytes = 0
        self.reduced_at = 0
        self.min_round_trip_ns = 0

    @property
    def chunk_bytes(self) -> int:
        """The greatest size of the next chunk; small on a slow link, so that heartbeats get in between."""
        return max(MAX_CHUNK_BYTES // MIN_CHUNK_DIVISOR, min(MAX_CHUNK_BYTES, self.limit // 4))

    @property
    def available_bytes(self) -> int:
        """Bytes that may be sent now."""
        return self.limit - self.in_flight_bytes

    def record_sent(self, size: int, now: int) -> None:
        """Count a chunk of `size` bytes that was sent at `now`, ns."""
        self.in_flight_bytes += size
        self.sent_bytes += size
        self.unacknowledged.append((now, self.sent_bytes))

    def record_acknowledged(self, size: int, now: int) -> None:
        """Count bytes that were acknowledged at `now`, ns, and adapt the limit.

        Raises:
            FlowControlError: More bytes were acknowledged than are in flight, or no bytes.
        """
        if size <= 0 or size > self.in_flight_bytes:
            raise FlowControlError(f"{size} bytes acknowledged with {self.in_flight_bytes} in flight")
        self.in_flight_bytes -= size
        self.acknowledged_bytes += size
        round_trip = self._round_trip(now)
        if round_trip > self.min_round_trip_ns + self.delay_target_ns:
            # Reduced at most once per round trip, because all bytes in flight were sent under the same limit.
            if now - self.reduced_at > round_trip:
                self.limit = max(self.min_limit, self.limit // 2)
                self.reduced_at = now
        else:
            self.limit = min(self.window, self.limit + size)

    def _round_trip(self, now: int) -> int:
        """Remove the newly acknowledged chunks and update the shortest round trip.

        Returns:
            The round trip of the last of these chunks, ns; 0 if no chunk was newly acknowledged in full.
        """
        round_trip = 0
        while self.unacknowledged and self.unacknowledged[0][1] <= self.acknowledged_bytes:
            round_trip = now - self.unacknowledged.popleft()[0]
        if not round_trip:
            return 0
        shortest = self.min_round_trip_ns
        if shortest:
            self.min_round_trip_ns = min(round_trip, shortest + shortest // ROUND_TRIP_GROWTH_DIVISOR)
        else:
            self.min_round_trip_ns = round_trip
        return round_trip


@dataclass(slots=True, eq=False)
class OutgoingBody:
    """A body that is being sent.

    Attributes:
        data: The whole body.
        offset: Where the next chunk begins; the bytes before it were sent or need not be sent.
        credit: Bytes that may be sent from `offset` on.
    """

    data: memoryview
    offset: int
    credit: int


class OutgoingChunk(NamedTuple):
    """The chunk of a body that is written next.

    Attributes:
        number: The number of the forwarded request.
        offset: Where in the body the chunk begins.
        data: The bytes of the chunk.
    """

    number: int
    offset: int
    data: memoryview


class SendQueue:
    """The frames and bodies that wait to be written on one connection.

    Args:
        window: The most bytes of bodies in flight.
        initial_credit: Bytes of a body that may be sent before the receiver grants credit.
        delay_target_ns: The accepted queueing delay, ns; see `SendWindow`.
        max_queued_bytes: The most bytes of control frames in the queue.

    Attributes:
        control_frames: Frames without bodies, in the order in which they are written.
        queued_bytes: Bytes of all control frames in the queue.
        bodies: Bodies by the number of their forwarded request, in the order of their turns.
    """

    def __init__(
        self,
        window: int,
        initial_credit: int,
        delay_target_ns: int,
        max_queued_bytes: int = MAX_QUEUED_BYTES,
    ) -> None:
        self.send_window = SendWindow(window, delay_target_ns)
        self.initial_credit = initial_credit
        self.max_queued_bytes = max_queued_bytes
        self.control_frames: deque[bytes] = deque()
        self.queued_bytes = 0
        self.bodies: OrderedDict[int, OutgoingBody] = OrderedDict()

    def put_frame(self, frame: bytes) -> None:
        """Queue a control frame.

        Raises:
            FlowControlError: The queue is full, as the peer does not read.
        """
        if self.queued_bytes + len(frame) > self.max_queued_bytes:
            raise FlowControlError(f"queued control frames exceed {self.max_queued_bytes} bytes")
        self.control_frames.append(frame)
        self.queued_bytes += len(frame)

    def put_body(self, number: int, data: bytes, offset: int = 0) -> None:
        """Queue a body from `offset` on; the message that announces it must be queued before."""
        if offset < len(data):
            self.bodies[number] = OutgoingBody(memoryview(data), offset, self.initial_credit)

    def remove_body(self, number: int) -> None:
        """Remove the rest of a body from the queue."""
        self.bodies.pop(number, None)

    def add_credit(self, number: int, size: int, now: int) -> None:
        """Add credit for a body, or count bytes of the connection as acknowledged.

        Args:
            number: The forwarded request whose body gets credit; 0: the connection's bytes are acknowledged.
            size: Bytes of credit, or bytes acknowledged.
            now: When the credit was received, ns.

        Raises:
            FlowControlError: More bytes were acknowledged than are in flight, or no bytes.
        """
        if not number:
            self.send_window.record_acknowledged(size, now)
        elif body := self.bodies.get(number):
            body.credit = min(body.credit + size, len(body.data))

    def next_item(self, now: int) -> bytes | OutgoingChunk | None:
        """Remove and return the next frame or chunk to write at `now`, ns.

        Return None if nothing is queued, no body has credit, or less than a full chunk may be in flight.
        """
        if self.control_frames:
            frame = self.control_frames.popleft()
            self.queued_bytes -= len(frame)
            return frame
        if self.send_window.available_bytes < self.send_window.chunk_bytes:
            return None
        for number, body in self.bodies.items():
            size = min(self.send_window.chunk_bytes, len(body.data) - body.offset, body.credit)
            if size > 0:
                return self._take_chunk(number, body, size, now)
        return None

    def _take_chunk(self, number: int, body: OutgoingBody, size: int, now: int) -> OutgoingChunk:
        chunk = OutgoingChunk(number, body.offset, body.data[body.offset : body.offset + size])
        body.offset += size
        body.credit -= size
        self.send_window.record_sent(size, now)
        del self.bodies[number]
        if body.offset < len(body.data):
            self.bodies[number] = body  # moves to the end of the rotation
        return chunk


class BodyReceiver:
    """Assembles a body from its chunks, and checks that its sender keeps to the credit.

    Args:
        size: Bytes of the whole body.
        offset: Where in the body the first chunk begins.
        initial_credit: Bytes that the sender may send before it is granted credit.
        data: Bytes received earlier, at least `offset`; only the first `offset` are used.

    Attributes:
        credit_end: The offset in the body up to which the sender may send.
        received_bytes: Bytes of the body received so far, including those before `offset`.
    """

    def __init__(self, size: int, offset: int, initial_credit: int, data: bytes = b"") -> None:
        self.size = size
        self.credit_end = offset + initial_credit
        self.received_bytes = offset
        self._pieces = [data[:offset]] if offset else []

    def add_chunk(self, offset: int, data: bytes) -> None:
        """Add the next chunk.

        Raises:
            FlowControlError: The chunk is empty, is not the next one, or exceeds the body or the credit.
        """
        end = offset + len(data)
        if offset != self.received_bytes or not data or end > self.size or end > self.credit_end:
            raise FlowControlError(
                f"chunk of bytes {offset} to {end} of a body, expected from {self.received_bytes} "
                f"to at most {min(self.size, self.credit_end)}"
            )
        self._pieces.append(data)
        self.received_bytes = end

    def grant_remaining(self) -> int:
        """Grant credit for the rest of the body; return the bytes granted."""
        granted = max(0, self.size - self.credit_end)
        self.credit_end += granted
        return granted

    def data(self) -> bytes:
        """Return the bytes received so far."""
        self._pieces = [b"".join(self._pieces)]
        return self._pieces[0]

    @property
    def complete(self) -> bool:
        """True once the whole body was received."""
        return self.received_bytes == self.size
