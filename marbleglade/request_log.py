"""The counters and debug log lines of requests and attempts."""

from __future__ import annotations

from .model.request import Request
from .protocols.client_protocol import ClientRequest
from .runtime import clock
from .runtime.counters import Counters
from .runtime.json_log import Log
from .runtime.units import MICROSECOND_NS
from .state.decisions import AttemptOrder, RequestOutcome, Response
from .transport.upstream_connection import UpstreamResult

OUTCOME_COUNTERS = {outcome: f"request.{outcome.name.lower()}" for outcome in RequestOutcome}


class RequestLog:
    """Counts and logs each step of a request.

    Args:
        counters: Counts requests and attempts.
        log: Receives one debug line per step.
    """

    def __init__(self, counters: Counters, log: Log) -> None:
        self._counters = counters
        self._log = log

    def admitted(self, client_request: ClientRequest, received_at: int) -> None:
        """Record a new request that was received at `received_at` (ns)."""
        self._counters.add("request.received")
        if self._log.debug_enabled:
            self._log.debug(
                "admitted",
                trace=client_request.trace_id,
                request_class=client_request.class_name,
                object=client_request.object_id,
                part=client_request.part,
                timeout_us=client_request.timeout_ns // MICROSECOND_NS,
                unread_us=(clock.now() - received_at) // MICROSECOND_NS,
                is_client_retry=client_request.is_client_retry,
                cached_etag=client_request.cached_etag,
            )

    def finished(self, client_request: ClientRequest, request: Request, response: Response) -> None:
        """Record how a request ended."""
        self._counters.add(OUTCOME_COUNTERS[response.outcome])
        if self._log.debug_enabled:
            self._log.debug(
                "finished",
                trace=client_request.trace_id,
                outcome=response.outcome.name,
                reason=request.reason,
                attempts=len(request.attempts),
                duration_us=(clock.now() - request.received_at) // MICROSECOND_NS,
            )

    def attempt_ended(
        self, client_request: ClientRequest, order: AttemptOrder, upstream_result: UpstreamResult
    ) -> None:
        """Record how an attempt ended."""
        attempt = order.attempt
        self._counters.add(f"attempt.{upstream_result.result.name.lower()}")
        if self._log.debug_enabled:
            self._log.debug(
                "attempt_finished",
                trace=client_request.trace_id,
                request_class=client_request.class_name,
                upstream=attempt.upstream.name.decode(),
                fill_source=attempt.fill_source.name.decode(),
                result=upstream_result.result.name,
                duration_us=(clock.now() - attempt.sent_at) // MICROSECOND_NS,
                cache_priority=attempt.cache_priority,
                bytes=len(upstream_result.response.body) if upstream_result.response else 0,
            )
