"""Discovery services that stop sending, send slowly, or send nothing at first."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from marbleglade.testing.discovery_service import DiscoveryService
from marbleglade.testing.front_settings import ZONE
from tests.harness.scripted_cache import ScriptedCache
from tests.harness.settings import endpoint_entry


class ScriptedDiscovery(DiscoveryService):
    """A discovery service that can stop sending on its open connections without closing them.

    Args:
        source: A discovery service whose events are copied.

    Attributes:
        follow_requests: The first line that a front sent on each connection.
        heartbeats: The number of heartbeats that were sent while at least one front was connected.
    """

    def __init__(self, source: DiscoveryService | None = None) -> None:
        self.follow_requests: list[str] = []
        self.silenced: list[socket.socket] = []
        self.heartbeats = 0
        super().__init__("z")
        self.event_lines = list(source.event_lines) if source else []

    def _follow(self, sock: socket.socket) -> None:
        self.follow_requests.append(sock.recv(64, socket.MSG_PEEK).decode().strip())
        super()._follow(sock)

    def _broadcast(self, line: bytes) -> None:
        self.heartbeats += line.strip().isdigit() and bool(self.watchers)
        super()._broadcast(line)

    def announce_entries(self, entries: list[dict[str, Any]], full_list: bool = False) -> None:
        """Announces an endpoint list to the connected fronts."""
        self._publish_list(entries, full_list)

    def announce_draining(self, cache: ScriptedCache) -> None:
        """Announces that a cache is draining."""
        self.announce_entries([endpoint_entry(cache.name, cache.address, cell=cache.cell, state="leaving")])

    def fall_silent(self) -> None:
        """Stops sending on all open connections without closing them; new connections are served."""
        self.silenced += self.watchers
        self.watchers.clear()

    def close(self) -> None:
        """Closes all connections."""
        super().close()
        for sock in self.silenced:
            sock.close()


class SlowDiscovery(ScriptedDiscovery):
    """A discovery service that accepts at once, but sends its events late or in pieces.

    Args:
        source: A discovery service whose events are copied.
        delay: Seconds until all events that existed at the connect are sent.
        pieces: The number of pieces in which these are sent, spread evenly over `delay`.
    """

    def __init__(self, source: DiscoveryService, delay: float, pieces: int = 1) -> None:
        self.delay, self.pieces = delay, pieces
        super().__init__(source)

    def _follow(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError, IndexError):
            last = int(sock.recv(64).split()[1])
            self.follow_requests.append(f"follow {last}")
            text = b"".join(self.event_lines[last:]) + b"%d\n" % len(self.event_lines)
            size = -(-len(text) // self.pieces)
            for start in range(0, len(text), size):
                gevent.sleep(self.delay / self.pieces)
                sock.sendall(text[start : start + size])
            self.watchers.add(sock)
            while sock.recv(64):
                pass
        self.watchers.discard(sock)
        sock.close()


class GatedDiscovery(DiscoveryService):
    """A discovery service that accepts every connection, but sends nothing before `released` is set.

    With `silence_early_connections`, connections that were accepted earlier are never served, even after
    `released` is set.
    """

    def __init__(
        self, address: tuple[str, int] = ("127.0.0.1", 0), silence_early_connections: bool = False
    ) -> None:
        self.released, self.connected, self.silence_early_connections = Event(), 0, silence_early_connections
        self.silenced: list[socket.socket] = []
        super().__init__(ZONE, address)

    def _follow(self, sock: socket.socket) -> None:
        self.connected += 1
        if self.silence_early_connections and not self.released.is_set():
            self.silenced.append(sock)
            return
        self.released.wait()
        super()._follow(sock)

    def close(self) -> None:
        """Closes all connections, including those that were never served."""
        super().close()
        for sock in self.silenced:
            sock.close()


def restarted_discovery(address: tuple[str, int], event_lines: Iterable[bytes]) -> DiscoveryService:
    """A discovery service that is restarted at an address with the given events."""
    discovery = DiscoveryService(ZONE, address)
    discovery.event_lines = list(event_lines)
    return discovery
