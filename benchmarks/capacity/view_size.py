"""Bytes of one aggregated load view by its zones, and the number of zones that fit into it."""

from __future__ import annotations

from marbleglade.fleet.load_view import MAX_LINKS, MAX_ZONE_LOADS, AggregatedView, LinkWork, ZoneLoad
from marbleglade.protocols import fleet_datagrams

from .fit import fit_slopes_by_name
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only view"
FIRST_ZONE_LINK = 2  # links 0 and 1 are for fills
LINK_WORK = 1_000_000


def full_view(zones: int) -> AggregatedView:
    """Return the view of a fleet in `zones` zones, truncated as the aggregator truncates it."""
    keys = range(min(MAX_LINKS, FIRST_ZONE_LINK + zones))
    links = {key: LinkWork(LINK_WORK, LINK_WORK) for key in keys}
    zone_loads = {zone: ZoneLoad(0.5, 100, 1) for zone in range(min(MAX_ZONE_LOADS, zones))}
    return AggregatedView(1, 1, 730, LINK_WORK, LINK_WORK, LINK_WORK, LINK_WORK, links, zone_loads)


def zones_in_view(zones: int) -> int:
    """Return the number of zones in the view of a fleet in `zones` zones."""
    return len(full_view(zones).zone_loads)


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure views up to the most zones that fit, and the zones in a view of the operators' eleven."""
    points = [
        Point("view", "view aggregator", "bytes of a view", "B", {"zones": zones}, size, COMMAND)
        for zones in ((1, MAX_ZONE_LOADS) if quick else range(1, MAX_ZONE_LOADS + 1))
        if (size := len(fleet_datagrams.encode(full_view(zones))))
    ]
    zone_points = [
        Point(
            "zones in a view", "view aggregator", "zones told", "1", {"zones": n}, zones_in_view(n), COMMAND
        )
        for n in (MAX_ZONE_LOADS, 11)
    ]
    return [*points, *zone_points], fit_slopes_by_name(points, "zones")
