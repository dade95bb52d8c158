"""Attempt deadlines, which detect upstreams that accept attempts and never answer.

A missing answer is attributed to the upstream as a failure. If that ejects the upstream, its attempts fail
over to others.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from ..model.attempt import Attempt
from ..model.parameters import Parameters
from ..model.upstream import Upstream
from .durations import Durations
from .failure_attribution import FULL_SHARE, FailureAttribution
from .numbered_random import NumberedRandom

OVERDUE_CHECKS_PER_OBJECTIVE = 2  # checks of an overdue attempt within the shortest latency objective
# Number of overdue attempts, all sent since the last response of their upstream, from which the upstream
# counts as silent. A single overdue attempt may simply have a long response.
MIN_OVERDUE_ATTEMPTS = 2
# Share of a failure that is attributed to a fill source that has not answered, if responses report whether
# the source filled the object.
SILENT_SOURCE_SHARE = 1 / 2
# The same share if responses do not report it.
UNREPORTED_SOURCE_SHARE = 1 / 4


class AttemptDeadline(NamedTuple):
    """The time at which an attempt is checked unless it has ended; sorts by time, then by number."""

    expires_at: int  # ns
    number: int  # sequence number of the entry, so that no two entries compare equal
    attempt: Attempt


class AttemptTimers:
    """A priority queue of attempt deadlines; equal deadlines expire in the order of scheduling.

    Entries of ended attempts stay in the queue until their deadline, and are ignored then.
    """

    def __init__(
        self,
        parameters: Parameters,
        durations: Durations,
        random: NumberedRandom,
        attribution: FailureAttribution,
    ) -> None:
        self._check_interval = durations.shortest_objective // OVERDUE_CHECKS_PER_OBJECTIVE
        reported = parameters.reports_cache_status
        self._source_share = SILENT_SOURCE_SHARE if reported else UNREPORTED_SOURCE_SHARE
        self._random = random
        self._attribution = attribution
        self._deadlines: list[AttemptDeadline] = []  # a binary heap

    def schedule(self, deadline: int, attempt: Attempt) -> None:
        """Schedule a check of an attempt at `deadline`, ns."""
        entry = AttemptDeadline(deadline, self._random.next_number(), attempt)
        heapq.heappush(self._deadlines, entry)

    def run_expired(self, now: int) -> None:
        """Check the attempts whose deadlines have passed; `now` in ns."""
        while self._deadlines and self._deadlines[0].expires_at <= now:
            self._on_timeout(heapq.heappop(self._deadlines).attempt, now)

    def _on_timeout(self, attempt: Attempt, now: int) -> None:
        """Check one attempt whose deadline has passed.

        Nothing is done if the attempt or its request has ended or the response has started. If the upstream
        or the fill source is ejected, the attempt fails over. Otherwise a failure is attributed to a silent
        upstream, congestion may be recorded, and another check is scheduled.
        """
        request, context = attempt.request, attempt.request.context
        if attempt.result is not None or request.finished or context.response_started:
            return
        for upstream in (attempt.upstream, attempt.fill_source):
            if now < upstream.health.circuit_open_until:
                self._attribution.fail_over(attempt, upstream)
                return
        lateness = now - context.objective_at
        if suspect := self._silent_upstream(attempt, lateness, now):
            share = FULL_SHARE if suspect is attempt.upstream else self._source_share
            self._attribution.attribute_and_eject_outlier(suspect, share, now)
        # An overdue attempt indicates congestion on its last link. It is counted once: only at a check within
        # one check interval after the end of the latency objective.
        if context.size_known and lateness < self._check_interval:
            last = attempt.link_reservations[-1]
            last.link.observe(last.in_flight, context.transfer_time, now - attempt.sent_at, now)
        self.schedule(now + self._check_interval, attempt)

    def _silent_upstream(self, attempt: Attempt, lateness: int, now: int) -> Upstream | None:
        """Return the upstream that an overdue attempt shows to be silent, or None.

        An attempt is overdue if it has not ended when its request's latency objective has passed. If the
        upstream of the attempt (a cache or a parent) has not responded since the attempt was sent, it is
        silent if at least `MIN_OVERDUE_ATTEMPTS` overdue attempts were sent there since its last response. If
        it has responded, the fill source is silent if it has not responded since the attempt was sent.
        A fill source is suspected only within one check interval after the end of the objective.

        Args:
            attempt: The overdue attempt.
            lateness: Time since the end of the request's latency objective, ns.
            now: The present time, ns.
        """
        cache, source = attempt.upstream, attempt.fill_source
        if cache.health.last_response_at <= attempt.sent_at:
            overdue = sum(
                each.sent_at >= cache.health.last_response_at and now >= each.request.context.objective_at
                for each in cache.health.in_flight
            )
            return cache if overdue >= MIN_OVERDUE_ATTEMPTS else None
        is_fill = source is not cache
        is_first_check = lateness < self._check_interval
        if is_fill and is_first_check and source.health.last_response_at <= attempt.sent_at:
            return source
        return None
