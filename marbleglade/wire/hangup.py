"""Whether the other side of a connection has closed it, also where bytes that came before lie unread."""

from __future__ import annotations

import select

from gevent import socket

CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def hung_up(sock: socket.socket) -> bool:
    """Tells whether the peer has closed its side or reset the connection; never waits and reads nothing.

    A read shows the end only behind all bytes that came before it, which may take long to work through.
    """
    if sock.fileno() < 0:  # closed here
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(events & CLOSED for _, events in poll.poll(0))
