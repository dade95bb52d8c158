"""Orders the regions for an object by the deployment's routes, or by the region that last served it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from ..deployment.deployment_pb2 import Route
from ..state.purge_history import UNKNOWN_GROUP

OBJECT_ID_DIGITS = 16
BITS_PER_DIGIT = 4


@dataclass(frozen=True, slots=True)
class RouteRule:
    """A range of object ids and groups that belong to one region; the bounds are inclusive.

    Attributes:
        region: The name of the region.
        first_group: The lowest group of the range.
        last_group: The highest group of the range.
        first_object_id: The lowest object id of the range.
        last_object_id: The highest object id of the range.
    """

    region: str
    first_group: int = 0
    last_group: int = UNKNOWN_GROUP
    first_object_id: int = 0
    last_object_id: int = (1 << 64) - 1

    def matches(self, object_id: int, group: int) -> bool:
        """Return whether an object of a group is within the rule's ranges."""
        return (
            self.first_object_id <= object_id <= self.last_object_id
            and self.first_group <= group <= self.last_group
        )


def route_rule(region: str, first_group: int | None, last_group: int | None, prefix: str) -> RouteRule:
    """Return the rule for one route of the deployment.

    An object of an unknown group matches only rules without a last group.

    Args:
        region: The name of the region.
        first_group: The lowest group; None for no lower bound.
        last_group: The highest group; None for no upper bound, which includes unknown groups.
        prefix: The first hex digits of the object ids; empty for all objects.
    """
    free_digits = OBJECT_ID_DIGITS - len(prefix)
    first_object_id = int(prefix or "0", 16) << BITS_PER_DIGIT * free_digits
    return RouteRule(
        region,
        first_group or 0,
        UNKNOWN_GROUP if last_group is None else last_group,
        first_object_id,
        first_object_id + (1 << BITS_PER_DIGIT * free_digits) - 1,
    )


def read_route_rules(routes: Iterable[Route]) -> list[RouteRule]:
    """Return one rule for each route of a deployment, in the same order."""
    return [
        route_rule(
            route.region,
            route.first_group if route.HasField("first_group") else None,
            route.last_group if route.HasField("last_group") else None,
            route.prefix,
        )
        for route in routes
    ]


@dataclass(frozen=True, slots=True)
class ObjectLocation:
    """The region that last served an object.

    Attributes:
        region: The name of the region.
        served_at: The time at which the object was served, ns.
    """

    region: str
    served_at: int


class Routes:
    """Determines the regions to which a request for an object is sent, in order.

    Args:
        local_region: The name of this gateway's region.
        remote_regions: The names of all other regions.
        rules: The rules from the deployment's routes; the first matching rule applies.
        max_objects: The maximum number of objects whose last region is stored.
        retention_ns: The time for which an object's last region is used, ns.

    Attributes:
        locations: The region that last served each object, by object id, least recently served first.
    """

    def __init__(
        self,
        local_region: str,
        remote_regions: Iterable[str],
        rules: Iterable[RouteRule],
        max_objects: int,
        retention_ns: int,
    ) -> None:
        self.local_region = local_region
        self.regions = [local_region, *remote_regions]
        self.rules = tuple(rules)
        self.max_objects = max_objects
        self.retention_ns = retention_ns
        self.locations: OrderedDict[int, ObjectLocation] = OrderedDict()

    def regions_for(self, object_id: int, group: int, via_regions: tuple[str, ...], now: int) -> list[str]:
        """Return the regions to try, one after another. If a rule matches, only its region is tried.

        Args:
            object_id: The id of the object.
            group: The object's group.
            via_regions: The regions that have forwarded the request. If there are any, only the local region
                is tried, so that no request is forwarded twice.
            now: The current time, ns.

        Returns:
            The names of the regions; empty if the local region is one of `via_regions`, a routing loop.
        """
        if via_regions:
            return [] if self.local_region in via_regions else [self.local_region]
        for rule in self.rules:
            if rule.matches(object_id, group):
                return [rule.region]
        location = self._recent_location(object_id, now)
        first = location.region if location else self.local_region
        return [first, *(region for region in self.regions if region != first)]

    def _recent_location(self, object_id: int, now: int) -> ObjectLocation | None:
        location = self.locations.get(object_id)
        return location if location and now - location.served_at < self.retention_ns else None

    def reason_for(self, object_id: int, group: int, now: int) -> str:
        """Return the basis of `regions_for`: "a route", "an answer" (from a region) or "nothing"."""
        if any(rule.matches(object_id, group) for rule in self.rules):
            return "a route"
        return "an answer" if self._recent_location(object_id, now) else "nothing"

    def record_location(self, object_id: int, region: str, now: int) -> None:
        """Record that a region has served an object at `now`, ns."""
        self.locations.pop(object_id, None)
        self.locations[object_id] = ObjectLocation(region, now)
        if len(self.locations) > self.max_objects:
            self.locations.popitem(last=False)

    def record_missing(self, object_id: int, region: str) -> None:
        """Remove a region as the location of an object that it does not have."""
        location = self.locations.get(object_id)
        if location and location.region == region:
            del self.locations[object_id]
