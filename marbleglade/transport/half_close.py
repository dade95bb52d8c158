"""Detects that the peer has closed its side of a connection, even behind bytes that are still unread."""

from __future__ import annotations

import select
from typing import NamedTuple

from gevent import socket

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class UnreadInput(NamedTuple):
    """The state of a connection's input that was not read yet.

    Attributes:
        ended: The peer has closed its side or reset the connection.
        readable: There are, or may be, unread bytes.
    """

    ended: bool
    readable: bool


NO_INPUT = UnreadInput(ended=False, readable=False)
UNKNOWN_INPUT = UnreadInput(ended=False, readable=True)


def unread_input(sock: socket.socket) -> UnreadInput:
    """Return the state of the unread input; never blocks and reads nothing.

    A read finds the end only after all bytes before it, which may take long to process. If poll fails, the
    result is that there may be unread bytes and that the end was not seen.
    """
    if sock.fileno() < 0:  # closed on this side
        return UnreadInput(ended=True, readable=False)
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP | select.POLLIN)
    try:
        poll_results = poll.poll(0)
    except OSError:
        return UNKNOWN_INPUT
    if not poll_results:
        return NO_INPUT
    _, events = poll_results[0]
    return UnreadInput(ended=bool(events & CLOSED_EVENTS), readable=bool(events & select.POLLIN))


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side or reset the connection; never blocks, reads nothing."""
    return unread_input(sock).ended
