"""Maintenance plans executed on simulated time, under faults of the network and of machines."""

from collections.abc import Callable

import pytest

from benchmarks.maintenance.simulation import NS_PER_MS, NS_PER_S, MaintenanceSimulation
from marbleglade.maintenance.drain import DrainStage
from marbleglade.maintenance.plan import ConcurrencyLimit, Kind, MaintenancePlan, front_name

LIMITS = ConcurrencyLimit(1, Kind.FRONT), ConcurrencyLimit(2, Kind.CACHE)
SETTLE_SECONDS = 8  # longer than a lease, in which restarted fronts give no vote


def submit(
    simulation: MaintenanceSimulation, *names: str, limits=LIMITS, front=0, **options
) -> MaintenancePlan:
    """Submit a plan for these machines to a front."""
    return simulation.submit_plan(names, limits, front, **{"takes_ms": 20_000, "floor": 0.4} | options)


def all_fronts(simulation: MaintenanceSimulation) -> list[str]:
    return [front_name(number) for number in simulation.fronts]


def draining_fronts(simulation: MaintenanceSimulation) -> list[int]:
    return [number for number, front in simulation.fronts.items() if front.drain.stage is DrainStage.DRAINING]


def set_cut(simulation: MaintenanceSimulation, is_cut: Callable[[int, int], bool], seconds: int) -> None:
    """Cut the network for a number of seconds from the 21st second of each 40 s on."""

    def is_cut_now(sender: int, receiver: int) -> bool:
        return 20 < simulation.now // NS_PER_S % 40 < 20 + seconds and is_cut(sender, receiver)

    simulation.network.is_cut = is_cut_now


def no_fault(simulation: MaintenanceSimulation) -> None:
    """The network loses nothing."""


def losses_duplicates_and_delays(simulation: MaintenanceSimulation) -> None:
    simulation.network.set_faults(loss_rate=0.3, duplication_rate=0.2, delay_ns=(NS_PER_MS, 700 * NS_PER_MS))


def partition_in_two(simulation: MaintenanceSimulation) -> None:
    set_cut(simulation, lambda sender, receiver: (sender % 5 < 2) != (receiver % 5 < 2), 12)


def one_front_can_not_send(simulation: MaintenanceSimulation) -> None:
    set_cut(simulation, lambda sender, _receiver: sender == 1, 10)


@pytest.mark.parametrize(
    "apply_fault", [no_fault, losses_duplicates_and_delays, partition_in_two, one_front_can_not_send]
)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_plan_is_completed_and_never_more_are_out_than_allowed(apply_fault, seed):
    simulation = MaintenanceSimulation(7, 6, seed)
    apply_fault(simulation)
    simulation.run(SETTLE_SECONDS)
    plan = submit(simulation, *all_fronts(simulation), *simulation.caches)
    simulation.run(150)
    assert simulation.done_count(plan) == 13
    assert simulation.worst_out <= 3, simulation.taken_out


def test_a_partition_without_a_majority_grants_nothing_and_its_fronts_return():
    simulation = MaintenanceSimulation(6, 4, 3, work_duration=3 * NS_PER_S)
    simulation.run(SETTLE_SECONDS)
    submit(simulation, *all_fronts(simulation), deadline_ms=30_000)
    simulation.run(4)
    assert len(draining_fronts(simulation)) == 1
    simulation.network.is_cut = lambda sender, receiver: sender % 2 != receiver % 2  # 3 and 3
    simulation.run(6)
    assert not simulation.out_of_service()
    simulation.run(20)
    assert not simulation.out_of_service()
    simulation.network.is_cut = lambda _sender, _receiver: False
    simulation.run(8)
    assert simulation.out_of_service()


def test_a_fleet_restarted_during_a_plan_goes_on_after_a_lease_and_not_before():
    simulation = MaintenanceSimulation(5, 4, 4)
    simulation.run(SETTLE_SECONDS)
    machines = [*all_fronts(simulation), *simulation.caches]
    first_plan = submit(simulation, *machines)
    simulation.run(6)
    taken_out_before = len(simulation.taken_out)
    for number in range(5):
        simulation.kill(number, simulation.now + NS_PER_S)
    simulation.run(1.5)
    simulation.worst_out = 0
    second_plan = submit(simulation, *machines)
    simulation.run(4)
    assert len(simulation.taken_out) == taken_out_before  # restarted fronts do not vote yet
    simulation.run(120)
    assert simulation.done_count(second_plan) == 9
    assert simulation.worst_out <= 3
    assert second_plan.created_ms > first_plan.created_ms


def test_a_machine_that_never_returns_halts_only_its_kind():
    simulation = MaintenanceSimulation(5, 4, 5)
    simulation.never_restarts = {"box2"}
    simulation.run(SETTLE_SECONDS)
    limits = ConcurrencyLimit(1, Kind.FRONT), ConcurrencyLimit(1, Kind.CACHE)
    plan = submit(simulation, *all_fronts(simulation), *simulation.caches, limits=limits)
    simulation.run(120)
    leader = next(
        front.coordinator for front in simulation.fronts.values() if front.coordinator.quorum.member.is_leader
    )
    assert leader.decision.halted[Kind.CACHE].startswith("box2")
    assert Kind.FRONT not in leader.decision.halted
    assert all(front.start_ms > plan.created_ms for front in simulation.fronts.values())
    assert len(simulation.fronts) == 5
    simulation.never_restarts = set()  # the machine returns and the plan goes on
    simulation.run(60)
    assert simulation.done_count(plan) == 9


def test_the_plan_goes_on_after_the_leader_and_the_draining_front_are_killed():
    simulation = MaintenanceSimulation(7, 4, 6)
    simulation.run(SETTLE_SECONDS)
    plan = submit(simulation, *all_fronts(simulation), *simulation.caches, deadline_ms=3000)
    simulation.run(4)
    leader = next(
        number for number, front in simulation.fronts.items() if front.coordinator.quorum.member.is_leader
    )
    killed = {leader, *draining_fronts(simulation)}
    for number in killed:
        simulation.kill(number, simulation.now + 5 * NS_PER_S)
    simulation.run(150)
    assert simulation.done_count(plan) == 11
    assert simulation.worst_out <= 3 + len(killed)


def test_a_withdrawn_plan_recalls_running_fronts_within_a_second():
    simulation = MaintenanceSimulation(7, 4, 7)
    simulation.run(SETTLE_SECONDS)
    submit(simulation, *all_fronts(simulation), deadline_ms=30_000)
    simulation.run(4)
    assert draining_fronts(simulation)
    submit(simulation, withdrawn=True, front=2)
    simulation.run(1.0)
    assert not simulation.out_of_service()
    simulation.run(10)
    assert not simulation.taken_out


def test_of_two_plans_at_once_one_is_in_force_at_all_fronts():
    simulation = MaintenanceSimulation(7, 4, 7)
    simulation.run(SETTLE_SECONDS)
    names = all_fronts(simulation)
    submit(simulation, *names, deadline_ms=30_000)
    simulation.run(4)
    submit(simulation, withdrawn=True, front=2)
    simulation.run(11)
    first_plan = submit(simulation, *names, front=1)
    second_plan = submit(simulation, *names[:3], front=4)
    assert first_plan.created_ms == second_plan.created_ms
    simulation.run(90)
    digests = {front.coordinator.plan_exchange.digest for front in simulation.fronts.values()}
    assert len(digests - {0}) == 1
    assert simulation.done_count(second_plan) >= 3
    assert simulation.worst_out <= 1


def test_an_upstream_that_is_not_listed_any_more_blocks_no_other():
    simulation = MaintenanceSimulation(5, 4, 8)
    simulation.never_restarts = {"box1"}
    simulation.run(SETTLE_SECONDS)
    plan = submit(simulation, *simulation.caches, limits=(ConcurrencyLimit(1, Kind.CACHE),))
    simulation.run(60)
    assert simulation.done_count(plan) < 4
    assert not simulation.caches["box1"].is_up
    del simulation.caches["box1"]
    simulation.run(60)
    assert sum(cache.start_ms > plan.created_ms for cache in simulation.caches.values()) == 3


def test_a_killed_front_and_a_high_load_stop_further_grants():
    simulation = MaintenanceSimulation(6, 6, 9)
    simulation.open_requests, simulation.load = 1, {Kind.CACHE: 0.9}
    simulation.run(SETTLE_SECONDS)
    machines = [*all_fronts(simulation), *simulation.caches]
    submit(simulation, *machines, limits=(ConcurrencyLimit(2),), floor=0.6, deadline_ms=20_000)
    simulation.run(4)
    draining = draining_fronts(simulation)
    assert len(draining) == 2
    simulation.kill(next(number for number in simulation.fronts if number not in draining))
    simulation.run(12)  # three of six would serve: one front is recalled, and no other one goes out
    assert len(draining_fronts(simulation)) == 1
    front_keys = {front.coordinator.key for front in simulation.fronts.values()}
    assert all(set(front.coordinator.granted_starts_ms) <= front_keys for front in simulation.fronts.values())
