"""Estimates the clock offset of a remote gateway, with error bounds, from exchanges on the link."""

from __future__ import annotations

from typing import NamedTuple

PPM = 1_000_000  # parts per million


class TimeBounds(NamedTuple):
    """The earliest and the latest possible time of an event by one clock, ns."""

    earliest: int
    latest: int


class ClockOffset:
    """Bounds the clock offset: the remote clock's time minus the local clock's time, in ns.

    In one exchange a message is sent at t1 (local clock) and received at t2 (remote clock); the reply is sent
    at t3 (remote clock) and received at t4 (local clock). No message is received before it was sent, so
    t3 - t4 <= offset <= t2 - t1, even if the two directions take different times. The bounds of earlier
    exchanges are widened by the drift and intersected with the new bounds. If the intersection is empty, one
    of the clocks was set, and only the new bounds are used.

    Args:
        drift_ppm: The maximum drift of one clock, parts per million.

    Attributes:
        low: The least possible offset at `measured_at`, ns.
        high: The greatest possible offset at `measured_at`, ns.
        measured_at: The local time at which the last exchange ended, ns.
        is_known: True once an exchange was used.
        clock_jumps: The number of times that a clock was found to have been set.
    """

    def __init__(self, drift_ppm: float) -> None:
        self.drift_ratio = drift_ppm / PPM
        self.low = 0
        self.high = 0
        self.measured_at = 0
        self.is_known = False
        self.clock_jumps = 0

    def add_exchange(self, sent_at: int, peer_received_at: int, peer_sent_at: int, received_at: int) -> bool:
        """Update the bounds with one exchange; return False if its times are impossible.

        Args:
            sent_at: t1, the local time at which the message was sent, ns.
            peer_received_at: t2, the remote time at which it was received, ns.
            peer_sent_at: t3, the remote time at which the reply was sent, ns.
            received_at: t4, the local time at which the reply was received, ns.
        """
        low = peer_sent_at - received_at
        high = peer_received_at - sent_at
        if low > high or received_at < sent_at or peer_sent_at < peer_received_at:
            return False
        if self.is_known:
            earlier_low, earlier_high = self.bounds(received_at)
            if max(low, earlier_low) > min(high, earlier_high):
                self.clock_jumps += 1
            else:
                low = max(low, earlier_low)
                high = min(high, earlier_high)
        self.low = low
        self.high = high
        self.measured_at = received_at
        self.is_known = True
        return True

    def bounds(self, now: int) -> tuple[int, int]:
        """Return the least and the greatest possible offset at `now`, ns, as both clocks drift."""
        drift = int(2 * self.drift_ratio * max(0, now - self.measured_at))
        return self.low - drift, self.high + drift

    def to_local(self, peer_time: int, now: int) -> TimeBounds:
        """Return bounds on the local time at which the remote clock showed `peer_time`; all in ns."""
        low, high = self.bounds(now)
        return TimeBounds(peer_time - high, peer_time - low)

    def to_remote(self, local_time: int, now: int) -> TimeBounds:
        """Return bounds on the remote time at which the local clock showed `local_time`; all in ns."""
        low, high = self.bounds(now)
        return TimeBounds(local_time + low, local_time + high)
