"""A stand-in for a discovery service with hundreds of followers, which can inject faults.

It can stop sending to followers, send a partial line and restart its event numbers. Each follower has its own
greenlet, so that a slow reader does not delay the others.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field

import gevent
import orjson
from gevent import socket
from gevent.event import Event

from marbleglade.testing.sockets import listening_socket

from .messages.common import ServerEntry

HEARTBEAT_INTERVAL_S = 1.0
BATCH_EVENTS = 256  # most events in one write to a follower
MAX_FOLLOW_LINE_BYTES = 64  # of the request line that a follower sends
FOLLOW_TIMEOUT_S = 5.0  # until a follower has sent its position


@dataclass(eq=False)
class Follower:
    """One connection of a follower.

    Attributes:
        sock: The connection.
        number: Ordinal number of the connection.
        position: Number of the last event that was sent.
        heartbeat_due: Whether a heartbeat is to be sent.
        silent: Whether nothing is sent, though the connection stays open.
        wake: Wakes the writer.
    """

    sock: socket.socket
    number: int
    position: int = 0
    heartbeat_due: bool = True
    silent: bool = False
    wake: Event = field(default_factory=Event)


class DiscoveryService:
    """One region's discovery service on loopback."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.endpoint_list: list[ServerEntry] = []
        self.followers: set[Follower] = set()
        self.accepted_count = 0
        self.silent_reconnections = 0
        self.bytes_out = 0
        self.listener = listening_socket()
        self.listener.listen(2048)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.loops = [gevent.spawn(self._accept), gevent.spawn(self._send_heartbeats)]

    def publish_caches(self, servers: list[ServerEntry]) -> None:
        """Publish a complete endpoint list."""
        self.endpoint_list = servers
        content = {"version": len(self.events) + 1, "full": True, "servers": servers}
        self._publish({"endpoints": content})

    def publish_purge(self, object_id: int, group: int, unix_ms: int) -> None:
        """Publish a purge of an object, or of a group if the object is 0."""
        target = {"ref": f"{object_id:016x}"} if object_id else {"shard": group}
        self._publish({"evict": {**target, "unix_ms": unix_ms}})

    def silence(self, one_in: int, reconnections: int) -> None:
        """Send nothing more to one in `one_in` followers and on the next `reconnections` connections.

        0 for `one_in` resumes sending to all.
        """
        for number, follower in enumerate(sorted(self.followers, key=lambda follower: follower.number)):
            follower.silent = bool(one_in) and number % one_in == 0
            follower.wake.set()
        self.silent_reconnections = reconnections

    def send_partial_line(self) -> None:
        """Write the first half of the last event to each follower and close the connections."""
        half = self.events[-1][: len(self.events[-1]) // 2] if self.events else b"{"
        for follower in list(self.followers):
            with suppress(OSError):
                follower.sock.send(half, 0, 0.0)
            follower.sock.close()

    def restart_numbering(self) -> None:
        """Restart the event numbers at 1, republish the last endpoint list and forget all purges."""
        self.events = []
        for follower in list(self.followers):
            follower.sock.close()
        if self.endpoint_list:
            self.publish_caches(self.endpoint_list)

    def _publish(self, content: dict[str, object]) -> None:
        self.events.append(orjson.dumps({"index": len(self.events) + 1} | content) + b"\n")
        for follower in self.followers:
            follower.wake.set()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        self.accepted_count += 1
        follower = Follower(sock, self.accepted_count)
        if self.silent_reconnections:
            self.silent_reconnections -= 1
            follower.silent = True
        reader = None
        try:
            follower.position = self._read_position(sock)
            self.followers.add(follower)
            reader = gevent.spawn(self._read_until_closed, follower)
            self._write(follower)
        except (OSError, ValueError, IndexError):
            pass
        finally:
            self.followers.discard(follower)
            sock.close()
            if reader:
                reader.kill(block=False)

    @staticmethod
    def _read_position(sock: socket.socket) -> int:
        sock.settimeout(FOLLOW_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = b""
        while not line.endswith(b"\n"):
            data = sock.recv(MAX_FOLLOW_LINE_BYTES)
            if not data or len(line) > MAX_FOLLOW_LINE_BYTES:
                raise ValueError("the follower sent no complete line with its position")
            line += data
        sock.settimeout(None)
        return int(line.split()[1])

    def _read_until_closed(self, follower: Follower) -> None:
        with suppress(OSError):
            while follower.sock.recv(MAX_FOLLOW_LINE_BYTES):
                pass
        follower.sock.close()
        follower.wake.set()

    def _write(self, follower: Follower) -> None:
        while not follower.sock.closed:
            follower.wake.clear()
            if not follower.silent:
                lines = self.events[follower.position : follower.position + BATCH_EVENTS]
                follower.position = max(follower.position, 0) + len(lines)
                data = b"".join(lines)
                if follower.heartbeat_due and follower.position >= len(self.events):
                    follower.heartbeat_due = False
                    data += b"%d\n" % len(self.events)
                if data:
                    follower.sock.sendall(data)
                    self.bytes_out += len(data)
                if follower.position < len(self.events):
                    continue
            follower.wake.wait()

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            for follower in self.followers:
                follower.heartbeat_due = True
                follower.wake.set()
