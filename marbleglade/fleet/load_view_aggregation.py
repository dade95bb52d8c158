"""The aggregated load view as control nodes compute it: a partial view of each node, and their sum.

Each front sends its load report to its primary control node. A node aggregates the reports of its own fronts
into a partial view, the nodes exchange their partial views, and each node merges them into the view that it
returns to its own fronts. So no sender addresses the whole fleet, and the views need no leader. If a node
dies, its partial view expires, and its fronts report to another node.

This module does no I/O, reads no clock and has no randomness; times are nanoseconds of the caller's monotonic
clock. The number of a front is its position in the control plane's settings, which are the same at all nodes
and fronts.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace

from ..model.fleet_view import FIRST_ZONE_LINK
from .load_view import (
    FRESH_PERIODS,
    MAX_OPEN_CIRCUITS,
    NO_FRONT,
    AggregatedView,
    FrontReport,
    LinkWork,
    LoadAggregator,
    OpenCircuit,
    ZoneLoad,
    assign_circuit_prober,
    assign_load_prober,
    merge_recovered,
)

MAX_ZONES = 64  # zones in a partial view; the view for a front has that front's zone only
FILL_LINK_COUNT = FIRST_ZONE_LINK  # links that belong to no zone: for origin fetches and for other fills
NODE_TERM = 1  # the term of all views of control nodes; constant, as no elected leader computes them
MERGES_PER_PERIOD = 4  # most merges of the partial views at a node in one reporting period


@dataclass(slots=True)
class ReceivedPartialView:
    """The latest partial view of another node, and the time of its arrival, ns."""

    view: AggregatedView
    received_at: int


@dataclass(slots=True)
class NodeLoadView:
    """Computes the load view at one control node.

    Attributes:
        period: Nanoseconds between two reports of a front, and between two partial views of a node.
        aggregator: The reports of this node's own fronts.
        partial_views: The latest partial view of each other node, by the node's name.
        merged: The view of all fronts, computed at most `MERGES_PER_PERIOD` times per period.
        merged_at: Time at which `merged` was computed, ns.
    """

    period: int
    aggregator: LoadAggregator = field(init=False)
    partial_views: dict[str, ReceivedPartialView] = field(default_factory=dict)
    merged: AggregatedView | None = None
    merged_at: int = 0

    def __post_init__(self) -> None:
        self.aggregator = LoadAggregator(self.period, load_probes_allowed=True, max_zones=MAX_ZONES)

    def add_report(self, front: int, report: FrontReport, now: int) -> bool:
        """Store a report of one of this node's own fronts; false if it is not newer than the stored one."""
        return self.aggregator.add_report(front, report, now)

    def add_partial_view(self, node: str, view: AggregatedView, now: int) -> bool:
        """Store another node's partial view; false if it is not newer than that node's stored fresh one."""
        last = self.partial_views.get(node)
        if last and view.sequence <= last.view.sequence and self._is_fresh(last, now):
            return False
        self.partial_views[node] = ReceivedPartialView(view, now)
        return True

    def partial_view(self, now: int) -> AggregatedView:
        """Compute the partial view of this node's own fronts."""
        return self.aggregator.aggregate(NODE_TERM, now)

    def view_for(self, zone: int, now: int) -> AggregatedView:
        """Return the view of all fronts, restricted to the parts that a front of the zone uses."""
        if self.merged is None or now - self.merged_at >= self.period // MERGES_PER_PERIOD:
            others = [
                received.view for received in self.partial_views.values() if self._is_fresh(received, now)
            ]
            self.merged = merge([self.partial_view(now), *others])
            self.merged_at = now
        return restrict_to_zone(self.merged, zone)

    def _is_fresh(self, received: ReceivedPartialView, now: int) -> bool:
        return now - received.received_at < FRESH_PERIODS * self.period


def merge(views: list[AggregatedView]) -> AggregatedView:
    """Merge partial views; the result has the sequence number of the first one."""
    merged = AggregatedView(NODE_TERM, views[0].sequence)
    for view in views:
        merged.fronts = min(merged.fronts + view.fronts, NO_FRONT)
        merged.load_ms += view.load_ms
        merged.first_requests += view.first_requests
        merged.retry_cost += view.retry_cost
        merged.rejected += view.rejected
        for key, link in view.links.items():
            total = merged.links.get(key, LinkWork(0, 0))
            merged.links[key] = LinkWork(total.work_ms + link.work_ms, total.duration_ms + link.duration_ms)
    merged.zone_loads = _merge_zone_loads(views)
    merged.open_circuits = _merge_open_circuits(views)
    merged.recovered = merge_recovered(view.recovered for view in views)
    return merged


def _merge_zone_loads(views: list[AggregatedView]) -> dict[int, ZoneLoad]:
    """Return the latest load of each zone, with one load prober chosen among those in the partial views."""
    loads: dict[int, ZoneLoad] = {}
    probers: dict[int, list[int]] = {}
    for view in views:
        for zone, load in view.zone_loads.items():
            probers.setdefault(zone, []).append(load.prober)
            if zone not in loads or load.age_ms < loads[zone].age_ms:
                loads[zone] = replace(load)
    for zone, numbers in probers.items():
        loads[zone].prober = assign_load_prober(zone, _assigned_probers(numbers))
    return loads


def _merge_open_circuits(views: list[AggregatedView]) -> dict[int, OpenCircuit]:
    """Return the circuits that the most fronts have open, each with one half-open prober from the views."""
    reporters: Counter[int] = Counter()
    probers: dict[int, list[int]] = {}
    for view in views:
        for upstream, circuit in view.open_circuits.items():
            reporters[upstream] += circuit.reporters
            probers.setdefault(upstream, []).append(circuit.prober)
    return {
        upstream: OpenCircuit(count, assign_circuit_prober(upstream, _assigned_probers(probers[upstream])))
        for upstream, count in reporters.most_common(MAX_OPEN_CIRCUITS)
    }


def _assigned_probers(numbers: list[int]) -> list[int]:
    return [number for number in numbers if number != NO_FRONT]


def restrict_to_zone(view: AggregatedView, zone: int) -> AggregatedView:
    """Return a copy of the view without the links and the loads of other zones."""
    keys = {*range(FIRST_ZONE_LINK), FIRST_ZONE_LINK + zone}
    links = {key: link for key, link in view.links.items() if key in keys}
    zone_loads = {zone: view.zone_loads[zone]} if zone in view.zone_loads else {}
    return replace(view, links=links, zone_loads=zone_loads)
