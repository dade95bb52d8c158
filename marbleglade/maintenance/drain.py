"""Graceful drain of a front: it announces its departure and still serves until the drain ends.

The drain ends at its timeout, or earlier once no client sends requests. From then on the front rejects all
requests. A drain can be cancelled at any time.

Free of I/O, clocks and randomness; times are nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

IDLE_SHARE = 1 / 10  # of the timeout; time without a request after which all clients count as gone


class DrainStage(Enum):
    """Stage of a drain; the value is written to the log."""

    SERVING = "serving"
    DRAINING = "draining"  # the departure is announced; requests are still served
    DRAINED = "drained"  # all requests are rejected; maintenance may begin


@dataclass(slots=True)
class Drain:
    """State of one front's drain.

    Attributes:
        stage: Current stage.
        started_at: When the drain began, ns.
        last_active_at: When a request last arrived or was open, ns.
        request_count: Total of received requests as of `last_active_at`.
    """

    stage: DrainStage = DrainStage.SERVING
    started_at: int = 0
    last_active_at: int = 0
    request_count: int = 0

    def tick(self, is_granted: bool, timeout: int, request_count: int, open_requests: int, now: int) -> bool:
        """Advance the drain; return true at the moment at which open requests are to be rejected.

        Args:
            is_granted: This front has a grant to be out of service.
            timeout: Longest duration of the drain, ns.
            request_count: Total of received requests.
            open_requests: Number of requests in progress.
            now: The current time.
        """
        if not is_granted:
            self.stage = DrainStage.SERVING
            return False
        if self.stage is DrainStage.SERVING:
            self.stage = DrainStage.DRAINING
            self.started_at = now
            self.last_active_at = now
            self.request_count = request_count
        if request_count != self.request_count or open_requests:
            self.last_active_at = now
            self.request_count = request_count
        is_late = now - self.started_at >= timeout
        is_idle = now - self.last_active_at >= timeout * IDLE_SHARE
        if self.stage is DrainStage.DRAINING and (is_late or is_idle):
            self.stage = DrainStage.DRAINED
            return True
        return False
