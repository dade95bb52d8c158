"""Writes with a time limit for the peer; delays of this process itself do not count against it."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.lock import Semaphore

from ..runtime.timeouts import TimeLimit
from .sockets import send_some


def acquire_within(lock: Semaphore, limit: TimeLimit) -> bool:
    """Acquire a lock; return False if it was not released within the limit."""
    while not lock.acquire(timeout=limit.seconds_left()):
        if limit.expired():
            # It may have been released as the limit expired.
            return bool(lock.acquire(blocking=False))
    return True


def send_within(sock: socket.socket, data: bytes | bytearray | memoryview, limit: TimeLimit) -> bool:
    """Write all of `data`; return False if the peer did not take it within the limit.

    Raises:
        OSError: The connection has failed.
    """
    remaining = memoryview(data)
    while remaining:
        with gevent.Timeout(limit.seconds_left(), False):
            while remaining:
                remaining = remaining[send_some(sock, remaining) :]
        if remaining and limit.expired():
            return False
    return True
