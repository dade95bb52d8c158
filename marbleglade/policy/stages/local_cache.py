"""The stage that serves a request from this front's own cache."""

from __future__ import annotations

from ...model.parameters import Parameters
from ...model.policy_protocol import PolicyHost
from ...model.request import CachedResponse, Request
from ..cache_age import CacheAgeLimit
from ..latency_prediction import network_allowance
from .stage import RequestStage


class LocalCacheStage:
    """Serves a cached response if it is fresh enough and the front's own link can transmit it in time."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        cache_age: CacheAgeLimit,
        next_stage: RequestStage,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._cache_age = cache_age
        self._next_stage = next_stage
        self._link_free_at = 0  # when the front's own link will have sent the responses served so far, ns

    def handle_request(self, request: Request) -> None:
        """Serve the cached response, or pass the request on."""
        cached = request.cached
        if not cached or not self._serve_if_fresh(request, cached, self._host.now()):
            self._next_stage.handle_request(request)

    def _serve_if_fresh(self, request: Request, cached: CachedResponse, now: int) -> bool:
        """Serve the response if it is fresh and arrives in time; return whether it was served."""
        link_time = int(cached.transfer_time / self._parameters.local_link_capacity)
        link_free_at = max(now, self._link_free_at) + link_time
        sent_at = max(link_free_at, now + cached.transfer_time)
        if sent_at + network_allowance(request) > request.context.objective_at:
            return False
        lifetime = request.request_class.freshness_lifetime
        max_age = self._cache_age.age_limit(request, now) or lifetime
        if 0 < max_age <= now - cached.issued_at:  # 0: no limit on the age
            return False
        self._link_free_at = link_free_at
        self._host.serve_cached(request)
        return True
