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


class TrafficMeter:
    """Adds up the bytes of one front's connections, which may be opened anew.

    It is asked often; bytes of a connection's last moments, after the last look, are not counted.
    """

    def __init__(self) -> None:
        self.ended = [0, 0]
        self.open: dict[socket.socket, tuple[int, int]] = {}

    def look(self, socks: list[socket.socket]) -> None:
        """Reads the counters of the connections that are open now."""
        current: dict[socket.socket, tuple[int, int]] = {}
        for sock in socks:
            try:
                current[sock] = tcp_bytes(sock)
            except OSError:
                continue
        for sock, (received, sent) in self.open.items():
            if sock not in current:
                self.ended[0] += received
                self.ended[1] += sent
        self.open = current

    def totals(self) -> tuple[int, int]:
        """Bytes received and sent so far."""
        received = self.ended[0] + sum(one[0] for one in self.open.values())
        sent = self.ended[1] + sum(one[1] for one in self.open.values())
        return received, sent
