"""Purges of a run, and the time from which each must be in effect at each target."""

from __future__ import annotations

import gevent

from benchmarks.processes import now
from benchmarks.purge_expectations import PurgeExpectations
from marbleglade.testing.object_store import NS_PER_MS
from marbleglade.testing.regions import PURGE_DELAY_SECONDS, StandInRegion

from .world import Outage, World

GRACE_S = 0.3  # seconds within which a purge must take effect once it can reach a target
TARGETS_WITHOUT_DEADLINE = ("front", "plain")  # targets that get no deadline for purges from the other region


class Purges:
    """Publishes purges, and computes when each could first have reached the other region.

    Attributes:
        expectations: The purges, with the time from which each must be in effect by target.
        cuts: Start and end of each cut between the regions.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.expectations = PurgeExpectations()
        self.cuts: list[Outage] = []
        self._without_deadlines: list[tuple[int, str]] = []  # index of a purge, and its region

    def publish(self, region: StandInRegion, object_id: int, group: int = 0) -> None:
        """Purge an object in its own region or, if `object_id` is 0, a group in `region`.

        The purge is also published to the target "front" and its edge caches, as operators would do.
        """
        world = self._world
        region = world.regions.both[object_id >> 63] if object_id else region
        purged_at = now()
        region.purge(object_id, group)
        unix_ms = world.east.clock() // NS_PER_MS
        world.front_discovery.purge(object_id, group, unix_ms)
        for edge in world.edges:
            gevent.spawn_later(PURGE_DELAY_SECONDS, edge.cache.drop_purged, object_id, group, unix_ms)
        self._without_deadlines.append((len(self.expectations.purges), region.name))
        effective_at = {
            name: purged_at + GRACE_S
            for name, pool in world.pools.items()
            if pool.region == region.name or name == "front"
        }
        self.expectations.add(object_id, group, region is world.west, purged_at, effective_at)

    def set_remote_deadlines(self) -> None:
        """Set the deadlines of the latest purges in the other region; call it when no cut is in progress."""
        pending, self._without_deadlines = self._without_deadlines, []
        for index, region in pending:
            purge = self.expectations.purges[index]
            for name, pool in self._world.pools.items():
                if pool.region != region and name not in TARGETS_WITHOUT_DEADLINE:
                    crossed_at = self._crossed_at(region, purge.purged_at, name)
                    purge.effective_at[name] = crossed_at + GRACE_S

    def _crossed_at(self, region: str, purged_at: float, target: str) -> float:
        """Return when a purge in `region` could first have reached a target in the other region."""
        world = self._world
        own = world.east if region == "east" else world.west
        gateways = (world.without_journal[region] if "-b-" in target else own).gateways
        first, second = (world.outages[name] for name in gateways)
        both_down = [[max(a[0], b[0]), min(a[1], b[1])] for a in first for b in second]
        crossed_at = purged_at
        for start, end in sorted([*self.cuts, *(outage for outage in both_down if outage[0] < outage[1])]):
            if start - GRACE_S <= crossed_at < end:
                crossed_at = end
        return crossed_at
