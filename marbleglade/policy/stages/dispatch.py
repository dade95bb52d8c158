"""The last stage: sends attempts and attributes their results to upstreams."""

from __future__ import annotations

from ...model.attempt import Attempt, AttemptResult, ResponseSource
from ...model.max_age import DEFAULT_MAX_AGE
from ...model.parameters import Parameters
from ...model.policy_protocol import PolicyHost
from ...model.request import Request
from ...model.upstream import Upstream, UpstreamRole
from ..cache_age import CacheAgeLimit
from ..cache_priority import FIRST_CACHE_PRIORITY, UNCACHED_PRIORITY
from ..failure_attribution import FULL_SHARE, FailureAttribution
from ..latency_prediction import LatencyPrediction
from ..link_model import CONGESTED_SLOWDOWN, LinkModel, LinkReservation, SharedLinks
from ..link_observation import LinkObserver
from ..load_estimate import LoadEstimate
from ..timers import AttemptTimers

# Response sources which prove that the fill source delivered the object.
CONFIRMED_FILLS = (ResponseSource.FILLED, ResponseSource.FROM_ORIGIN)
# Results which prove that the cache is responsive.
RESPONSIVE_RESULTS = (AttemptResult.OK, AttemptResult.MISS, AttemptResult.REJECTED, AttemptResult.ERROR)
# Share of a failure that is attributed to the fill source when an attempt that expects a fill is rejected:
# half, because either the source or the cache may be overloaded.
REJECTING_SOURCE_SHARE = 1 / 2
# An attempt is first checked when the latency objective has ended, but not before the attempt exceeds its
# transfer time by the latency objective divided by this number.
OVERDUE_OBJECTIVE_DIVISOR = 2
CONNECTION_FAILURES = (AttemptResult.RESET, AttemptResult.CONNECT_FAILED)


class Dispatch:
    """Sends attempts and updates the health of upstreams from the results."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        cache_age: CacheAgeLimit,
        load: LoadEstimate,
        links: SharedLinks,
        prediction: LatencyPrediction,
        timers: AttemptTimers,
        attribution: FailureAttribution,
        link_observer: LinkObserver,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._cache_age = cache_age
        self._load = load
        self._links = links
        self._prediction = prediction
        self._timers = timers
        self._attribution = attribution
        self._link_observer = link_observer

    def send(self, request: Request, cache: Upstream, source: Upstream, only_if_cached: bool = False) -> None:
        """Send an attempt.

        Args:
            request: The request.
            cache: The upstream to send the attempt to.
            source: The upstream to fill a miss from; `cache` itself to allow no fill.
            only_if_cached: Whether to respond with a miss when neither `cache` nor `source` holds the object.
        """
        now, request_class, context = self._host.now(), request.request_class, request.context
        # While fills are slow, a stale response is better than none. It is revalidated in the background.
        fills_slow = only_if_cached or self._links.fills.slowdown(now) > CONGESTED_SLOWDOWN
        max_age = self._cache_age.age_limit(request, now, request_class.stale_grace if fills_slow else 0)
        cacheable = request_class.freshness_lifetime > 0 and source is not cache
        attempt = self._host.start_attempt(
            request,
            upstream=cache,
            fill_source=source,
            timeout=request.deadline - now,
            cache_priority=context.cache_priority if cache.role is UpstreamRole.CACHE else UNCACHED_PRIORITY,
            max_age=max_age,
            join_fill=self._parameters.can_join_fills,
            only_if_cached=only_if_cached,
            cache_locally=context.cache_priority > FIRST_CACHE_PRIORITY,
            refresh=cacheable and (fills_slow or max_age == DEFAULT_MAX_AGE),
        )
        self._count_in_flight(attempt, now)
        self._reserve_links(attempt, only_if_cached)
        overdue_after = request_class.latency_objective // OVERDUE_OBJECTIVE_DIVISOR
        deadline = max(context.objective_at, now + context.transfer_time + overdue_after)
        self._timers.schedule(deadline, attempt)

    def handle_result(self, attempt: Attempt) -> bool:
        """Update the health of the upstreams, the link models and the request context from a result."""
        now, context = self._host.now(), attempt.request.context
        inconclusive = attempt.result is AttemptResult.ERROR and not self._is_fault(attempt)
        if inconclusive:
            context.unexplained_errors.append(attempt)
        for upstream in (attempt.upstream, attempt.fill_source):
            upstream.health.end_attempt(attempt, inconclusive, now)
        if attempt.result in RESPONSIVE_RESULTS:
            attempt.upstream.health.last_response_at = now
        if attempt.result is AttemptResult.OK:
            self._record_success(attempt, now)
        else:
            self._attribute_failure(attempt, now)
        if attempt.result is not AttemptResult.CANCELLED:
            context.avoided += self._upstreams_to_avoid(attempt)
        self._link_observer.observe(attempt)
        return True

    def _count_in_flight(self, attempt: Attempt, now: int) -> None:
        request_class = attempt.request.request_class
        cache, source = attempt.upstream.health, attempt.fill_source.health
        cache.in_flight[attempt] = None
        source.fills_in_flight[attempt] = None
        work = self._load.mean_transfer_time(request_class)
        cache.begin_attempt(attempt, work, now)
        if source is not cache:
            source.begin_attempt(attempt, work, now)
        self._load.add_attempt(request_class, now)

    def _reserve_links(self, attempt: Attempt, only_if_cached: bool) -> None:
        links: list[LinkModel] = self._prediction.links_used(attempt.request, attempt.upstream)
        if attempt.fill_source is attempt.upstream:
            links = links[:1]  # only the upstream's own link: there is no fill
        elif only_if_cached:
            links = links[:2]  # also the link for fills, but no link to the origin: nothing is fetched
        for link in links:
            link.in_flight += 1
        attempt.link_reservations = [LinkReservation(link, link.in_flight) for link in links]

    @staticmethod
    def _is_fault(attempt: Attempt) -> bool:
        """Return whether the attempt ended with an error that was caused by an upstream.

        An error for an object of unknown size is inconclusive, because the object may not exist. A write
        does not need an existing object, so its errors always count.
        """
        request = attempt.request
        is_error = attempt.result is AttemptResult.ERROR
        return is_error and (request.context.size_known or request.request_class.uncacheable)

    def _record_success(self, attempt: Attempt, now: int) -> None:
        cache, source, context = attempt.upstream, attempt.fill_source, attempt.request.context
        cache.health.record_result(0, now)
        # The object exists, so earlier errors were caused by the other upstreams. Without this, no failure
        # would ever be attributed to a parent, because parents mostly fill new objects.
        while context.unexplained_errors:
            failed = context.unexplained_errors.pop()
            others = [each for each in (failed.upstream, failed.fill_source) if each not in (cache, source)]
            self._attribution.split_and_eject_outliers(others, now)
        if attempt.expects_fill and attempt.response_source is not ResponseSource.HIT:
            source.health.record_result(0, now)
        unreported = attempt.response_source is ResponseSource.NOTHING
        must_be_filled = attempt.expects_fill and context.is_new_object and unreported
        if attempt.response_source in CONFIRMED_FILLS or must_be_filled:
            source.health.last_response_at = now

    def _attribute_failure(self, attempt: Attempt, now: int) -> None:
        cache, source = attempt.upstream, attempt.fill_source
        is_fault = self._is_fault(attempt)
        if attempt.result in CONNECTION_FAILURES or (is_fault and source is cache):
            self._attribution.attribute_and_eject_outlier(cache, FULL_SHARE, now)
        elif attempt.result is AttemptResult.REJECTED and attempt.expects_fill:
            # A rejection without a fill means that the cache is overloaded: its link model accounts for that.
            self._attribution.attribute_and_eject_outlier(source, REJECTING_SOURCE_SHARE, now)
        elif is_fault:
            self._attribution.split_and_eject_outliers([cache, source], now)

    @staticmethod
    def _upstreams_to_avoid(attempt: Attempt) -> list[Upstream]:
        """Return the upstreams that a retry should avoid.

        This is the cache if it did not respond or if the source is avoided already, else the source.
        After a second error of an object that may not exist, the retry avoids both. Its result then shows
        whether the upstreams caused the errors.
        """
        cache, source, context = attempt.upstream, attempt.fill_source, attempt.request.context
        if len(context.unexplained_errors) > 1:
            return [cache, source]
        no_response = attempt.result in (*CONNECTION_FAILURES, AttemptResult.TIMEOUT)
        return [cache if no_response or source in context.avoided else source]
