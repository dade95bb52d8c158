"""Prediction of response times."""

from __future__ import annotations

from ..model.policy_protocol import PolicyHost
from ..model.request import Request
from ..model.upstream import Upstream
from .cache_age import CacheAgeLimit
from .durations import Durations
from .link_model import LinkModel, SharedLinks

# How long a cache is expected to hold an object after serving it, in units of
# `Durations.observation_lifetime`. Directory entries are shorter-lived, because a wrong entry there causes a
# failed fill, while an error here only makes the prediction less accurate.
EXPECTED_RETENTION_LIFETIMES = 2.5
# A quarter of the latency objective is reserved for round trips and queueing.
NETWORK_ALLOWANCES_PER_OBJECTIVE = 4
EVENT_LOOP_DELAYS_PER_RESPONSE = 2  # one to read the response, one to write it to the client


def network_allowance(request: Request) -> int:
    """Return the part of the latency objective, in ns, that is reserved for round trips and queueing."""
    return request.request_class.latency_objective // NETWORK_ALLOWANCES_PER_OBJECTIVE


class LatencyPrediction:
    """Predicts response times from the congestion of the links that a response uses."""

    def __init__(
        self, host: PolicyHost, durations: Durations, links: SharedLinks, cache_age: CacheAgeLimit
    ) -> None:
        self._host = host
        self._expected_retention = durations.observation_lifetime * EXPECTED_RETENTION_LIFETIMES
        self._links = links
        self._cache_age = cache_age

    def links_used(self, request: Request, cache: Upstream) -> list[LinkModel]:
        """Return the links that a response uses: the cache's own link, then the links of an expected fill.

        The links of the fill are ordered from the cache to the origin, as in `Attempt.link_reservations`.
        """
        history = request.context.history
        now = self._host.now()
        answered_since = max(cache.health.contents_lost_at, now - self._expected_retention)
        is_hit = (
            cache is history.likely_holder
            and history.answered_at > answered_since
            and not self._cache_age.is_limited(request, now)
        )
        if is_hit:
            return [cache.health.link]
        if request.context.is_new_object:
            return [cache.health.link, self._links.fills, self._links.origin_fetches]
        return [cache.health.link, self._links.fills]

    def own_link_time(self, request: Request, upstream: Upstream) -> int:
        """Predict the time, ns, of a response that uses only the upstream's own link."""
        transfer = upstream.health.link.predict_time(request.context.transfer_time, self._host.now())
        return transfer + self._overhead(request)

    def response_time(self, request: Request, cache: Upstream) -> int:
        """Predict the time of a response, ns, including a fill if one is expected."""
        now, transfer_time = self._host.now(), request.context.transfer_time
        slowest = max([link.predict_time(transfer_time, now) for link in self.links_used(request, cache)])
        return slowest + self._overhead(request)

    def _overhead(self, request: Request) -> int:
        return network_allowance(request) + EVENT_LOOP_DELAYS_PER_RESPONSE * self._host.handling_delay()
