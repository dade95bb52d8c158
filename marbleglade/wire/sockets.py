"""What all connections share: the buffer that reads go into, and a write that never waits."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
from gevent import socket

SCRATCH = memoryview(bytearray(1 << 16))    # what one read brings; used up before anything else can run


def accepted(listener: socket.socket, pause: float, failed: Callable[[], None]) -> Iterator[socket.socket]:
    """Connections as they come; after a trouble, which is told, it goes on in `pause` seconds."""
    while True:
        try:
            yield listener.accept()[0]
        except OSError:
            failed()
            gevent.sleep(pause)


def unread(sock: socket.socket) -> bool:
    """True while bytes that came lie unread, never waits; an end alone is none."""
    patience = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
    finally:
        sock.settimeout(patience)


def send_now(sock: socket.socket, data: bytes) -> int:
    """Writes what the machine takes at once and never waits; gives how much that was."""
    try:
        return sock.send(data, 0, 0.0)
    except BlockingIOError:
        return 0
