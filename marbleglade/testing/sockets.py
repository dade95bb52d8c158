"""Loopback sockets and ports for stand-ins and for the processes that tests start."""

from __future__ import annotations

import itertools
import os
from contextlib import suppress

from gevent import socket

LOOPBACK_HOST = "127.0.0.1"
ANY_PORT = (LOOPBACK_HOST, 0)  # the system picks the port
BACKLOG = 512
FIRST_PORT, PORT_COUNT = 20_000, 12_000  # below the ephemeral port range of the system
_candidate_offsets = itertools.count(os.getpid() * 997)  # concurrent test processes start at different ports


def listening_socket(address: tuple[str, int] = ANY_PORT) -> socket.socket:
    """Return a TCP socket that listens on an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def free_port() -> int:
    """Return a port that can be bound now and is outside the ephemeral range."""
    while True:
        port = FIRST_PORT + next(_candidate_offsets) % PORT_COUNT
        with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.bind((LOOPBACK_HOST, port))
            return port


def reserve_address() -> socket.socket:
    """Return a bound socket that never listens; a process that sets SO_REUSEADDR can listen on its address.

    This reserves the port for a process under test while that process is down.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK_HOST, free_port()))
    return sock


def address_text(address: tuple[str, int]) -> str:
    """Return the address as `host:port`."""
    return f"{address[0]}:{address[1]}"
