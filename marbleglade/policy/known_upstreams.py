"""The upstreams on the endpoint list, grouped by role."""

from __future__ import annotations

from ..model.parameters import Parameters
from ..model.policy_protocol import PolicyHost
from ..model.upstream import Upstream, UpstreamRole, UpstreamState
from .durations import Durations
from .link_model import LinkModel, SharedLinks
from .numbered_random import NumberedRandom
from .upstream_health import UpstreamHealth

FIRST_EJECTION_OBJECTIVES = 2  # duration of the first ejection, in shortest latency objectives


class KnownUpstreams:
    """All listed upstreams, each with its health as observed by this front.

    Attributes:
        listed: All upstreams, active or draining, in the order in which they were first listed.
        zone_caches: The active caches in this front's zone, without draining caches.
        parents: All parents in any zone, including draining parents, which `ParentSelection` skips.
        origin: The origin, or None while no origin is listed.
    """

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        links: SharedLinks,
        random: NumberedRandom,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._durations = durations
        self._links = links
        self._random = random
        self.listed: dict[Upstream, None] = {}
        self.zone_caches: list[Upstream] = []
        self.parents: list[Upstream] = []
        self.origin: Upstream | None = None
        self._peak_counts = {UpstreamRole.CACHE: 1, UpstreamRole.PARENT: 1}

    def peak_count(self, role: UpstreamRole) -> int:
        """Return the highest number of zone caches, or of parents, that were listed at the same time.

        If most of a zone restarts at once, the first upstreams to return must not receive all of its traffic.
        """
        return self._peak_counts[role]

    def update(self, upstreams: list[Upstream], complete: bool) -> None:
        """Update the changed upstreams; if `complete` is True, remove all that are not in `upstreams`."""
        now = self._host.now()
        unlisted = [each for each in self.listed if each not in upstreams] if complete else []
        for upstream in unlisted:
            upstream.state = UpstreamState.REMOVED
        for upstream in [*upstreams, *unlisted]:
            if not upstream.health or upstream.health.started_at < upstream.started_at:
                upstream.health = self._new_health(upstream, now)
            if upstream.state is UpstreamState.REMOVED:
                self.listed.pop(upstream, None)
            else:
                self.listed[upstream] = None
        self._sort_by_role()

    def _new_health(self, upstream: Upstream, now: int) -> UpstreamHealth:
        group = self._links.caches if upstream.role is UpstreamRole.CACHE else None
        link = LinkModel(self._parameters.fleet_size, now, self._durations.observation_lifetime, group)
        objective = self._durations.shortest_objective
        # All fronts see a new upstream at about the same time and must not all send to it at once. Each front
        # therefore starts with a random warm-up debt, expressed as transfer time.
        debt = self._random.draw() * objective
        return UpstreamHealth(
            now,
            started_at=upstream.started_at,
            warmup_debt=debt,
            backoff=objective * FIRST_EJECTION_OBJECTIVES,
            link=link,
        )

    def _sort_by_role(self) -> None:
        zone = self._parameters.zone
        self.zone_caches = [
            each
            for each in self.listed
            if each.state is UpstreamState.ACTIVE and each.role is UpstreamRole.CACHE and each.zone == zone
        ]
        self.parents = [each for each in self.listed if each.role is UpstreamRole.PARENT]
        self.origin = next((each for each in self.listed if each.role is UpstreamRole.ORIGIN), None)
        counts = {UpstreamRole.CACHE: len(self.zone_caches), UpstreamRole.PARENT: len(self.parents)}
        for role, count in counts.items():
            self._peak_counts[role] = max(self._peak_counts[role], count)
