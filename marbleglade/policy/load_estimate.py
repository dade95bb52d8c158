"""The load that passes through this front, measured as transfer time at full throughput."""

from __future__ import annotations

from ..model.request import RequestClass
from .link_model import DecayingSum

# Assumed transfer time until a request of the class has been observed, as a share of its latency objective.
ASSUMED_TRANSFER_SHARE = 1 / 4
# Weight of one request in the mean transfer time of its class, which averages about the last 50 requests.
TRANSFER_TIME_WEIGHT = 0.02


class LoadEstimate:
    """The mean transfer time of each request class, and the load of all attempts together.

    Args:
        now: The present time, ns.
        window: Time over which attempts lose their weight in `recent`, ns.

    Attributes:
        recent: Decaying sum of the transfer times of attempts within the window, ns.
        total: Transfer time of all attempts since the process started, ns.
    """

    def __init__(self, now: int, window: int) -> None:
        self.recent = DecayingSum(now, window)
        self.total = 0

    def mean_transfer_time(self, request_class: RequestClass) -> int:
        """Return the observed mean or, before the first request, a share of the latency objective; ns."""
        assumed = request_class.latency_objective * ASSUMED_TRANSFER_SHARE
        return int(request_class.mean_transfer_time or assumed)

    def observe_transfer_time(self, request_class: RequestClass, transfer_time: int) -> None:
        """Update the mean of a class with the transfer time of one request, ns."""
        mean = self.mean_transfer_time(request_class)
        request_class.mean_transfer_time = (
            mean * (1 - TRANSFER_TIME_WEIGHT) + transfer_time * TRANSFER_TIME_WEIGHT
        )

    def add_attempt(self, request_class: RequestClass, now: int) -> None:
        """Add one attempt to the load, with the mean transfer time of its class."""
        self.recent.add(self.mean_transfer_time(request_class), now)
        self.total += self.mean_transfer_time(request_class)
