"""A front's shares of the fleet's quotas."""

import pytest

from marbleglade.fleet.load_view import AggregatedView
from marbleglade.fleet.quota import age_share, retry_budget_factor, traffic_share
from tests.fleet.simulated_fleet import SimulatedFleet

RETRY_RATIO = 0.2
PERIOD_NS = 1_000_000_000


@pytest.mark.parametrize(
    "own_load, fleet_load, fronts, expected",
    [(10, 1000, 100, 0.01), (80, 1000, 100, 0.08), (0, 1000, 100, 0.00125), (5, 0, 50, 0.02), (9, 3, 1, 1.0)],
)
def test_a_traffic_share_follows_the_load(own_load, fleet_load, fronts, expected):
    view = AggregatedView(1, 1, fronts=fronts, load_ms=fleet_load)
    assert traffic_share(own_load, view) == expected


@pytest.mark.parametrize(
    "first_requests, retry_cost, expected",
    [(100, 0, 4), (100, 10, 2.0), (100, 20, 1.0), (100, 80, 0.25), (100, 500, 0.125), (0, 5, 1.0)],
)
def test_the_retry_budget_factor_is_above_one_while_the_budget_is_unused_and_below_while_exceeded(
    first_requests, retry_cost, expected
):
    view = AggregatedView(1, 1, fronts=9, first_requests=first_requests, retry_cost=retry_cost)
    assert retry_budget_factor(view, RETRY_RATIO) == expected


@pytest.mark.parametrize("age_periods, expected", [(0, 0.5), (2, 0.3), (4, 0.1), (9, 0.1)])
def test_an_assigned_share_ages_towards_the_standalone_one(age_periods, expected):
    assert age_share(0.5, 0.1, age_periods * PERIOD_NS, PERIOD_NS) == pytest.approx(expected)


def set_observations_of_all_fronts(fleet, **counts):
    """Set fields of the load observations of each front, which are cumulative since its start."""
    for front, observations in fleet.observations.items():
        fleet.observations[front] = observations._replace(**counts)


def test_the_shares_of_a_partitioned_front_age_towards_the_standalone_ones():
    fleet = SimulatedFleet(10)
    set_observations_of_all_fronts(fleet, requested_work=10**9, first_requests=100, retry_cost=80)
    fleet.run(3)
    set_observations_of_all_fronts(fleet, requested_work=2 * 10**9, first_requests=200, retry_cost=160)
    fleet.run(1.5)
    isolated = next(number for number in fleet.agents if number not in fleet.leaders())
    agent = fleet.agents[isolated]
    assert agent.fleet_view.retry_budget_factor == 0.25
    fleet.network.is_cut = lambda sender, receiver: isolated in (sender, receiver)
    factors = []
    for _ in range(5):
        fleet.run(1)
        factors.append(agent.fleet_view.retry_budget_factor)
    assert factors == sorted(factors)
    assert 0.25 < factors[-2] <= 1.0
    assert agent.fleet_view.is_load_prober
    assert not agent.fleet_view.suspected
    assert agent.fleet_view.traffic_share > 1 / 10
