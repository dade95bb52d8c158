"""The stage that selects the fill source for a cache miss, and updates the directory from results."""

from __future__ import annotations

from ...model.attempt import Attempt, AttemptResult, ResponseSource
from ...model.parameters import Parameters
from ...model.policy_protocol import PolicyHost
from ...model.request import Request
from ...model.upstream import Upstream, UpstreamRole, UpstreamState
from ...state.directory import Directory
from ..cache_age import CacheAgeLimit
from ..durations import Durations
from ..parent_selection import ParentSelection
from .dispatch import CONFIRMED_FILLS, Dispatch

FILL_LATENCY_WEIGHT = 1 / 16  # weight of one response in the running mean of the fill latency


class FillSource:
    """Selects the fill source: a sibling cache listed in the directory, or the parent of the object."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        parents: ParentSelection,
        cache_age: CacheAgeLimit,
        directory: Directory,
        dispatch: Dispatch,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._observation_lifetime = durations.observation_lifetime
        self._parents = parents
        self._cache_age = cache_age
        self._directory = directory
        self._dispatch = dispatch

    def send(self, request: Request, cache: Upstream) -> None:
        """Send an attempt to a cache, with the best fill source for a miss."""
        now = self._host.now()
        parent = self._parents.select_or_origin(request, now) or cache
        self._dispatch.send(request, cache, self._select_source(parent, request, cache, now))

    def holders(self, request: Request, now: int) -> list[Upstream]:
        """Return the active caches for which the directory has a recent entry of the requested part."""
        entries = self._directory.caches(request.object_id, request.part)
        oldest = now - self._observation_lifetime
        return [
            cache
            for cache, entered_at in entries.items()
            if cache.health.contents_lost_at < entered_at > oldest and cache.state is UpstreamState.ACTIVE
        ]

    def handle_result(self, attempt: Attempt) -> bool:
        """Update the directory and the mean fill latency of the source, and pass the result on."""
        request, source = attempt.request, attempt.fill_source
        if attempt.result is AttemptResult.OK and not request.context.response_started:
            self._record_holder(attempt)
            self._record_fill_latency(attempt)
        elif attempt.result is AttemptResult.MISS:
            request.context.history.likely_holder = None
            self._directory.discard(request.object_id, request.part, source)
        return True

    def _select_source(self, parent: Upstream, request: Request, cache: Upstream, now: int) -> Upstream:
        """Return the least loaded sibling that holds the object, or the parent.

        The parent is returned if siblings may not fill this request, if none holds the object, or if the
        parent fills faster.

        Args:
            parent: The parent or origin; `cache` if there is neither.
            request: The request.
            cache: The cache to fill.
            now: The present time, ns.
        """
        if (
            not self._parameters.siblings_fill
            or self._cache_age.is_limited(request, now)
            or request.request_class.uncacheable
        ):
            return parent
        siblings = [
            each
            for each in self.holders(request, now)
            if each is not cache and not each.health.is_ejected and each not in request.context.avoided
        ]
        sibling = min(siblings, key=lambda each: len(each.health.in_flight), default=parent)
        no_slower = sibling.health.fill_latency <= parent.health.fill_latency
        no_parent = parent is cache
        return sibling if no_slower or no_parent else parent

    def _record_holder(self, attempt: Attempt) -> None:
        request, cache = attempt.request, attempt.upstream
        cached_there = attempt.cache_priority or attempt.response_source is ResponseSource.HIT
        if cached_there and cache.role is UpstreamRole.CACHE:
            now = self._host.now()
            self._directory.add(request.object_id, request.part, request.group, cache, now)
            request.context.history.likely_holder = cache
            request.context.history.answered_at = now

    def _record_fill_latency(self, attempt: Attempt) -> None:
        source = attempt.fill_source
        unreported_fill = not self._parameters.reports_cache_status and source is not attempt.upstream
        if attempt.response_source in CONFIRMED_FILLS or unreported_fill:
            # If the upstream reports no queueing time, all latency beyond the transfer time counts.
            wait = attempt.queueing_time or attempt.latency - attempt.request.context.transfer_time
            health = source.health
            health.fill_latency += (max(0, wait) - health.fill_latency) * FILL_LATENCY_WEIGHT
