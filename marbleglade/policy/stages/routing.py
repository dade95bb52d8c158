"""The stage that selects the cache or parent for a request, or rejects the request."""

from __future__ import annotations

from typing import NamedTuple

from ...model.parameters import Parameters
from ...model.policy_protocol import PolicyHost
from ...model.request import Idempotency, Request
from ...model.upstream import Upstream
from ..cache_selection import CacheSelection
from ..durations import Durations
from ..known_upstreams import KnownUpstreams
from ..latency_prediction import LatencyPrediction
from ..link_model import CONGESTED_SLOWDOWN, SharedLinks
from ..origin_overload import OriginOverload
from ..parent_selection import ParentSelection
from ..rejection import Rejection
from ..rejection_reasons import NoCacheReason, NoParentReason, NoRetryReason, routing_reason
from ..retry_safety import may_send_to
from .dispatch import Dispatch
from .fill_source import FillSource

FIRST_ATTEMPT_TIME_PERCENT = 70  # of the remaining time; the rest is left for a retry
FULL_CONGESTION = 1  # ratio of transfers in progress to link capacity at which no capacity is left


class PredictedResponse(NamedTuple):
    """A cache and its predicted response time, ns."""

    cache: Upstream
    response_time: int


class Routing:
    """Sends a request to the first usable cache in rendezvous hash order that can respond in time.

    If no cache can, a request of a class that is not `IDEMPOTENT` is sent to the fastest one. A request of an
    `IDEMPOTENT` class is then sent where links are not congested, which may be a parent, or is rejected. The
    same is done if its fill would overload the origin. Without a usable cache, a parent may respond directly.
    """

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        upstreams: KnownUpstreams,
        cache_selection: CacheSelection,
        parents: ParentSelection,
        links: SharedLinks,
        prediction: LatencyPrediction,
        origin_overload: OriginOverload,
        rejection: Rejection,
        fill_source: FillSource,
        dispatch: Dispatch,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._report_lifetime = durations.observation_lifetime
        self._upstreams = upstreams
        self._cache_selection = cache_selection
        self._parents = parents
        self._links = links
        self._prediction = prediction
        self._origin_overload = origin_overload
        self._rejection = rejection
        self._fill_source = fill_source
        self._dispatch = dispatch

    def handle_request(self, request: Request) -> None:
        """Send the request to a cache, or directly to a parent, or end it without an attempt."""
        now, context = self._host.now(), request.context
        caches = self._cache_selection.candidates(request, now)
        time_left = context.objective_at - now
        if not request.attempts:
            time_left = time_left * FIRST_ATTEMPT_TIME_PERCENT // 100
        if not caches:
            is_any_active = bool(self._upstreams.zone_caches)
            reason = NoCacheReason.NONE_ADMITTED if is_any_active else NoCacheReason.NONE_ACTIVE
            self._bypass_caches(request, time_left, reason)
            return
        cache, response_time = self._select_cache(request, caches, time_left)
        idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
        if not idempotent or (
            response_time <= time_left
            and not (context.is_new_object and self._origin_overload.record_and_check_refusal(request, now))
        ):
            self._fill_source.send(request, cache)
        else:
            self._avoid_congestion(request, caches[0], cache, time_left, now)

    def _select_cache(self, request: Request, caches: list[Upstream], time_left: int) -> PredictedResponse:
        """Return the first cache that can respond in time, else the fastest one.

        Since the first cache in hash order that is in time is taken, not the fastest one, a popular object
        spreads to a second cache, but not to many.
        """
        response_time = self._prediction.response_time(request, caches[0])
        if response_time <= time_left:
            return PredictedResponse(caches[0], response_time)
        predictions = [
            PredictedResponse(cache, self._prediction.response_time(request, cache)) for cache in caches
        ]
        fastest = min(predictions, key=lambda each: each.response_time)
        return next((each for each in predictions if each.response_time <= time_left), fastest)

    def _avoid_congestion(
        self, request: Request, preferred: Upstream, cache: Upstream, time_left: int, now: int
    ) -> None:
        """Handle a request that no cache can fill in time, or whose fill would overload the origin.

        If the selected cache's own link is congested, a parent may respond to the request directly, provided
        that the zone's link is reported to have capacity. Otherwise only fills are congested, or the origin
        is close to overload. Then a request that already had an attempt is rejected or failed, and a first
        attempt may be sent as a probe of the fill links. If no probe is due, the preferred cache serves the
        object only if it is cached there or, provided that the zone's link is reported to have capacity, at a
        parent.

        Args:
            request: The request.
            preferred: The first cache in hash order.
            cache: The cache selected by predicted response time.
            time_left: The longest acceptable response time, ns.
            now: The present time, ns.
        """
        last_reporting = max(self._upstreams.zone_caches, key=lambda each: each.reported_at)
        report_valid = now - last_reporting.reported_at < self._report_lifetime
        zone_link_free = report_valid and last_reporting.congestion < FULL_CONGESTION
        if self._prediction.own_link_time(request, cache) > time_left:
            if zone_link_free:
                self._bypass_caches(request, time_left, NoCacheReason.CACHE_LINK_CONGESTED)
            else:
                no_time = 0  # prevents a direct response of a parent, which would use the zone's link
                self._bypass_caches(request, no_time, NoCacheReason.ZONE_LINK_NOT_FREE)
        elif request.attempts:
            self._rejection.give_up(request, NoRetryReason.FILLS_CONGESTED.value)
        elif self._may_probe_fills(request, cache, now):
            request.context.is_fill_probe = True
            self._fill_source.send(request, preferred)
        else:
            parent = self._parents.select(request, now) if zone_link_free else None
            self._dispatch.send(request, preferred, parent or preferred, only_if_cached=True)

    def _may_probe_fills(self, request: Request, cache: Upstream, now: int) -> bool:
        """Return whether a fill may be sent as a probe.

        Each link of the fill (all links of the response except the cache's own) must be idle and due for a
        probe.

        Without such probes, the front could not detect that the congestion has ended.
        """
        fill_links = self._prediction.links_used(request, cache)[1:]
        return not any(link.in_flight or now < link.next_probe_at for link in fill_links)

    def _bypass_caches(self, request: Request, time_left: int, no_cache_reason: NoCacheReason) -> None:
        """Send the request to a parent directly if that is allowed and in time, else reject or fail it."""
        now = self._host.now()
        parent = self._direct_parent(request, time_left, now)
        if isinstance(parent, NoParentReason):
            self._rejection.give_up(request, routing_reason(no_cache_reason, parent))
            return
        # The parent fetches from the origin only while fills are not congested.
        fills_uncongested = self._links.fills.slowdown(now) < CONGESTED_SLOWDOWN
        source = self._upstreams.origin if fills_uncongested else None
        self._dispatch.send(request, parent, source or parent)

    def _direct_parent(self, request: Request, time_left: int, now: int) -> Upstream | NoParentReason:
        """Return the parent that may respond in place of the caches, or the reason why there is none."""
        if not self._parameters.parents_serve_directly:
            return NoParentReason.NOT_ALLOWED
        parent = self._parents.select(request, now)
        if parent is None:
            return NoParentReason.NONE_USABLE
        if not may_send_to(request, parent, now):
            return NoParentReason.REPEAT_UNSAFE
        if self._prediction.own_link_time(request, parent) > time_left:
            return NoParentReason.TOO_SLOW
        return parent
