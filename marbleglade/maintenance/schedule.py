"""Schedule of a maintenance plan: which machines go out of service now, which wait and why, which return.

Decisions depend on one snapshot alone: which machines are out of service, which serve, which have warmed up,
and the current load. A machine is completed once it serves with a process start later than the plan, so the
progress of a plan needs no record that would have to survive a restart. A machine that does not serve for
another reason counts against the limits like one that is out of service.

Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .plan import MAX_OUT_OF_SERVICE, ConcurrencyLimit, Group, Kind, Machine, MaintenancePlan
from .snapshot import FleetSnapshot, is_out_of_service, is_serving

MAX_LOAD = 0.8  # most load of a kind, relative to its serving capacity, with which a machine may be taken out


@dataclass(slots=True)
class ScheduleDecision:
    """Decision that follows from a plan and a snapshot.

    Attributes:
        granted: Names of the machines that go out of service now.
        recalled: Names of the fronts that return to service now.
        completed: Names of the machines whose maintenance is completed.
        waiting: Why each other machine of the plan is not completed, by name, including machines that are out
            of service; empty for a withdrawn plan.
        halted: Why no more machines of a kind are granted, by kind.
    """

    granted: list[str] = field(default_factory=list)
    recalled: list[str] = field(default_factory=list)
    completed: list[str] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)
    halted: dict[Kind, str] = field(default_factory=dict)

    @property
    def is_finished(self) -> bool:
        """True if no planned machine waits, is out or goes out now; always true for a withdrawn plan."""
        return not self.waiting and not self.granted


def decide(plan: MaintenancePlan, snapshot: FleetSnapshot) -> ScheduleDecision:
    """Decide, machine by machine, which go out of service now; each one counts as out for the next."""
    return _Scheduler(plan, snapshot).decide()


class _ServingCounts:
    """Numbers of machines and of machines that do not serve, for each kind and each group.

    `not_serving` counts listed machines only. The names in `unavailable` also include granted machines that
    are not listed.
    """

    def __init__(self, snapshot: FleetSnapshot) -> None:
        self.groups = snapshot.groups
        self.unavailable = {name for name in snapshot.groups if not is_serving(snapshot, name)}
        self.sizes: Counter[Group | Kind] = Counter()
        self.not_serving: Counter[Group | Kind] = Counter()
        for name in snapshot.groups:
            self._add(self.sizes, name, 1)
        for name in self.unavailable:
            self._add(self.not_serving, name, 1)
        self.serving_before = {kind: self.sizes[kind] - self.not_serving[kind] for kind in Kind}
        self.unavailable |= {name for name in snapshot.grants if is_out_of_service(snapshot, name)}

    def take_out(self, name: str) -> None:
        """Count a machine as not serving."""
        self.unavailable.add(name)
        self._add(self.not_serving, name, 1)

    def bring_back(self, name: str) -> None:
        """Count a machine as serving."""
        self.unavailable.discard(name)
        self._add(self.not_serving, name, -1)

    def _add(self, counts: Counter[Group | Kind], name: str, count: int) -> None:
        if group := self.groups.get(name):
            counts[group] += count
            counts[group.kind] += count


class _Scheduler:
    """State of one decision: the plan, the snapshot, and the part of the decision made so far."""

    def __init__(self, plan: MaintenancePlan, snapshot: FleetSnapshot) -> None:
        self.plan = plan
        self.snapshot = snapshot
        self.machines = {machine.name: machine for machine in plan.machines}
        completed = [machine.name for machine in plan.machines if self._is_completed(machine)]
        self.completed = frozenset(completed)
        self.decision = ScheduleDecision(completed=completed)
        self.counts = _ServingCounts(snapshot)

    def decide(self) -> ScheduleDecision:
        decision = self.decision
        self._halt_kinds()
        self._recall_fronts()
        if self.plan.withdrawn:
            return decision
        for machine in self._candidates():
            if reason := self._blocking_reason(machine):
                decision.waiting[machine.name] = reason
            else:
                decision.granted.append(machine.name)
                self.counts.take_out(machine.name)
        for machine in self.plan.machines:
            if is_out_of_service(self.snapshot, machine.name):
                decision.waiting[machine.name] = "is out"
        return decision

    def _is_restarted(self, name: str) -> bool:
        observation = self.snapshot.observations.get(name)
        return observation is not None and observation.started_ms > self.plan.created_ms

    def _is_completed(self, machine: Machine) -> bool:
        return self._is_restarted(machine.name) and is_serving(self.snapshot, machine.name)

    def _candidates(self) -> list[Machine]:
        """Return the machines still to take out, by falling slowdown, with equal slowdown by rising key."""
        remaining = [
            machine
            for machine in self.plan.machines
            if machine.name not in self.completed and not is_out_of_service(self.snapshot, machine.name)
        ]
        return sorted(remaining, key=lambda machine: (-round(self._slowdown(machine), 1), machine.key))

    def _slowdown(self, machine: Machine) -> float:
        observation = self.snapshot.observations.get(machine.name)
        return observation.slowdown if observation else 0.0

    def _halt_kinds(self) -> None:
        """Halt the kind of a machine that is out for too long, or that failed after its restart.

        The kind is halted until that machine has restarted and is up, or a later plan does not contain it.
        """
        for machine in self.plan.machines:
            name = machine.name
            observation = self.snapshot.observations.get(name)
            if is_out_of_service(self.snapshot, name):
                out_for_ms = self.snapshot.now_ms - self.snapshot.grants[name].granted_ms
                if out_for_ms > machine.max_duration_ms:
                    limit = f"{machine.max_duration_ms} ms allowed"
                    self.decision.halted[machine.kind] = f"{name} is out for longer than the {limit}"
            elif observation and not observation.up and self._is_restarted(name):
                self.decision.halted[machine.kind] = f"{name} came back and failed"

    def _recall_fronts(self) -> None:
        """Recall fronts that are out of service and still run, the last granted first.

        They are recalled if the plan is withdrawn or does not contain them, or if too few fronts of the group
        serve now or the load of the serving fronts is too high.
        """
        snapshot = self.snapshot
        fronts = [name for name in snapshot.grants if self._is_running_front(name)]
        for name in sorted(fronts, key=lambda name: -snapshot.grants[name].granted_ms):
            is_planned = name in self.machines and not self.plan.withdrawn
            if not is_planned or self._capacity_reason(snapshot.groups[name], 0):
                self.decision.recalled.append(name)
                self.counts.bring_back(name)

    def _is_running_front(self, name: str) -> bool:
        observation = self.snapshot.observations.get(name)
        group = self.snapshot.groups.get(name)
        is_front = group is not None and group.kind is Kind.FRONT
        is_up = observation is not None and observation.up
        return is_front and is_up and is_out_of_service(self.snapshot, name)

    def _blocking_reason(self, machine: Machine) -> str:
        """Return why a machine can't go out of service now; "" if it can."""
        return (
            self._machine_reason(machine)
            or self._concurrency_reason(machine)
            or self._capacity_reason(machine.group, 1)
        )

    def _machine_reason(self, machine: Machine) -> str:
        name = machine.name
        if name not in self.snapshot.observations:
            return "is not listed"
        if self._is_restarted(name):
            return "has restarted and is not warm yet"
        if name in self.counts.unavailable:
            return "does not serve and was not taken out"
        if machine.kind in self.decision.halted:
            return self.decision.halted[machine.kind]
        return ""

    def _concurrency_reason(self, machine: Machine) -> str:
        unavailable = self.counts.unavailable
        if self.decision.recalled:
            return "waits for the recall of fronts"
        pending = [name for name in machine.after if name not in self.completed]
        if pending:
            return f"comes after {', '.join(pending)}"
        if len(unavailable) >= MAX_OUT_OF_SERVICE:
            return f"{MAX_OUT_OF_SERVICE} machines are out, the most at once"
        for limit in self.plan.limits:
            if limit.applies_to(machine) and (reason := self._limit_reason(limit)):
                return reason
        adjacent = [name for name in unavailable if frozenset((name, machine.name)) in self.snapshot.adjacent]
        return f"shares hot objects with {min(adjacent)}, which does not serve" if adjacent else ""

    def _limit_reason(self, limit: ConcurrencyLimit) -> str:
        counted = sorted(
            name for name in self.counts.unavailable if limit.applies_to(self._machine_named(name))
        )
        if len(counted) < limit.max_count:
            return ""
        return f"{limit}, and {', '.join(counted[:3])} {'is' if len(counted) == 1 else 'are'} out"

    def _machine_named(self, name: str) -> Machine:
        """Return the machine of the plan with a name; for another machine, build one from its group."""
        if name in self.machines:
            return self.machines[name]
        group = self.snapshot.groups.get(name, Group(Kind.CACHE, ""))
        return Machine(name, group.kind, group.zone)

    def _capacity_reason(self, group: Group, taken_out: int) -> str:
        """Return why a group can't spare `taken_out` more of its serving machines; "" if it can."""
        kind = group.kind
        size = self.counts.sizes[group]
        left = size - self.counts.not_serving[group] - taken_out
        floor = self.plan.min_serving_share
        if left < floor * size or left <= 0:
            return f"{left} of {size} would be left in service, the floor is a share of {floor:g}"
        serving = self.counts.sizes[kind] - self.counts.not_serving[kind] - taken_out
        load = self.snapshot.load.get(kind, 0.0) * self.counts.serving_before[kind] / max(1, serving)
        return f"the rest would carry {load:.2f} of its capacity" if load > MAX_LOAD else ""
