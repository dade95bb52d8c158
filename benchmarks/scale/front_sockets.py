"""Sockets that belong to one lightweight front, so that it can be cut off and its bytes can be counted.

A host runs many fronts in one process. Their watch clients use a socket class that finds its owner in the
spawn tree locals, which a greenlet inherits from the greenlet that spawned it.
"""

from __future__ import annotations

from types import ModuleType
from typing import TYPE_CHECKING

import gevent
from gevent import socket

from .traffic import tcp_bytes

if TYPE_CHECKING:  # gevent has no types; its socket has the methods of the standard one
    from socket import socket as gevent_socket

    from _typeshed import ReadableBuffer
else:
    from gevent.socket import socket as gevent_socket

OWNER_KEY = "owner of sockets"  # key in the spawn tree locals


class FrontSockets:
    """The sockets of one front.

    Attributes:
        open: The open sockets.
        received: Bytes of payload received on sockets that were closed.
        sent: Bytes of payload sent on sockets that were closed.
        is_cut_off: Whether every attempt to connect fails.
    """

    def __init__(self) -> None:
        self.open: set[OwnedSocket] = set()
        self.received, self.sent = 0, 0
        self.is_cut_off = False

    def own_current_greenlet(self) -> None:
        """Own all sockets opened by the current greenlet and by greenlets that it spawns."""
        gevent.getcurrent().spawn_tree_locals = {OWNER_KEY: self}

    def totals(self) -> tuple[int, int]:
        """Return the bytes of payload received and sent so far."""
        received, sent = self.received, self.sent
        for sock in self.open:
            more_received, more_sent = _payload_bytes(sock)
            received += more_received
            sent += more_sent
        return received, sent

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self.is_cut_off = True
        for sock in list(self.open):
            sock.close()

    def heal(self) -> None:
        """Allow new connections."""
        self.is_cut_off = False

    def record_closed(self, sock: OwnedSocket) -> None:
        """Remove a socket that is about to be closed, and add up its bytes."""
        if sock in self.open:
            self.open.discard(sock)
            received, sent = _payload_bytes(sock)
            self.received += received
            self.sent += sent


class OwnedSocket(gevent_socket):
    """A gevent socket of a lightweight front."""

    def __init__(self, family: int, kind: int) -> None:
        super().__init__(family, kind)
        self.owner = _current_owner()
        if self.owner:
            self.owner.open.add(self)

    def connect(self, address: tuple[object, ...] | str | ReadableBuffer) -> None:
        """Connect. Raises `ConnectionRefusedError` while the front is cut off."""
        if self.owner and self.owner.is_cut_off:
            raise ConnectionRefusedError("the front is cut off")
        super().connect(address)

    def close(self) -> None:
        """Close the socket and add its bytes to those of its owner."""
        if self.owner:
            self.owner.record_closed(self)
        super().close()


class OwnedSocketModule(ModuleType):
    """Replaces `gevent.socket` in a module whose sockets need an owner."""

    socket = OwnedSocket

    def __getattr__(self, name: str) -> object:
        return getattr(socket, name)


def install(*modules: ModuleType) -> None:
    """Make these modules create owned sockets."""
    for module in modules:
        vars(module)["socket"] = OwnedSocketModule("owned_sockets")


def _current_owner() -> FrontSockets | None:
    owner: FrontSockets | None = getattr(gevent.getcurrent(), "spawn_tree_locals", {}).get(OWNER_KEY)
    return owner


def _payload_bytes(sock: OwnedSocket) -> tuple[int, int]:
    try:
        return tcp_bytes(sock)
    except OSError:
        return 0, 0
