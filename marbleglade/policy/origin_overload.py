"""Sheds requests for new objects before the origin becomes overloaded."""

from __future__ import annotations

from ..model.parameters import Parameters
from ..model.request import Request
from .link_model import SharedLinks

SAFE_ORIGIN_LOAD = 0.8  # share of the load at which the origin fails; above it new objects are shed
PRIORITY_WINDOW = 64  # number of requests over which the mean priority is taken
# Bounds of the factor by which the relative priority of a request adjusts its limit. They prevent starvation.
MIN_PRIORITY_FACTOR = 7 / 8
MAX_PRIORITY_FACTOR = 5 / 4


class OriginOverload:
    """Detects that the origin is close to overload from the slowdown of fetches relative to other transfers.

    An overloaded origin serves nothing for seconds.
    """

    def __init__(self, parameters: Parameters, links: SharedLinks) -> None:
        self._overload_factor = parameters.origin_overload_factor
        self._links = links
        self._mean_priority = 0.0  # priority weight per transfer time of new objects

    def record_and_check_refusal(self, request: Request, now: int) -> bool:
        """Record the priority of a request for a new object and return whether to refuse the fetch.

        Requests with the lowest priority per transfer time are refused first, and equally at all fronts.
        """
        relative_priority = self._record_priority(request)
        limit = self._overload_factor * SAFE_ORIGIN_LOAD * min(MAX_PRIORITY_FACTOR, relative_priority)
        if limit <= 0:
            return False
        links = self._links
        fetch_slowdown = links.origin_fetches.slowdown(now)
        return limit < fetch_slowdown / max(links.caches.slowdown(now), links.fills.slowdown(now))

    def _record_priority(self, request: Request) -> float:
        """Update the mean priority; return the ratio of the priority to it, at least the lower bound."""
        priority = request.request_class.priority_weight / (request.context.transfer_time or 1)
        if self._mean_priority:
            self._mean_priority = (self._mean_priority * (PRIORITY_WINDOW - 1) + priority) / PRIORITY_WINDOW
        else:
            self._mean_priority = priority
        return max(MIN_PRIORITY_FACTOR, priority / self._mean_priority)
