"""Bytes of TCP payload on a socket as counted by the kernel, independent of the program under test."""

from __future__ import annotations

import socket
import struct

TCP_INFO_BYTES = 136  # size of `struct tcp_info` up to and including `tcpi_bytes_received`
ACKNOWLEDGED_AT, RECEIVED_AT = 120, 128  # offsets of `tcpi_bytes_acked` and `tcpi_bytes_received`


def tcp_bytes(sock: socket.socket) -> tuple[int, int]:
    """Return the bytes received and sent on a connection. Raises `OSError` if the socket is closed."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (sent,) = struct.unpack_from("=Q", info, ACKNOWLEDGED_AT)
    (received,) = struct.unpack_from("=Q", info, RECEIVED_AT)
    return received, max(0, sent - 1)  # the SYN counts as one byte
