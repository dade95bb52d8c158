"""Updates the link models from the results of attempts."""

from __future__ import annotations

from ..model.attempt import Attempt, AttemptResult, ResponseSource
from ..model.policy_protocol import PolicyHost
from .durations import Durations
from .latency_prediction import network_allowance
from .link_model import CONGESTED_THROUGHPUT, LinkModel, LinkReservation
from .upstream_health import EJECTION_ERROR_RATE, ERROR_RATE_WEIGHT

# Transfers that a response in time adds to the capacity of a full link, if its duration is not evidence.
CAPACITY_STEP = ERROR_RATE_WEIGHT / 4
# Share of recent attempts without an answer in time, above which a late failure indicates congestion. A
# single lost response among many says nothing about the link.
CONGESTION_LOSS_RATE = EJECTION_ERROR_RATE / 2
# A wait counts as at most this many times the expected time, so that one long wait does not outweigh the
# results after it.
MAX_EXPECTED_TIMES = 2


class LinkObserver:
    """Records the results of attempts in the link models, and transfer times in the object histories."""

    def __init__(self, host: PolicyHost, durations: Durations) -> None:
        self._host = host
        self._min_backoff = durations.shortest_objective

    def observe(self, attempt: Attempt) -> None:
        """Release the links of an attempt that has ended, and update their models.

        A fast response is evidence about every link that it used, a slow one only about the bottleneck.
        """
        context = attempt.request.context
        succeeded = attempt.result is AttemptResult.OK
        late = attempt.latency > attempt.request.request_class.latency_objective
        now = self._host.now()
        bottleneck = self._likely_bottleneck(attempt).link
        lost = late and not succeeded
        bottleneck.loss_rate += (lost - bottleneck.loss_rate) * ERROR_RATE_WEIGHT
        conclusive = self._is_conclusive(attempt, bottleneck, late)
        time_spent = self._time_spent(attempt)
        quick = time_spent * CONGESTED_THROUGHPUT < context.transfer_time
        own_link = attempt.link_reservations[0].link
        for reservation in attempt.link_reservations:
            link = reservation.link
            link.in_flight -= 1
            if conclusive and (link is bottleneck or quick):
                link.observe(reservation.in_flight, context.transfer_time, time_spent, now)
            elif succeeded and not late and link is bottleneck and reservation.in_flight > link.capacity > 0:
                link.capacity += CAPACITY_STEP
            if context.is_fill_probe and link is not own_link:
                link.record_probe(succeeded and not late, now, self._min_backoff)
        self._observe_size(attempt)

    @staticmethod
    def _is_conclusive(attempt: Attempt, bottleneck: LinkModel, late: bool) -> bool:
        """Return whether the duration of an attempt is evidence about its links.

        A success is evidence if the size is known and a body was transferred. A failure is evidence if it is
        a rejection, or if it is late and the likely bottleneck loses many responses.
        """
        if attempt.result is AttemptResult.OK:
            return attempt.request.context.size_known and not attempt.not_modified
        return attempt.result is AttemptResult.REJECTED or (
            late and bottleneck.loss_rate > CONGESTION_LOSS_RATE
        )

    def _likely_bottleneck(self, attempt: Attempt) -> LinkReservation:
        """Return the link nearest to the origin or, for a hit, the cache's own link."""
        return attempt.link_reservations[0 if attempt.response_source is ResponseSource.HIT else -1]

    def _time_spent(self, attempt: Attempt) -> int:
        """Return the time, ns, to record as spent on the links of an attempt."""
        request = attempt.request
        expected_time = request.context.transfer_time + request.request_class.latency_objective
        if attempt.result is AttemptResult.REJECTED:  # the last link had no capacity left
            return expected_time
        return min(attempt.latency - network_allowance(request), expected_time * MAX_EXPECTED_TIMES)

    def _observe_size(self, attempt: Attempt) -> None:
        """Record the shortest latency of an object as its transfer time.

        Only attempts that received a body count, and only if the request did not state the size.
        """
        succeeded = attempt.result is AttemptResult.OK
        if not attempt.request.size_kb and succeeded and not attempt.not_modified:
            history = attempt.request.context.history
            history.transfer_time = min(history.transfer_time or attempt.latency, attempt.latency)
