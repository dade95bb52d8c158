"""Observations of the whole fleet, which influence local decisions only within bounds."""

from __future__ import annotations

from ..model.fleet_view import FleetView, LinkSlowdown
from ..model.parameters import Parameters
from ..model.policy_protocol import PolicyHost
from ..model.upstream import Upstream, UpstreamRole, name_hash
from .durations import Durations
from .known_upstreams import KnownUpstreams
from .link_model import NO_SLOWDOWN, LinkModel, SharedLinks

# An upstream is suspected if the number of fronts that have ejected it exceeds both this share of the fleet
# and this count.
SUSPICION_FLEET_SHARE = 1 / 4
SUSPICION_FRONT_COUNT = 1
UNOBSERVED_LINK = LinkSlowdown(NO_SLOWDOWN, 0)  # default for a link that the fleet view does not contain
# This front's estimate of a slowdown counts as outdated if it exceeds the fleet's estimate by this factor.
OUTDATED_SLOWDOWN_FACTOR = 2


class FleetHints:
    """Applies the fleet view: it adjusts decisions within bounds and never closes a circuit by itself."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        upstreams: KnownUpstreams,
        links: SharedLinks,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._objective = durations.shortest_objective
        self._upstreams = upstreams
        self._links = links
        self.last_view: FleetView | None = None

    def current_view(self, now: int) -> FleetView | None:
        """Return the last fleet view if it is still valid, else None."""
        return self.last_view if self.last_view and now < self.last_view.valid_until else None

    def apply(self, view: FleetView) -> None:
        """Apply a new fleet view."""
        self.last_view = view
        now = self._host.now()
        for number, link in self._links.numbered_links(self._parameters.zone):
            observed = view.link_slowdowns.get(number, UNOBSERVED_LINK)
            # A total transfer time below one latency objective covers too few transfers to be representative.
            if observed.transfer_time < self._objective:
                link.fleet_slowdown_until = 0
            else:
                self._apply_slowdown(link, observed.slowdown, view.valid_until, now)
        for upstream in self._upstreams.listed:
            self._apply_suspicion(upstream, view, now)

    def _apply_slowdown(self, link: LinkModel, slowdown: float, valid_until: int, now: int) -> None:
        link.fleet_slowdown = slowdown
        link.fleet_slowdown_until = valid_until
        if link is self._links.caches:
            return
        outdated = slowdown * OUTDATED_SLOWDOWN_FACTOR < link.slowdown(now)
        if outdated and not link.in_flight:
            link.record_probe(True, now, self._objective)  # counts like a probe of this front

    def _apply_suspicion(self, upstream: Upstream, view: FleetView, now: int) -> None:
        """Apply the number of fronts that ejected an upstream, the assigned prober, and reported recovery."""
        name_key, health = name_hash(upstream.name), upstream.health
        suspecting_fronts = view.suspected.get(name_key, 0)
        recovered = name_key in view.recovered
        probed_here = name_key in view.assigned_probes
        probed_elsewhere = suspecting_fronts > 0 and not probed_here and not recovered
        health.probe_delegated_until = view.valid_until if probed_elsewhere else 0
        if health.is_ejected and recovered:
            health.circuit_open_until = min(health.circuit_open_until, now)  # allow a probe now
        elif health.is_ejected and suspecting_fronts and not probed_elsewhere:
            # This front probes for the whole fleet, so its own exponential backoff must not delay the probe.
            health.circuit_open_until = min(health.circuit_open_until, now + health.min_backoff)
        limit = max(SUSPICION_FRONT_COUNT, self._parameters.fleet_size * SUSPICION_FLEET_SHARE)
        widely_ejected = suspecting_fronts > limit
        suspected = probed_elsewhere and upstream.role is UpstreamRole.CACHE and widely_ejected
        health.suspected_until = view.valid_until if suspected else 0
