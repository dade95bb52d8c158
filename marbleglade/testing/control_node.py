"""Stand-in control node that sends fronts the events that a test publishes."""

from __future__ import annotations

from contextlib import suppress

import gevent
import orjson
from gevent import socket

from ..control.messages import ConfigurationEvent, Greeting, encode_configuration, encode_greeting
from .sockets import ANY_PORT, listening_socket

HEARTBEAT_SECONDS = 0.5


class StandInControlNode:
    """Implements the server side of the control protocol for any number of fronts.

    Args:
        name: Name of the control node.
        deployment: Name of the deployment that the node serves.
        stream: Id of the event stream that gives the event numbers their meaning.
        address: Listen address.

    Attributes:
        received_lines: All lines received from fronts, without line ends.
        event_lines: Encoded events; event number n is at index n - 1.
        silent: While true, nothing is written but connections are still accepted, as by a hung process.
        sends_heartbeats: Whether the number of the last event is sent periodically as a heartbeat.
        first_line: Line sent to new connections in place of the greeting; None for the greeting.
        snapshot_to: Value of this field in the greeting; earlier events are sent after the greeting.
        connection_count: Number of connections accepted so far.
    """

    def __init__(
        self, name: str, deployment: str, stream: str = "s1", address: tuple[str, int] = ANY_PORT
    ) -> None:
        self.name, self.deployment, self.stream = name, deployment, stream
        self.received_lines: list[str] = []
        self.event_lines: list[bytes] = []
        self.silent = False
        self.sends_heartbeats = True
        self.first_line: bytes | None = None
        self.snapshot_to = 0
        self.connection_count = 0
        self.sockets: set[socket.socket] = set()  # all connections
        self._greeted: set[socket.socket] = set()  # connections that receive events and heartbeats
        self.listener = listening_socket(address)
        self.address: tuple[str, int] = self.listener.getsockname()
        self._loops = [gevent.spawn(self._accept), gevent.spawn(self._send_heartbeats)]

    @property
    def last_index(self) -> int:
        """Number of the last event; 0 if there is none."""
        return len(self.event_lines)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.connection_count += 1
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        self.sockets.add(sock)
        with suppress(OSError, ValueError):
            for line in sock.makefile("r", encoding="utf-8"):
                self.received_lines.append(line.rstrip("\n"))
                if line.startswith("follow "):
                    self._greet(sock, int(line.split()[1]))
        self._forget(sock)
        sock.close()

    def _forget(self, sock: socket.socket) -> None:
        self.sockets.discard(sock)
        self._greeted.discard(sock)

    def _greet(self, sock: socket.socket, last_index: int) -> None:
        if self.silent:
            return
        hello_line = next(line for line in reversed(self.received_lines) if line.startswith("front "))
        if hello_line.split()[3] != self.stream:
            last_index = 0
        greeting = encode_greeting(Greeting(self.deployment, self.name, self.stream, self.snapshot_to))
        sock.sendall(greeting if self.first_line is None else self.first_line)
        sock.sendall(b"".join(self.event_lines[last_index:]) + self._heartbeat())
        self._greeted.add(sock)

    def _heartbeat(self) -> bytes:
        return b"%d\n" % self.last_index

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            if self.sends_heartbeats:
                self.broadcast(self._heartbeat())

    def broadcast(self, data: bytes) -> None:
        """Write bytes to all fronts that have received a greeting, which must be their first line."""
        for sock in [] if self.silent else list(self._greeted):
            with suppress(OSError):
                sock.sendall(data)

    def publish(self, content: dict[str, object]) -> int:
        """Publish an event; return the event number."""
        return self._append(orjson.dumps({"index": self.last_index + 1} | content) + b"\n")

    def publish_configuration(self, version: int, text: str) -> int:
        """Publish a configuration version; return the event number."""
        return self._append(encode_configuration(ConfigurationEvent(self.last_index + 1, version, text)))

    def _append(self, line: bytes) -> int:
        self.event_lines.append(line)
        self.broadcast(line)
        return self.last_index

    def purge(self, object_id: int, group: int, unix_ms: int) -> int:
        """Publish a purge of an object, or of a group if `object_id` is 0; return the event number."""
        target = {"ref": f"{object_id:016x}"} if object_id else {"shard": group}
        return self.publish({"evict": target | {"unix_ms": unix_ms}})

    def announce(self, servers: list[dict[str, object]], full_list: bool = False) -> int:
        """Publish entries of the endpoint list; return the event number."""
        version = self.last_index + 1
        return self.publish({"endpoints": {"version": version, "full": full_list, "servers": servers}})

    def drop_connections(self) -> None:
        """Close all connections."""
        for sock in list(self.sockets):
            self._forget(sock)
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def close(self) -> None:
        """Close all sockets at once, as when the process is killed."""
        gevent.killall(self._loops)
        self.listener.close()
        self.drop_connections()
