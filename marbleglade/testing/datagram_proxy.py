"""Datagram proxy between fronts on loopback, which injects losses, duplicates, delays and partitions."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket

from .object_store import hashed_fraction
from .sockets import ANY_PORT, address_text

MAX_DATAGRAM_BYTES = 2048
DRAW_MULTIPLIER = 2654435761  # hashes the draw counter, since checksums of successive numbers are similar


def _without_partition(_sender: int, _receiver: int) -> bool:
    return False


class DatagramProxy:
    """Forwards datagrams between fronts, which are numbered from 0.

    There is one proxy socket for each ordered pair of fronts. A receiver thus sees the sender address that
    its own list of peers contains for that sender.

    Args:
        count: Number of fronts.
        seed: Seed of losses, duplicates and delays.

    Attributes:
        front_addresses: Listen addresses of the fronts, reserved by the proxy until `release_addresses`.
        loss_rate: Share of datagrams that are dropped.
        duplication_rate: Share of the remaining datagrams that are delivered twice.
        delay_seconds: Minimum and maximum delay.
        is_cut: Returns whether all datagrams from a sender to a receiver are dropped.
        bytes_delivered: Number of bytes delivered, by receiver.
    """

    def __init__(self, count: int, seed: int) -> None:
        self._count, self._seed, self._draw_count = count, seed, 0
        self.loss_rate, self.duplication_rate = 0.0, 0.0
        self.delay_seconds = (0.0, 0.005)
        self.is_cut: Callable[[int, int], bool] = _without_partition
        self._reserved_sockets = [self._bound_socket() for _ in range(count)]
        self.front_addresses = [sock.getsockname() for sock in self._reserved_sockets]
        # By sender and receiver: the sender uses the address of this socket as the address of the receiver.
        self._sockets = {
            (sender, receiver): self._bound_socket()
            for sender in range(count)
            for receiver in range(count)
            if sender != receiver
        }
        self.bytes_delivered = [0] * count
        self._loops = [gevent.spawn(self._forward, sender, receiver) for sender, receiver in self._sockets]

    @staticmethod
    def _bound_socket() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(ANY_PORT)
        return sock

    def peer_addresses(self, front: int) -> list[str]:
        """Return the addresses of all peers as `host:port`, for the configuration of this front."""
        return [
            address_text(
                self.front_addresses[front] if peer == front else self._sockets[front, peer].getsockname()
            )
            for peer in range(self._count)
        ]

    def release_addresses(self) -> None:
        """Close the reserving sockets, so that the fronts can bind their own addresses."""
        for sock in self._reserved_sockets:
            sock.close()

    def _draw(self) -> float:
        self._draw_count += 1
        return hashed_fraction(self._seed, "between", self._draw_count * DRAW_MULTIPLIER % 2**32)

    def _forward(self, sender: int, receiver: int) -> None:
        while True:
            with suppress(OSError):
                data = self._sockets[sender, receiver].recv(MAX_DATAGRAM_BYTES)
                if self.is_cut(sender, receiver) or self._draw() < self.loss_rate:
                    continue
                shortest, longest = self.delay_seconds
                for _ in range(1 + (self._draw() < self.duplication_rate)):
                    delay = shortest + self._draw() * (longest - shortest)
                    gevent.spawn_later(delay, self.inject, sender, receiver, data)

    def inject(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram to the receiver from the address that it knows as the sender."""
        with suppress(OSError):
            self._sockets[receiver, sender].sendto(data, self.front_addresses[receiver])
            self.bytes_delivered[receiver] += len(data)

    def close(self) -> None:
        """Stop forwarding and close all sockets."""
        gevent.killall(self._loops)
        for sock in self._sockets.values():
            sock.close()
