"""Baselines for the fronts' own scheduling: a fixed schedule, and a lock without leases or majority."""

from __future__ import annotations

from collections import defaultdict

from marbleglade.maintenance.forecast import forecast
from marbleglade.maintenance.plan import ConcurrencyLimit, Kind, Machine, MaintenancePlan, front_name
from marbleglade.maintenance.snapshot import FleetSnapshot, NodeObservation
from marbleglade.testing.simulated_datagrams import SimulatedNetwork

from .simulation import NS_PER_MS, NS_PER_S, STEP

CREATED_MS = 10**12
LOCK_CUT = (4 * NS_PER_S, 12 * NS_PER_S)  # begin and end of the network partition
LOCK_RUN = 40 * NS_PER_S  # duration of the simulation
LOCK_WORK = 3 * NS_PER_S  # time that a front stays out of service
LOCK_TIMEOUT = NS_PER_S  # an announcement this old no longer counts
ANNOUNCE_INTERVAL = 250 * NS_PER_MS


def planned_seconds(
    fronts: int, caches: int, takes_ms: int, warm_up_ms: int, limits: tuple[ConcurrencyLimit, ...]
) -> float:
    """Return the fault-free duration in seconds of a plan for all machines, until the last one is warm."""
    machines = tuple(Machine(front_name(number), Kind.FRONT) for number in range(fronts)) + tuple(
        Machine(f"box{number}", Kind.CACHE, "z") for number in range(caches)
    )
    snapshot = FleetSnapshot(
        CREATED_MS + 1000,
        {machine.name: NodeObservation(1) for machine in machines},
        {machine.name: machine.group for machine in machines},
    )
    plan = MaintenancePlan(CREATED_MS, machines, limits, 0.5)
    steps = forecast(plan, snapshot, lambda _machine: takes_ms, warm_up_ms).steps
    return (max(step.returns_ms for step in steps) + warm_up_ms) / 1000


class LockSimulation:
    """Simulates fronts that go out of service once they receive no announcement that another front is out.

    The network is partitioned in two for a while; one front is allowed to be out at a time.

    Args:
        seed: Seed of the simulated network.
        fronts: Number of fronts.
    """

    def __init__(self, seed: int, fronts: int) -> None:
        self._fronts = fronts
        self._now = 0
        self._heard_at: dict[int, dict[int, int]] = defaultdict(dict)  # by receiver, sender
        self._out_until: dict[int, int] = {}
        self._done: set[int] = set()
        self._network = SimulatedNetwork(seed, self._deliver)
        self._network.is_cut = self._is_cut

    def _is_cut(self, sender: int, receiver: int) -> bool:
        begin, end = LOCK_CUT
        return begin < self._now < end and sender % 2 != receiver % 2

    def _deliver(self, receiver: int, sender: int, _data: bytes, now: int) -> None:
        self._heard_at[receiver][sender] = now

    def worst_out(self) -> int:
        """Run to the end; return the highest number of fronts that were out of service at once."""
        worst = 0
        while self._now < LOCK_RUN:
            self._now += STEP
            self._network.deliver_due(self._now)
            for front in range(self._fronts):
                self._run_front(front)
            worst = max(worst, len(self._out_until))
        return worst

    def _run_front(self, front: int) -> None:
        now = self._now
        if front in self._out_until and now > self._out_until[front]:
            del self._out_until[front]
            self._done.add(front)
        if front in self._out_until and now % ANNOUNCE_INTERVAL == 0:
            for receiver in range(self._fronts):
                if receiver != front:
                    self._network.send(front, receiver, b"out", now)
        other_is_out = any(now - heard_at < LOCK_TIMEOUT for heard_at in self._heard_at[front].values())
        is_its_turn = now % (self._fronts * NS_PER_S // 4) == front * NS_PER_S // 4
        if is_its_turn and front not in self._out_until and front not in self._done and not other_is_out:
            self._out_until[front] = now + LOCK_WORK
