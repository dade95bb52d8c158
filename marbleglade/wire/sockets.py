"""What all connections share: the buffer that reads go into, and a write that never waits."""

from __future__ import annotations

from gevent import socket

SCRATCH = memoryview(bytearray(1 << 16))    # what one read brings; used up before anything else can run


def send_now(sock: socket.socket, data: bytes) -> int:
    """Writes what the machine takes at once and never waits; gives how much that was."""
    try:
        return sock.send(data, 0, 0.0)
    except BlockingIOError:
        return 0
