"""Attribution of failures to upstreams, and ejection of upstreams that are outliers."""

from __future__ import annotations

from ..model.attempt import Attempt
from ..model.parameters import Parameters
from ..model.policy_action import PolicyAction, PolicyActionKind
from ..model.policy_protocol import PolicyHost
from ..model.request import Idempotency
from ..model.upstream import Upstream, UpstreamRole
from .durations import Durations
from .known_upstreams import KnownUpstreams
from .latency_prediction import network_allowance
from .retry_budget import RETRY_PRICE, RetryBudget
from .upstream_health import EJECTION_ERROR_RATE

# An upstream is ejected at an error rate of `EJECTION_ERROR_RATE` plus this factor times the mean error rate
# of its peers.
PEER_ERROR_RATE_FACTOR = 1.5
SILENCE_OBJECTIVES = 8  # time without a response after which a parent is silent, in latency objectives
FULL_SHARE = 1  # share of a failure that is attributed to one upstream alone
# Added to the error rate of each suspect, so that a suspect without earlier failures gets a share as well.
PRIOR_ERROR_RATE = EJECTION_ERROR_RATE / 8


class FailureAttribution:
    """Attributes failures to upstreams and ejects those with a much higher error rate than their peers."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        upstreams: KnownUpstreams,
        retry_budget: RetryBudget,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._silent_after = durations.shortest_objective * SILENCE_OBJECTIVES
        self._upstreams = upstreams
        self._retry_budget = retry_budget

    def attribute_and_eject_outlier(self, upstream: Upstream, share: float, now: int) -> None:
        """Record a failure of an upstream and eject the upstream if it is now an outlier.

        An ejection opens the circuit, is logged, and fails over the attempts that wait for the upstream.

        Args:
            upstream: The upstream to which the failure is attributed.
            share: The share of the failure that is attributed to it, above 0 and up to 1.
            now: The present time, ns.
        """
        upstream.health.record_result(share, now)
        if self._is_outlier(upstream, now):
            self._eject(upstream, now)

    def split_and_eject_outliers(self, suspects: list[Upstream], now: int) -> None:
        """Split one failure among suspects in proportion to their recent error rates; eject outliers."""
        weights = [each.health.error_rate + PRIOR_ERROR_RATE for each in suspects]
        for suspect, weight in zip(suspects, weights, strict=True):
            self.attribute_and_eject_outlier(suspect, weight / sum(weights), now)

    def fail_over(self, attempt: Attempt, suspect: Upstream) -> None:
        """Cancel an attempt if it may be retried, so that a retry is sent to another upstream.

        Args:
            attempt: An attempt in flight.
            suspect: The upstream that the attempt waits for and that the retry avoids.
        """
        request = attempt.request
        has_effect = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if self._parameters.can_cancel and self._retry_budget.has_tokens(RETRY_PRICE) and not has_effect:
            request.context.avoided.append(suspect)
            self._host.cancel_attempt(attempt)

    def _is_outlier(self, upstream: Upstream, now: int) -> bool:
        """Return whether an upstream whose circuit is not open has a much higher error rate than its peers.

        If all fail equally there is no outlier, and an ejection would only move the load to the others.
        """
        peers = self._peer_error_rates(upstream, now)
        if now < upstream.health.circuit_open_until or not peers:
            return False
        threshold = EJECTION_ERROR_RATE + PEER_ERROR_RATE_FACTOR * sum(peers) / len(peers)
        return upstream.health.error_rate >= threshold

    def _eject(self, upstream: Upstream, now: int) -> None:
        health = upstream.health
        health.open_circuit(now)
        self._host.record_action(PolicyAction(PolicyActionKind.EJECTED, upstream))
        for attempt in [*health.in_flight, *health.fills_in_flight]:
            unanswered = attempt.result is None and attempt.sent_at > health.last_response_at
            if unanswered and self._waits_for(attempt, upstream, now):
                self.fail_over(attempt, upstream)

    @staticmethod
    def _waits_for(attempt: Attempt, upstream: Upstream, now: int) -> bool:
        """Return whether an attempt waits for an upstream; it waits for a fill source only if overdue."""
        expected_time = network_allowance(attempt.request) + attempt.request.context.transfer_time
        return attempt.upstream is upstream or now - attempt.sent_at > expected_time

    def _peer_error_rates(self, upstream: Upstream, now: int) -> list[float]:
        """Return the error rates of the peers of an upstream; empty if it has no peers."""
        if upstream.role is UpstreamRole.CACHE:
            group = self._upstreams.zone_caches
        else:
            group = [each for each in self._upstreams.parents if not each.health.is_ejected]
        rates = [each.health.error_rate for each in group if each is not upstream]
        silent = (
            self._parameters.reports_cache_status
            and now - upstream.health.last_response_at > self._silent_after
        )
        origin = self._upstreams.origin
        if (silent or not rates) and upstream.role is UpstreamRole.PARENT and origin:
            return [origin.health.error_rate]  # this is the only parent in use, or it is silent
        return rates
