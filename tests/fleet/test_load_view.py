"""The load view that a leader computes: its aggregation, its freshness under datagram loss, its traffic."""

import pytest

from marbleglade.fleet.load_view import (
    FrontReport,
    LinkWork,
    LoadAggregator,
    SlidingSums,
    ZoneLoad,
    trimmed_throughput,
)
from tests.fleet.simulated_fleet import SimulatedFleet
from tests.harness.units import NS_PER_MS, START_NS

PERIOD_NS = 1000 * NS_PER_MS
MAX_U16, MAX_U32 = 2**16 - 1, 2**32 - 1


@pytest.mark.parametrize(
    "loss_rate, duplication_rate, max_delay_ms, least_fresh_share",
    [(0.1, 0, 38, 0.95), (0.3, 0.2, 400, 0.95), (0.6, 0.2, 1500, 0.5)],
)
def test_most_fronts_have_a_fresh_view_despite_lost_datagrams(
    loss_rate, duplication_rate, max_delay_ms, least_fresh_share
):
    fleet = SimulatedFleet(20)
    fleet.network.loss_rate, fleet.network.duplication_rate = loss_rate, duplication_rate
    fleet.network.delay_ns = NS_PER_MS, max_delay_ms * NS_PER_MS
    fleet.run(10)
    is_fresh: list[bool] = []

    def record_freshness() -> None:
        views = [agent.fleet_view for agent in fleet.agents.values()]
        is_fresh.extend(view is not None and fleet.now < view.valid_until for view in views)

    fleet.run(20, record_freshness)
    assert sum(is_fresh) / len(is_fresh) > least_fresh_share


def test_bytes_received_by_a_front_hardly_grow_with_the_fleet():
    bytes_per_second = []
    for count in (20, 200):
        fleet = SimulatedFleet(count)
        fleet.run(5)
        fleet.network.bytes_delivered.clear()
        fleet.run(5)
        bytes_per_second.append(sum(fleet.network.bytes_delivered.values()) / count / 5)
    small, large = bytes_per_second
    assert large < 1.5 * small < 2000


def test_sliding_sums_cover_the_last_periods_only():
    sums = SlidingSums()
    for total in (10, 12, 15, 15, 19, 25):
        sums.add_period({"n": total})
    assert sums.sum("n") == 25 - 12


def test_a_counter_that_decreased_is_counted_from_zero():
    """A counter restarts when its upstream is removed and added again."""
    sums = SlidingSums()
    for total in (10, 12, 15, 15, 19, 25, 4):
        sums.add_period({"n": total})
    assert sums.sum("n") == 25 - 15 + 4


def aggregator_with_reports(count: int) -> LoadAggregator:
    """Return an aggregator that has the same report of `count` fronts."""
    aggregator = LoadAggregator(PERIOD_NS)
    report = FrontReport(
        1, load_ms=100, first_requests=10, retry_cost=1, links={0: LinkWork(work_ms=100, duration_ms=200)}
    )
    for number in range(count):
        aggregator.add_report(number, report, START_NS)
    return aggregator


def test_a_report_counts_once_and_while_it_is_fresh():
    aggregator = aggregator_with_reports(20)
    assert not aggregator.add_report(3, FrontReport(1, load_ms=900), START_NS)
    assert not aggregator.add_report(3, FrontReport(0), START_NS)
    view = aggregator.aggregate(7, START_NS)
    assert (view.fronts, view.term, view.load_ms) == (20, 7, 2000)
    assert aggregator.aggregate(7, START_NS + 4 * PERIOD_NS).fronts == 0


def test_wrong_values_of_single_fronts_change_the_view_little():
    aggregator = aggregator_with_reports(20)
    excessive = FrontReport(
        2, load_ms=MAX_U32, first_requests=MAX_U16, retry_cost=MAX_U16, links={0: LinkWork(MAX_U32, 1)}
    )
    slow_link = FrontReport(2, load_ms=100, first_requests=10, retry_cost=1, links={0: LinkWork(1, MAX_U32)})
    assert aggregator.add_report(4, excessive, START_NS)
    assert aggregator.add_report(5, slow_link, START_NS)
    view = aggregator.aggregate(7, START_NS)
    link = view.links[0]
    assert view.fronts == 20
    assert link.duration_ms / link.work_ms == 2.0
    assert 1900 <= view.load_ms <= 2700
    assert view.retry_cost < 30


def test_each_zone_and_each_open_circuit_has_one_assigned_prober():
    aggregator = LoadAggregator(PERIOD_NS, load_probes_allowed=True)
    for number in range(30):
        zone = number % 3
        zone_loads = {zone: ZoneLoad(0.5 + number / 100, age_ms=number)} if number > 20 else {}
        report = FrontReport(1, zone, open_circuits=[77] if number % 2 else [], zone_loads=zone_loads)
        aggregator.add_report(number, report, START_NS)
    view = aggregator.aggregate(1, START_NS)
    assert {zone: load.prober % 3 for zone, load in view.zone_loads.items()} == {0: 0, 1: 1, 2: 2}
    assert (view.zone_loads[0].value, view.zone_loads[0].age_ms) == (0.71, 21)  # the latest report
    assert view.open_circuits[77].reporters == 15
    assert view.open_circuits[77].prober % 2


@pytest.mark.parametrize("samples", [[], [LinkWork(0, 5)]])
def test_throughput_without_samples_is_zero(samples):
    assert trimmed_throughput(samples) == LinkWork(0, 0)
