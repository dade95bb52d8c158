"""Forecast of a maintenance plan: the order in which its machines would go out of service."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from .plan import Machine, MaintenancePlan
from .schedule import decide
from .snapshot import FleetSnapshot, GrantedMachine, NodeObservation

MAX_DURATION_MS = 7 * 24 * 3600_000  # a week


@dataclass(slots=True)
class PlannedStep:
    """When a machine would go out of service and return, in milliseconds since the plan's start."""

    starts_ms: int
    name: str
    returns_ms: int


class _Return(NamedTuple):
    """Event: a machine returns to service (`is_warm` false) or has then warmed up (true). Sorts by time."""

    at_ms: int
    name: str
    is_warm: bool


@dataclass(slots=True)
class Forecast:
    """The predicted course of a plan.

    Attributes:
        steps: The machines that go out of service, in the order in which they do.
        never: Why each remaining machine is never taken out, by name; under "", why the forecast ended early.
    """

    steps: list[PlannedStep] = field(default_factory=list)
    never: dict[str, str] = field(default_factory=dict)


def forecast(
    plan: MaintenancePlan,
    snapshot: FleetSnapshot,
    duration_ms: Callable[[Machine], int],
    warm_up_ms: int,
    max_duration_ms: int = MAX_DURATION_MS,
) -> Forecast:
    """Simulate a plan from a snapshot.

    Args:
        plan: The plan.
        snapshot: State of the fleet at the start.
        duration_ms: Returns how long a machine stays out of service, in milliseconds.
        warm_up_ms: Duration of the warm-up of a machine that returned, in milliseconds.
        max_duration_ms: Simulated time after which the forecast ends, in milliseconds.
    """
    return _Simulation(plan, snapshot, duration_ms, warm_up_ms).run(max_duration_ms)


class _Simulation:
    """Execution of a plan on simulated time."""

    def __init__(
        self,
        plan: MaintenancePlan,
        snapshot: FleetSnapshot,
        duration_ms: Callable[[Machine], int],
        warm_up_ms: int,
    ) -> None:
        self.plan = plan
        self.machines = {machine.name: machine for machine in plan.machines}
        self.duration_ms = duration_ms
        self.warm_up_ms = warm_up_ms
        self.began_ms = snapshot.now_ms
        self.snapshot = replace(
            snapshot,
            observations=dict(snapshot.observations),
            grants=dict(snapshot.grants),
        )
        self.returns: list[_Return] = []  # heap of pending events
        self.steps: list[PlannedStep] = []

    def run(self, max_duration_ms: int) -> Forecast:
        while self.snapshot.now_ms - self.began_ms <= max_duration_ms:
            decision = decide(self.plan, self.snapshot)
            for name in decision.granted:
                self._take_out(name)
            if not self.returns:
                return Forecast(self.steps, decision.waiting)
            self._apply_return(heapq.heappop(self.returns))
        return Forecast(self.steps, {"": "the plan takes longer than a week"})

    def _take_out(self, name: str) -> None:
        now_ms = self.snapshot.now_ms
        returns_ms = now_ms + self.duration_ms(self.machines[name])
        self.steps.append(PlannedStep(now_ms - self.began_ms, name, returns_ms - self.began_ms))
        started_ms = self.snapshot.observations[name].started_ms
        self.snapshot.grants[name] = GrantedMachine(now_ms, started_ms)
        heapq.heappush(self.returns, _Return(returns_ms, name, False))
        heapq.heappush(self.returns, _Return(returns_ms + self.warm_up_ms, name, True))

    def _apply_return(self, change: _Return) -> None:
        self.snapshot.now_ms = change.at_ms
        started_ms = max(change.at_ms, self.plan.created_ms + 1)
        slowdown = self.snapshot.observations[change.name].slowdown
        self.snapshot.observations[change.name] = NodeObservation(
            started_ms, up=True, warm=change.is_warm, slowdown=slowdown
        )
