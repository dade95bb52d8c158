"""Operations on the test's side of a connection."""

import struct

import gevent
from gevent import socket

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close resets the connection
SMALL_BUFFER = 4096  # approximate bytes that are buffered for a peer that does not read
SILENCE_SECONDS = 0.02


def reset(sock: socket.socket) -> None:
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def is_silent(sock: socket.socket) -> bool:
    """Whether the connection stays open and no data arrives for `SILENCE_SECONDS`."""
    with gevent.Timeout(SILENCE_SECONDS, False):
        sock.recv(1)
        return False
    return True


def read_bytes(sock: socket.socket, size: int) -> bytes:
    """Reads at least `size` bytes, or fewer if the connection ends earlier."""
    received = b""
    while len(received) < size and (data := sock.recv(1 << 16)):
        received += data
    return received
