"""Schedule and forecast of a maintenance plan: which machines go out of service, which wait, which return."""

import itertools
from collections.abc import Iterable

import pytest

from marbleglade.maintenance.forecast import forecast
from marbleglade.maintenance.plan import ConcurrencyLimit, Group, Kind, Machine, MaintenancePlan
from marbleglade.maintenance.schedule import decide
from marbleglade.maintenance.snapshot import (
    FleetSnapshot,
    GrantedMachine,
    NodeObservation,
    adjacent_upstreams,
)

NOW_MS = 2_000_000
CREATED_MS = NOW_MS - 1000  # creation time of all plans
MAX_DURATION_MS = 60_000  # longest time out of service of all machines
STARTED_MS = 1  # process start of a machine that has not restarted since
CACHES = [f"box{number}" for number in range(6)]
FRONTS = [f"front {number}" for number in range(4)]

RUNNING = NodeObservation(STARTED_MS)
FAILED = NodeObservation(STARTED_MS, up=False)
RESTARTED = NodeObservation(NOW_MS - 10)


def group_of(name: str) -> Group:
    """Return the group of a machine: caches alternate between zones a and b, fronts have no zone."""
    if name.startswith("front"):
        return Group(Kind.FRONT, "")
    return Group(Kind.CACHE, "ab"[int(name.removeprefix("box")) % 2])


def snapshot(
    observations: dict[str, NodeObservation] | None = None,
    grants: dict[str, GrantedMachine] | None = None,
    load: dict[Kind, float] | None = None,
    adjacent: Iterable[tuple[str, str]] = (),
) -> FleetSnapshot:
    """Return a snapshot in which all machines serve, except as the arguments state."""
    names = [*CACHES, *FRONTS]
    return FleetSnapshot(
        NOW_MS,
        dict.fromkeys(names, RUNNING) | (observations or {}),
        {name: group_of(name) for name in names},
        grants or {},
        load or {},
        frozenset(frozenset(pair) for pair in adjacent),
    )


def plan(
    *names: str,
    limits: Iterable[ConcurrencyLimit] = (),
    min_serving_share: float = 0.3,
    withdrawn: bool = False,
) -> MaintenancePlan:
    """Return a plan for these machines."""
    machines = tuple(Machine(name, group_of(name).kind, group_of(name).zone) for name in names)
    return MaintenancePlan(
        CREATED_MS, machines, tuple(limits), min_serving_share=min_serving_share, withdrawn=withdrawn
    )


@pytest.mark.parametrize(
    "min_serving_share, granted",
    [(0.3, 4), (0.6, 2)],  # of the three caches in each zone
)
def test_the_floor_of_each_zone_bounds_how_many_are_granted(min_serving_share, granted):
    assert len(decide(plan(*CACHES, min_serving_share=min_serving_share), snapshot()).granted) == granted


@pytest.mark.parametrize(
    "limits, granted",
    [
        ([ConcurrencyLimit(1)], 1),
        ([ConcurrencyLimit(1, zone="a")], 3),
        ([ConcurrencyLimit(2, Kind.CACHE), ConcurrencyLimit(1, zone="b")], 2),
        ([ConcurrencyLimit(1, Kind.FRONT)], 4),
    ],
)
def test_each_limit_bounds_how_many_of_its_machines_are_granted(limits, granted):
    assert len(decide(plan(*CACHES, limits=limits), snapshot()).granted) == granted


@pytest.mark.parametrize(
    "fleet",
    [
        snapshot(grants={"box1": GrantedMachine(NOW_MS - 500, STARTED_MS)}),
        snapshot(observations={"box4": FAILED}),
        snapshot(observations={"box4": NodeObservation(STARTED_MS, warm=False)}),
    ],
    ids=["out of service", "failed", "warming up"],
)
def test_a_machine_that_does_not_serve_for_any_reason_counts_as_out(fleet):
    assert len(decide(plan(*CACHES, limits=[ConcurrencyLimit(2)]), fleet).granted) == 1


@pytest.mark.parametrize(
    "load, granted",
    [(0.5, 2), (0.9, 0)],  # load with two out: 0.5 * 6 / 4 = 0.75; with three out: 0.5 * 6 / 3 = 1.0
)
def test_no_grant_overloads_the_remaining_capacity(load, granted):
    assert len(decide(plan(*CACHES), snapshot(load={Kind.CACHE: load})).granted) == granted


def test_upstreams_that_are_adjacent_for_a_hot_object_are_not_granted_together():
    pairs = list(itertools.pairwise(CACHES))
    granted = decide(plan(*CACHES), snapshot(adjacent=pairs)).granted
    assert len(granted) == 2
    assert not any({first, second} <= set(granted) for first, second in pairs)


@pytest.mark.parametrize(
    "plan_without_grants", [plan(*CACHES, withdrawn=True), plan("box9")], ids=["withdrawn", "not listed"]
)
def test_a_withdrawn_plan_and_a_machine_that_is_not_listed_grant_nothing(plan_without_grants):
    assert decide(plan_without_grants, snapshot()).granted == []


def test_the_slowest_machine_is_granted_first_and_each_waiting_one_has_a_reason():
    fleet = snapshot(observations={"box4": NodeObservation(STARTED_MS, slowdown=6.0)})
    decision = decide(plan(*CACHES, limits=[ConcurrencyLimit(1)]), fleet)
    assert decision.granted == ["box4"]
    reason = "1 machine at once, and box4 is out"
    assert decision.waiting == dict.fromkeys(set(CACHES) - {"box4"}, reason)


def test_a_dependent_machine_waits_until_the_other_is_back_and_warm():
    machines = (Machine("box0", Kind.CACHE, "a"), Machine("box1", Kind.CACHE, "b", after=("box0",)))
    dependent = MaintenancePlan(CREATED_MS, machines, min_serving_share=0.3)
    assert decide(dependent, snapshot()).granted == ["box0"]
    warming_up = decide(dependent, snapshot(observations={"box0": NodeObservation(NOW_MS - 10, warm=False)}))
    assert warming_up.granted == []
    assert warming_up.waiting["box1"] == "comes after box0"
    warm = decide(dependent, snapshot(observations={"box0": RESTARTED}))
    assert warm.granted == ["box1"]
    assert warm.completed == ["box0"]


@pytest.mark.parametrize(
    "out_for_ms, observed, is_halted",
    [
        (MAX_DURATION_MS + 1, RUNNING, True),
        (MAX_DURATION_MS + 1, RESTARTED, False),
        (MAX_DURATION_MS - 10_000, RUNNING, False),
        (None, NodeObservation(NOW_MS - 10, up=False), True),
    ],
    ids=["out for too long", "returned late", "out", "returned and failed"],
)
def test_a_machine_that_does_not_return_or_fails_halts_only_its_kind(out_for_ms, observed, is_halted):
    out = {} if out_for_ms is None else {"box1": GrantedMachine(NOW_MS - out_for_ms, STARTED_MS)}
    fleet = snapshot(observations={"box1": observed}, grants=out)
    decision = decide(plan(*CACHES, "front 1", "front 2"), fleet)
    assert bool(decision.halted) is is_halted
    assert any(name.startswith("front") for name in decision.granted)
    assert any(name.startswith("box") for name in decision.granted) is not is_halted


@pytest.mark.parametrize(
    "plan_in_force, observations, recalled",
    [
        (plan("front 1", "front 2", withdrawn=True), {}, ["front 2", "front 1"]),
        (plan("front 1"), {}, ["front 2"]),  # front 2 is not in the plan
        (plan("front 1", "front 2", min_serving_share=0.75), {}, ["front 2"]),  # last granted, first recalled
        (plan("front 1", "front 2", min_serving_share=0.2), {"front 3": FAILED}, []),
        (plan("front 1", "front 2", min_serving_share=0.5), {"front 3": FAILED}, ["front 2"]),
        (plan("front 1", "front 2", min_serving_share=0.75), {"front 2": FAILED}, ["front 1"]),
    ],
)
def test_running_fronts_are_recalled_when_the_plan_or_the_capacity_requires_it(
    plan_in_force, observations, recalled
):
    out = {
        "front 1": GrantedMachine(NOW_MS - 900, STARTED_MS),
        "front 2": GrantedMachine(NOW_MS - 100, STARTED_MS),
    }
    decision = decide(plan_in_force, snapshot(observations=observations, grants=out))
    assert decision.recalled == recalled
    assert not recalled or decision.granted == []


def test_the_first_two_choices_of_hot_objects_are_adjacent():
    rankings = {1: ["a", "b", "c"], 2: ["b", "a"], 3: ["c", "a"], 4: ["a"]}
    assert adjacent_upstreams(rankings, rankings.get) == {frozenset("ab"), frozenset("ac")}


def test_a_forecast_takes_as_few_rounds_as_the_limits_allow():
    limits = [ConcurrencyLimit(2, Kind.CACHE), ConcurrencyLimit(1, Kind.FRONT)]
    result = forecast(
        plan(*CACHES, "front 0", limits=limits), snapshot(), lambda _machine: 10_000, warm_up_ms=5_000
    )
    assert not result.never
    assert len(result.steps) == 7
    assert {step.starts_ms for step in result.steps} == {0, 15_000, 30_000}


def test_a_forecast_says_why_a_machine_never_goes_out_of_service():
    result = forecast(
        plan("box0", "box1", min_serving_share=0.9), snapshot(), lambda _machine: 1000, warm_up_ms=0
    )
    assert not result.steps
    assert "floor" in result.never["box0"]
