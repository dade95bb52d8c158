"""Load reports of many fronts in several zones."""

from dataclasses import replace
from typing import Any

from marbleglade.fleet.load_view import FrontReport, LinkWork, ZoneLoad

ZONES = 11


def front_report(front: int, sequence: int = 1, **changes: Any) -> FrontReport:
    """Return a load report of a front, whose zone follows from its number; `changes` replace fields."""
    zone = front % ZONES
    report = FrontReport(
        sequence,
        zone,
        load_ms=1000,
        first_requests=50,
        retry_cost=5,
        rejected=2,
        links={0: LinkWork(10, 12), 1: LinkWork(20, 30), 2 + zone: LinkWork(100, 150)},
        zone_loads={zone: ZoneLoad(0.25, age_ms=100 + front)},
    )
    return replace(report, **changes)
