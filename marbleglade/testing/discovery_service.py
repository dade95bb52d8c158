"""Stand-in discovery service: sends numbered events to all watchers, and the last number once a second."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress

import gevent
import orjson
from gevent import socket

from .cache_server import StandInUpstream
from .sockets import ANY_PORT, address_text, listening_socket

HEARTBEAT_SECONDS = 1.0
MAX_READ_BYTES = 64


class DiscoveryService:
    """Serves the discovery protocol to any number of watchers.

    Args:
        zone: Zone of all announced upstreams.
        address: Listen address.

    Attributes:
        event_lines: Encoded events; event number n is at index n - 1.
        watchers: Connections that receive events.
        silent: While true, existing watchers receive neither events nor heartbeats.
    """

    def __init__(self, zone: str = "hubs", address: tuple[str, int] = ANY_PORT) -> None:
        self.zone = zone
        self.event_lines: list[bytes] = []
        self.watchers: set[socket.socket] = set()
        self.silent = False
        self.listener = listening_socket(address)
        self.address: tuple[str, int] = self.listener.getsockname()
        self._loops = [gevent.spawn(self._accept), gevent.spawn(self._send_heartbeats)]

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            gevent.spawn(self._follow, sock)

    def _follow(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError):
            line = b""
            while not line.endswith(b"\n"):
                data = sock.recv(MAX_READ_BYTES)
                if not data:
                    return
                line += data
            last_index = int(line.split()[1])
            self._send_first_events(sock, last_index)
            while sock.recv(MAX_READ_BYTES):
                pass
        self.watchers.discard(sock)
        sock.close()

    def _send_first_events(self, sock: socket.socket, last_index: int) -> None:
        sock.sendall(b"".join(self.event_lines[last_index:]) + self._heartbeat())
        self.watchers.add(sock)

    def _heartbeat(self) -> bytes:
        return b"%d\n" % len(self.event_lines)

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            self._broadcast(self._heartbeat())

    def _broadcast(self, line: bytes) -> None:
        for sock in [] if self.silent else list(self.watchers):
            with suppress(OSError):
                sock.sendall(line)

    def _publish(self, **content: object) -> None:
        line = orjson.dumps({"index": len(self.event_lines) + 1} | content) + b"\n"
        self.event_lines.append(line)
        self._broadcast(line)

    def announce(
        self,
        upstreams: Iterable[tuple[StandInUpstream, str]],
        full_list: bool = False,
        state: str = "active",
        started_ms: int = 0,
    ) -> None:
        """Publish entries of the endpoint list for stand-in upstreams.

        Args:
            upstreams: Pairs of an upstream and its kind.
            full_list: Whether the entries replace the whole list; otherwise they update it.
            state: State of these upstreams: "active", "leaving" or "left".
            started_ms: Start time of these upstreams in Unix ms; 0 for unknown.
        """
        entries = [self._entry(one.id, one.address, kind, state, started_ms) for one, kind in upstreams]
        self._publish_list(entries, full_list)

    def announce_address(
        self,
        id: str,
        address: tuple[str, int],
        kind: str,
        full_list: bool = False,
        state: str = "active",
        started_ms: int = 0,
    ) -> None:
        """Publish an upstream that is not a stand-in, or has a proxy in front of it; see `announce`."""
        self._publish_list([self._entry(id, address, kind, state, started_ms)], full_list)

    def _entry(
        self, id: str, address: tuple[str, int], kind: str, state: str, started_ms: int
    ) -> dict[str, object]:
        return {
            "id": id,
            "addr": address_text(address),
            "zone": self.zone,
            "kind": kind,
            "cell": 0,
            "state": state,
            "weight": 1,
            "started_ms": started_ms,
        }

    def _publish_list(self, entries: list[dict[str, object]], full_list: bool) -> None:
        version = len(self.event_lines) + 1
        self._publish(endpoints={"version": version, "full": full_list, "servers": entries})

    def purge(self, object_id: int, group: int, unix_ms: int) -> None:
        """Publish a purge of an object, or of a group if `object_id` is 0."""
        target = {"ref": f"{object_id:016x}"} if object_id else {"shard": group}
        self._publish(evict=target | {"unix_ms": unix_ms})

    def restart_numbering(self) -> None:
        """Delete all events, so that event numbers start from 1 again, and close all connections."""
        self.event_lines.clear()
        self._close_connections()
        self.watchers.clear()

    def close(self) -> None:
        """Close all sockets at once, as when the process is killed."""
        gevent.killall(self._loops)
        self.listener.close()
        self._close_connections()

    def _close_connections(self) -> None:
        for sock in list(self.watchers):
            sock.close()
