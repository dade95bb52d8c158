"""Load views that control nodes compute: partial views, their sum, and the use of a view at a front."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.capacity import load_views
from benchmarks.simulated_fleet.parameters import fleet_parameters
from marbleglade.control.node.partial_view import decode_partial_view, encode_partial_view
from marbleglade.fleet.agent import CONTROL_NODE, FleetAgent
from marbleglade.fleet.load_view import (
    FRESH_PERIODS,
    MAX_OPEN_CIRCUITS,
    AggregatedView,
    FrontReport,
    LinkWork,
    LoadAggregator,
    OpenCircuit,
    ZoneLoad,
)
from marbleglade.fleet.load_view_aggregation import MAX_ZONES, NodeLoadView, merge, restrict_to_zone
from marbleglade.model.fleet_view import ORIGIN_FETCHES_LINK, LinkUsage, LoadObservations
from marbleglade.protocols import fleet_datagrams
from tests.fleet.load_reports import ZONES, front_report
from tests.fleet.partial_view_strategies import partial_views
from tests.harness.units import NS_PER_MS

PERIOD_NS = 500 * NS_PER_MS
NOW = 1000 * PERIOD_NS
OPEN_CIRCUIT = 77


def exchange_partial_views(nodes: dict[str, NodeLoadView], now: int) -> None:
    """Have each node receive the partial views of all other nodes as encoded lines."""
    for name, node in nodes.items():
        line = encode_partial_view(node.partial_view(now))
        for other in nodes.values():
            if other is not node:
                other.add_partial_view(name, decode_partial_view(line), now)


def nodes_with_reports(front_count: int, node_count: int = 8) -> dict[str, NodeLoadView]:
    """Return nodes that share the reports of `front_count` fronts and have exchanged their partial views."""
    nodes = {f"c{number}": NodeLoadView(PERIOD_NS) for number in range(node_count)}
    for front in range(front_count):
        nodes[f"c{front % node_count}"].add_report(front, front_report(front), NOW)
    exchange_partial_views(nodes, NOW)
    return nodes


def test_all_nodes_compute_the_view_of_an_aggregator_that_receives_all_reports():
    aggregator = LoadAggregator(PERIOD_NS, load_probes_allowed=True, max_zones=MAX_ZONES)
    for front in range(730):
        aggregator.add_report(front, front_report(front), NOW)
    expected = aggregator.aggregate(1, NOW)
    views = {
        (name, zone): node.view_for(zone, NOW)
        for name, node in nodes_with_reports(730).items()
        for zone in range(ZONES)
    }
    for (_, zone), view in views.items():
        assert (view.fronts, view.load_ms) == (730, expected.load_ms)
        assert view.first_requests == expected.first_requests
        assert set(view.links) == {0, 1, 2 + zone}
        assert view.zone_loads[zone].age_ms == expected.zone_loads[zone].age_ms
        for key, link in view.links.items():  # the work differs, as each node trims some of its fronts
            expected_link = expected.links[key]
            slowdown = expected_link.duration_ms / expected_link.work_ms
            assert link.duration_ms / link.work_ms == pytest.approx(slowdown)


def test_every_zone_has_its_load_in_a_view_that_fits_a_datagram():
    node = NodeLoadView(PERIOD_NS)
    for front in range(2 * ZONES):
        report = front_report(
            front, open_circuits=list(range(1, MAX_OPEN_CIRCUITS + 1)), recovered=[1, 2, 3, 4, 5, 6]
        )
        node.add_report(front, report, NOW)
    for zone in range(ZONES):
        view = fleet_datagrams.decode(fleet_datagrams.encode(node.view_for(zone, NOW)))
        assert view.zone_loads[zone].value == 0.25
        assert view.links[2 + zone].work_ms
        assert len(view.open_circuits) == MAX_OPEN_CIRCUITS


def test_all_nodes_assign_one_prober_per_zone_and_per_open_circuit():
    nodes = nodes_with_reports(88)
    later = NOW + PERIOD_NS
    for front in range(88):
        nodes[f"c{front % 8}"].add_report(front, front_report(front, 2, open_circuits=[OPEN_CIRCUIT]), later)
    exchange_partial_views(nodes, later)
    views = [node.view_for(3, later) for node in nodes.values()]
    assert {view.open_circuits[OPEN_CIRCUIT].reporters for view in views} == {88}
    (circuit_prober,) = {view.open_circuits[OPEN_CIRCUIT].prober for view in views}
    assert circuit_prober < 88
    (load_prober,) = {view.zone_loads[3].prober for view in views}
    assert load_prober % ZONES == 3


def test_a_dead_nodes_fronts_are_excluded_once_its_partial_view_expires():
    node = nodes_with_reports(16, node_count=2)["c0"]
    assert node.view_for(0, NOW).fronts == 16
    later = NOW + FRESH_PERIODS * PERIOD_NS
    for front in range(0, 16, 2):
        node.add_report(front, front_report(front, 2), later)
    assert node.view_for(0, later).fronts == 8


def test_a_restarted_node_is_accepted_once_its_old_partial_view_expires():
    node = NodeLoadView(PERIOD_NS)
    before, after_restart = AggregatedView(1, 500, fronts=9), AggregatedView(1, 1, fronts=3)
    assert node.add_partial_view("c2", before, NOW)
    assert not node.add_partial_view("c2", after_restart, NOW + PERIOD_NS)
    assert node.add_partial_view("c2", after_restart, NOW + FRESH_PERIODS * PERIOD_NS)


def test_an_earlier_partial_view_and_an_earlier_report_are_ignored():
    node = NodeLoadView(PERIOD_NS)
    assert node.add_partial_view("c2", AggregatedView(1, 7, fronts=9), NOW)
    assert not node.add_partial_view("c2", AggregatedView(1, 7, fronts=9), NOW)
    assert node.add_report(1, front_report(1, 7), NOW)
    assert not node.add_report(1, front_report(1, 6), NOW)


@given(st.lists(partial_views, min_size=1, max_size=8))
def test_a_merged_view_is_complete(views):
    merged = merge(views)
    none = LinkWork(0, 0)
    assert merged.load_ms == sum(view.load_ms for view in views)
    assert merged.links.get(0, none).work_ms == sum(view.links.get(0, none).work_ms for view in views)
    assert merged.zone_loads.keys() == {zone for view in views for zone in view.zone_loads}
    for zone, load in merged.zone_loads.items():
        reported = [view.zone_loads[zone] for view in views if zone in view.zone_loads]
        assert load.age_ms == min(one.age_ms for one in reported)
        assert load.prober in {one.prober for one in reported}


@given(st.lists(partial_views, min_size=1, max_size=8))
def test_a_merged_view_is_independent_of_the_order_of_the_other_nodes(views):
    merged, reordered = merge(views), merge([views[0], *reversed(views[1:])])
    assert reordered.links == merged.links
    assert reordered.fronts == merged.fronts
    probers, reordered_probers = (
        {zone: load.prober for zone, load in view.zone_loads.items()} for view in (merged, reordered)
    )
    assert reordered_probers == probers


@given(st.lists(partial_views, min_size=1, max_size=8))
def test_any_merged_view_can_be_encoded_for_a_front(views):
    merged = merge(views)
    for zone in range(ZONES):
        assert fleet_datagrams.decode(fleet_datagrams.encode(restrict_to_zone(merged, zone))) is not None


def create_agent_with_control_nodes(number_in_views: int) -> FleetAgent:
    agent = FleetAgent(3, 50, 1, fleet_parameters(7, 50), 2 * PERIOD_NS, NOW, 7)
    agent.use_control_nodes(number_in_views)
    return agent


def test_a_front_reports_to_its_control_node_alone_and_does_not_lead():
    agent = create_agent_with_control_nodes(700)
    observations = LoadObservations(9, 9, 0, 0, {ORIGIN_FETCHES_LINK: LinkUsage(9, 9)}, [], [])
    outgoing = agent.tick(NOW + PERIOD_NS, lambda: observations, lambda: None)
    reports = [item for item in outgoing if isinstance(item.message, FrontReport)]
    assert [report.to for report in reports] == [CONTROL_NODE]
    assert not agent.leadership.is_leader


def test_with_control_nodes_a_peers_view_is_ignored():
    agent = create_agent_with_control_nodes(700)
    assert agent.receive(5, AggregatedView(9, 9, fronts=50), NOW) == []
    assert agent.fleet_view is None


def test_a_front_uses_the_probes_that_a_control_nodes_view_assigns_to_its_number():
    agent = create_agent_with_control_nodes(700)
    view = AggregatedView(
        1,
        1,
        fronts=50,
        load_ms=900,
        first_requests=50,
        open_circuits={5: OpenCircuit(4, prober=700), 6: OpenCircuit(4, prober=3)},
        zone_loads={1: ZoneLoad(0.5, 10, prober=700)},
    )
    agent.adopt_view(view, NOW + PERIOD_NS)
    assert agent.fleet_view.assigned_probes == {5}
    assert agent.fleet_view.suspected == {5: 4, 6: 4}
    assert agent.fleet_view.is_load_prober


def test_a_view_of_another_node_is_adopted_despite_a_smaller_sequence_number():
    agent = create_agent_with_control_nodes(700)
    view = AggregatedView(1, 1, fronts=50)
    agent.adopt_view(view, NOW + PERIOD_NS)
    agent.adopt_view(replace(view, sequence=0, fronts=40), NOW + PERIOD_NS)
    assert agent.view.fronts == 40


def test_the_traffic_of_a_front_does_not_grow_with_the_number_of_fronts():
    """Agents on simulated time exchange encoded lines with eight nodes; each front gets the view of all."""
    measurements = {
        (point.name, point.at["fronts"]): point.value
        for size in (24, 96)
        for point in load_views.measure(size)
    }
    for direction in ("sent", "received"):
        name = f"fleet viewed by nodes front bytes {direction}"
        assert 0 < measurements[name, 96] < 1.2 * measurements[name, 24]
        name = f"load view control machine bytes {direction}"
        assert measurements[name, 96] < 4 * measurements[name, 24]
