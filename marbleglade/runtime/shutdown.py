"""Graceful shutdown: after SIGTERM, a front serves until no request is open and no client may connect.

Requests that are still open shortly before the platform kills the process are ended early.
"""

from __future__ import annotations

from .units import MILLISECOND_NS, SECOND_NS

# Both are set by the platform. New clients may connect until CONNECT_WINDOW_NS after SIGTERM. A front that
# has open requests is killed no earlier than GUARANTEED_DRAIN_NS after the end of this window.
CONNECT_WINDOW_NS = 700 * MILLISECOND_NS
GUARANTEED_DRAIN_NS = 3 * SECOND_NS

# Divisors of the drain time and of CONNECT_WINDOW_NS; the larger quotient is reserved for writing the last
# responses. The drain time is the longest client timeout, but at most GUARANTEED_DRAIN_NS.
DRAIN_MARGIN_DIVISOR = 10
CONNECT_WINDOW_MARGIN_DIVISOR = 7


class GracefulShutdown:
    """Decides when open requests are ended early, and when the process may exit.

    Args:
        longest_timeout: The longest client timeout of any request class, ns.

    Attributes:
        requested_at: When the shutdown was requested, ns; 0 if it was not requested.
        signal_arrived_at: The earliest time at which the signal may have arrived, ns.
        give_up_after: Time from the arrival of the signal until open requests are ended, ns.
    """

    def __init__(self, longest_timeout: int) -> None:
        self.requested_at = 0
        self.signal_arrived_at = 0
        # Reserves a margin before the kill for writing responses: a tenth of the drain time, or a seventh of
        # CONNECT_WINDOW_NS if that is more.
        drain = min(longest_timeout, GUARANTEED_DRAIN_NS)
        margin = max(drain // DRAIN_MARGIN_DIVISOR, CONNECT_WINDOW_NS // CONNECT_WINDOW_MARGIN_DIVISOR)
        self.give_up_after = CONNECT_WINDOW_NS + max(0, drain - margin)

    def request(self, now: int, arrived_at: int = 0) -> None:
        """Record a request to shut down; only the first one takes effect.

        Args:
            now: The current time, ns; clients may connect for another `CONNECT_WINDOW_NS`.
            arrived_at: The earliest time at which the signal may have arrived, ns, from which the time until
                the kill is counted; 0 for `now`.
        """
        self.signal_arrived_at = self.signal_arrived_at or arrived_at or now
        self.requested_at = self.requested_at or now

    def must_end_requests(self, now: int, recent_delay: int = 0) -> bool:
        """Return whether open requests must be ended now, so that responses are written before the kill.

        Args:
            now: The current time, ns.
            recent_delay: Recent delay of the event loop, ns, which may recur. Requests are ended earlier by
                this time, but by at most half of `give_up_after`.
        """
        ahead = min(recent_delay, self.give_up_after // 2)
        return bool(self.requested_at) and now - self.signal_arrived_at >= self.give_up_after - ahead

    def may_exit(self, now: int, pending_responses: int) -> bool:
        """Return whether a shutdown was requested, its connect window is over, and no response is pending."""
        return (
            bool(self.requested_at) and now - self.requested_at >= CONNECT_WINDOW_NS and not pending_responses
        )
