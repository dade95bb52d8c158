"""Bytes of TCP payload on a socket, as the kernel counts them, whatever the program says."""

from __future__ import annotations

import socket
import struct

TCP_INFO_BYTES = 136  # of `struct tcp_info`, up to and with `tcpi_bytes_received`
ACKNOWLEDGED_AT, RECEIVED_AT = 120, 128  # offsets of `tcpi_bytes_acked` and `tcpi_bytes_received`


def tcp_bytes(sock: socket.socket) -> tuple[int, int]:
    """Bytes received and bytes sent on a connection so far. Raises OSError for a closed one."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (sent,) = struct.unpack_from("=Q", info, ACKNOWLEDGED_AT)
    (received,) = struct.unpack_from("=Q", info, RECEIVED_AT)
    return received, max(0, sent - 1)  # the SYN counts as one byte
