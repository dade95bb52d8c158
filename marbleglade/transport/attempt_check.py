"""The check just before an attempt is written: whether it may still be sent.

While an attempt waits for its connection, its client may leave, its object may be purged, or its cache may be
drained. The events that report this may still be unread on their sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from ..model.attempt import Attempt
from ..model.request import Request
from ..model.upstream import UpstreamState
from ..protocols.client_protocol import ClientRequest
from ..runtime.error_guard import ErrorGuard
from .upstream_connection import InFlightRequest, UpstreamConnection


class WithholdReason(Enum):
    """The reasons not to write an attempt; the values appear in the log and in the names of counters."""

    CANCELLED = "cancelled"
    CLIENT_LEFT = "client_left"
    PURGED = "purged"
    UPSTREAM_DRAINING = "upstream_draining"
    SOURCE_DRAINING = "source_draining"
    SOURCE_REMOVED = "source_removed"
    CONNECTION_STALE = "connection_stale"
    DEDUPLICATION_WINDOW_OVER = "deduplication_window_over"
    NO_TIME_LEFT = "no_time_left"


class AttemptCheck:
    """Decides just before an attempt is written whether it may still be sent.

    Args:
        purged_since: Returns whether the object of a request was purged since a given time, ns of `clock`.
        apply_pending_events: Applies watch events that have reached this machine but are still unread.
        clock: The monotonic clock, ns.
        guard: Counts and logs errors.
    """

    def __init__(
        self,
        purged_since: Callable[[Request, int], bool],
        apply_pending_events: Callable[[], None],
        clock: Callable[[], int],
        guard: ErrorGuard,
    ) -> None:
        self._purged_since = purged_since
        self._apply_pending_events = apply_pending_events
        self._clock = clock
        self._guard = guard
        self._counters = guard.counters
        self._log = guard.log

    def apply_pending(self, client_request: ClientRequest | None = None) -> None:
        """Apply events that have arrived but are still unread, as they may forbid an attempt.

        Called just before each attempt and load report request is written, since the process may have been
        delayed after the last poll of the event loop.
        """
        self._guard.call("pending_events", self._apply_pending_events)
        if client_request and client_request.check_client_end:
            self._guard.call("client_end", client_request.check_client_end)

    def reason_to_withhold(
        self, in_flight: InFlightRequest, attempt: Attempt, connection: UpstreamConnection
    ) -> WithholdReason | None:
        """Return the reason why an attempt must not be written any more, or None if it may be written."""
        request = attempt.request
        if in_flight.result.ready() or request.finished:
            return WithholdReason.CANCELLED
        if request.client_half_closed:
            return WithholdReason.CLIENT_LEFT
        if self._purged_since(request, attempt.sent_at):
            return WithholdReason.PURGED
        if attempt.upstream.state is not UpstreamState.ACTIVE:
            return WithholdReason.UPSTREAM_DRAINING
        if attempt.fill_source.state is not UpstreamState.ACTIVE:
            return WithholdReason.SOURCE_DRAINING
        if connection.pool.stale:  # an event just applied says that the cache moved or restarted
            return WithholdReason.CONNECTION_STALE
        # The deduplication window may have ended while the connection was being opened. A retry after it
        # would not be recognized as a duplicate, and the request would run twice.
        if not request.may_send_attempt(self._clock(), attempt):
            return WithholdReason.DEDUPLICATION_WINDOW_OVER
        return None

    def record_withheld(
        self, client_request: ClientRequest, attempt: Attempt, reason: WithholdReason
    ) -> None:
        """Count and log an attempt that was not written."""
        self._counters.add("attempt.stale")
        self._counters.add(f"attempt.withheld.{reason.value}")
        if self._log.debug_enabled:
            self._log.debug(
                "withheld",
                trace=client_request.trace_id,
                upstream=attempt.upstream.name.decode(),
                reason=reason.value,
            )
