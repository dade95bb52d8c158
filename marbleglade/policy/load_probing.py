"""Schedules load probes, which report the congestion of this zone's link."""

from __future__ import annotations

from ..model.parameters import Parameters
from ..model.policy_protocol import PolicyHost
from .durations import Durations
from .fleet_hints import FleetHints
from .known_upstreams import KnownUpstreams
from .numbered_random import NumberedRandom

# The minimum interval between two probes of a front, and the maximum random addition, which spreads the
# probes of different fronts; both in shortest latency objectives.
MIN_INTERVAL_OBJECTIVES = 6
INTERVAL_SPREAD_OBJECTIVES = 4
FLEET_PROBER_RATE_FACTOR = 4  # factor on the probe rate of a front that probes for the whole zone


class LoadProbing:
    """Probes a random cache of the zone about once in eight latency objectives.

    If the fleet has assigned one front to probe the zone, only that front sends probes, at a higher rate.
    """

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        upstreams: KnownUpstreams,
        fleet_hints: FleetHints,
        random: NumberedRandom,
    ) -> None:
        self._host = host
        self._allowed = parameters.load_probes_allowed
        self._objective = durations.shortest_objective
        self._upstreams = upstreams
        self._fleet_hints = fleet_hints
        self._random = random
        self._next_probe_at = 0  # ns

    def run(self, now: int) -> None:
        """Send a load probe if one is due; `now` in ns."""
        caches = self._upstreams.zone_caches
        if not self._allowed or not caches or now < self._next_probe_at:
            return
        view = self._fleet_hints.current_view(now)
        if view and not view.is_load_prober:
            return
        objectives = MIN_INTERVAL_OBJECTIVES + INTERVAL_SPREAD_OBJECTIVES * self._random.draw()
        interval = self._objective * objectives
        interval /= FLEET_PROBER_RATE_FACTOR if view else 1
        self._next_probe_at = now + int(interval)
        self._host.probe_load(caches[int(self._random.draw() * len(caches))])
