"""Simulated datagram network between fronts on simulated time, with losses, delays and partitions."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from ..fleet.seeded_random import seeded_fraction

NS_PER_MS = 1_000_000
MAX_DATAGRAM_BYTES = 256


class _Datagram(NamedTuple):
    """A datagram in flight, ordered by arrival time and then by sending order."""

    arrives_at: int
    number: int
    sender: int
    receiver: int
    data: bytes


def _without_partition(_sender: int, _receiver: int) -> bool:
    return False


class SimulatedNetwork:
    """Delivers datagrams between fronts, which are numbered from 0.

    Args:
        seed: Seed of losses, duplicates and delays.
        deliver: Called as `deliver(receiver, sender, data, now)` in the order of arrival.

    Attributes:
        loss_rate: Share of datagrams that are lost.
        duplication_rate: Share of the remaining datagrams that arrive twice.
        delay_ns: Minimum and maximum delay.
        is_cut: Returns whether all datagrams from a sender to a receiver are lost.
        bytes_delivered: Number of bytes delivered, by receiver.
    """

    def __init__(self, seed: int, deliver: Callable[[int, int, bytes, int], None]) -> None:
        self._seed, self._deliver = seed, deliver
        self.loss_rate, self.duplication_rate = 0.0, 0.0
        self.delay_ns = (1 * NS_PER_MS, 38 * NS_PER_MS)
        self.is_cut: Callable[[int, int], bool] = _without_partition
        self.bytes_delivered: dict[int, int] = {}
        self._draw_count = 0
        self._in_flight: list[_Datagram] = []

    def set_faults(self, loss_rate: float, duplication_rate: float, delay_ns: tuple[int, int]) -> None:
        """Set the loss rate, the duplication rate and the range of delays."""
        self.loss_rate, self.duplication_rate, self.delay_ns = loss_rate, duplication_rate, delay_ns

    def draw(self) -> float:
        """Return the next pseudorandom number in [0, 1)."""
        self._draw_count += 1
        return seeded_fraction(b"%d air %d" % (self._seed, self._draw_count))

    def send(self, sender: int, receiver: int, data: bytes, now: int) -> None:
        """Send a datagram, which may be lost or arrive twice."""
        assert len(data) <= MAX_DATAGRAM_BYTES
        if self.is_cut(sender, receiver) or self.draw() < self.loss_rate:
            return
        shortest, longest = self.delay_ns
        for _ in range(1 + (self.draw() < self.duplication_rate)):
            self._draw_count += 1
            number = self._draw_count
            arrives_at = now + shortest + int(self.draw() * (longest - shortest))
            heapq.heappush(self._in_flight, _Datagram(arrives_at, number, sender, receiver, data))

    def deliver_due(self, now: int) -> None:
        """Deliver all datagrams whose arrival time has been reached."""
        while self._in_flight and self._in_flight[0].arrives_at <= now:
            datagram = heapq.heappop(self._in_flight)
            receiver, data = datagram.receiver, datagram.data
            self.bytes_delivered[receiver] = self.bytes_delivered.get(receiver, 0) + len(data)
            self._deliver(receiver, datagram.sender, data, now)
