"""Simulation of maintenance in a large fleet: the fleet code of each front runs on simulated time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from marbleglade.fleet.gossip_messages import Ack, Gossip, Outgoing, Ping, PingRequest
from marbleglade.fleet.membership import Membership
from marbleglade.maintenance.coordinator import MaintenanceCoordinator, machine_key
from marbleglade.maintenance.drain import Drain, DrainStage
from marbleglade.maintenance.messages import MaintenanceMessage
from marbleglade.maintenance.plan import ConcurrencyLimit, Group, Kind, MaintenancePlan, front_name
from marbleglade.maintenance.plan_file import build_plan, pack_plan
from marbleglade.maintenance.snapshot import NodeObservation, ObservedUpstream, UpstreamObservations
from marbleglade.maintenance.work_pb2 import WorkOrder
from marbleglade.protocols import fleet_datagrams, maintenance_datagrams
from marbleglade.testing.simulated_datagrams import SimulatedNetwork

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
HEARTBEAT = NS_PER_S
LEASE = 6 * HEARTBEAT
STEP = 50 * NS_PER_MS  # resolution of simulated time
STEPS_PER_TICK = 5  # each front runs its timers once in this many steps
START = 100 * NS_PER_S
FIRST_START_MS = 1_700_000_000_000
NEVER = 1 << 62
DRAIN_TIMEOUT_MS = 1000
WORK_START_DELAY = NS_PER_S // 2  # ns from the end of a drain until the maintenance of the front begins


class SimulatedCache:
    """State of a cache as the fronts observe it; its start time changes when its maintenance ends."""

    def __init__(self) -> None:
        self.start_ms, self.is_up, self.ready_at = FIRST_START_MS, True, 0


class SimulatedFront:
    """One start of a front, with its group membership, maintenance coordinator and drain."""

    def __init__(self, simulation: MaintenanceSimulation, number: int) -> None:
        now = simulation.now
        self.start_ms = simulation.unix_ms()
        seed = simulation.seed * 7919 + number
        self.membership = Membership(number, simulation.count, self.start_ms, HEARTBEAT, now, seed)
        self.coordinator = MaintenanceCoordinator(
            number, self.membership, self.start_ms, LEASE, simulation.warm_up_ms, now
        )
        self.drain, self.drained_at = Drain(), 0


class MaintenanceSimulation:
    """Simulates fronts and caches; machines out of service undergo maintenance and restart.

    Args:
        count: Number of fronts.
        cache_count: Number of caches.
        seed: Seed of all random draws.
        work_duration: Duration of the maintenance of one machine in ns.
        warm_up_ms: Time in ms until a restarted machine is warm.

    Attributes:
        now: Simulated time in ns.
        network: Simulated network between the fronts.
        fronts: Running fronts, by number.
        caches: All caches, by name.
        stopped: Numbers of fronts whose processes are suspended.
        down_until: Restart times of fronts that are down, by number.
        worst_out: Highest number of machines out of service at once.
        taken_out: Times at which maintenance began, each with the name of the machine.
        never_restarts: Names of machines that do not restart after their maintenance.
        open_requests: Number of requests in flight at each front.
        load: Load that the fronts observe, by kind.
        maintenance_bytes: Bytes of maintenance datagrams sent so far.
    """

    def __init__(
        self,
        count: int,
        cache_count: int,
        seed: int,
        work_duration: int = 2 * NS_PER_S,
        warm_up_ms: int = 2000,
    ) -> None:
        self.count, self.seed = count, seed
        self.work_duration, self.warm_up_ms = work_duration, warm_up_ms
        self.now = START
        self.network = SimulatedNetwork(seed, self.deliver)
        self.maintenance_bytes = 0
        self.fronts: dict[int, SimulatedFront] = {}
        self.caches = {f"box{number}": SimulatedCache() for number in range(cache_count)}
        self.stopped: set[int] = set()
        self.down_until: dict[int, int] = {}
        self.worst_out = 0
        self.taken_out: list[tuple[int, str]] = []
        self.never_restarts: set[str] = set()
        self.open_requests = 0
        self.load: dict[Kind, float] = {}
        for number in range(count):
            self.start(number)

    def unix_ms(self) -> int:
        """Return the simulated Unix time in ms."""
        return FIRST_START_MS + 1000 + (self.now - START) // NS_PER_MS

    def start(self, number: int) -> None:
        """Start a front."""
        self.fronts[number] = SimulatedFront(self, number)
        self.down_until.pop(number, None)

    def kill(self, number: int, returns_at: int = NEVER) -> None:
        """Kill a front, which restarts at `returns_at`."""
        self.fronts.pop(number, None)
        self.down_until[number] = returns_at

    def submit_plan(
        self,
        names: Iterable[str],
        limits: Iterable[ConcurrencyLimit],
        front: int = 0,
        takes_ms: int = 60_000,
        floor: float = 0.5,
        deadline_ms: int = 1000,
        withdrawn: bool = False,
    ) -> MaintenancePlan:
        """Submit a plan for these machines to a front; return the plan that is in force there afterwards."""
        file = WorkOrder(asked_ms=self.unix_ms(), floor=floor, deadline_ms=deadline_ms, withdrawn=withdrawn)
        for name in names:
            machine: dict[str, Any] = {"place": name, "zone": "z"}
            if name not in self.caches:
                machine = {"front": int(name.split()[1])}
            file.job.add(takes_ms=takes_ms, **machine)
        for limit in limits:
            file.limit.add(most=limit.max_count, kind=limit.kind or 0, zone=limit.zone)
        coordinator = self.fronts[front].coordinator
        coordinator.adopt(build_plan(file), pack_plan(file), self.now)
        assert coordinator.plan is not None
        return coordinator.plan

    def deliver(self, receiver: int, sender: int, data: bytes, now: int) -> None:
        """Deliver a datagram to a front; a front that is down or suspended does not receive it."""
        front = self.fronts.get(receiver)
        if front is None or receiver in self.stopped:
            return
        if isinstance(message := fleet_datagrams.decode(data), Ping | Ack | PingRequest):
            self.send(receiver, front.membership.receive(sender, message, now))
        elif maintenance_message := maintenance_datagrams.decode(data):
            self.send(receiver, front.coordinator.receive(sender, maintenance_message, now))

    def send(
        self, sender: int, messages: Iterable[Outgoing[Gossip]] | Iterable[Outgoing[MaintenanceMessage]]
    ) -> None:
        """Encode and send messages of a front."""
        for outgoing in messages:
            if isinstance(outgoing.message, Ping | Ack | PingRequest):
                data = fleet_datagrams.encode(outgoing.message)
            else:
                data = maintenance_datagrams.encode(outgoing.message)
                self.maintenance_bytes += len(data)
            self.network.send(sender, outgoing.to, data, self.now)

    def observe(self) -> UpstreamObservations:
        """Return a front's observation of the caches and of the load."""
        return UpstreamObservations(
            {name: self._observe_cache(cache) for name, cache in self.caches.items()}, self.load
        )

    def _observe_cache(self, cache: SimulatedCache) -> ObservedUpstream:
        is_warm = self.unix_ms() - cache.start_ms >= self.warm_up_ms
        observation = NodeObservation(cache.start_ms, cache.is_up, is_warm)
        return ObservedUpstream(Group(Kind.CACHE, "z"), observation)

    def run(self, seconds: float, on_step: Callable[[], object] = lambda: None) -> None:
        """Advance simulated time; `on_step` is called in each step."""
        end = self.now + int(seconds * NS_PER_S)
        while self.now < end:
            self.now += STEP
            self.network.deliver_due(self.now)
            on_step()
            for number, returns_at in list(self.down_until.items()):
                if self.now >= returns_at:
                    self.start(number)
            for number, front in list(self.fronts.items()):
                if number not in self.stopped:
                    self._run_front(number, front)
            self._work_on_caches()
            self.worst_out = max(self.worst_out, len(self.out_of_service()))

    def _run_front(self, number: int, front: SimulatedFront) -> None:
        if (self.now // STEP + number) % STEPS_PER_TICK == 0:
            self.send(number, front.membership.tick(self.now))
            self.send(number, front.coordinator.tick(self.now, self.observe))
        plan = front.coordinator.plan
        timeout = (plan.drain_timeout_ms if plan else DRAIN_TIMEOUT_MS) * NS_PER_MS
        is_granted = front.coordinator.is_granted(self.now)
        front.drain.tick(is_granted, timeout, 0, self.open_requests, self.now)
        if front.drain.stage is not DrainStage.DRAINED:
            front.drained_at = self.now
        elif self.now - front.drained_at > WORK_START_DELAY:
            name = front_name(number)
            self.taken_out.append((self.now, name))
            self.kill(number, NEVER if name in self.never_restarts else self.now + self.work_duration)

    def _work_on_caches(self) -> None:
        """Begin maintenance of caches that all fronts have taken out; restart caches when it is over."""
        for name, cache in self.caches.items():
            if cache.is_up and self.fronts and self._is_out_at_all_fronts(name, cache):
                cache.is_up, cache.ready_at = False, self.now + self.work_duration
                self.taken_out.append((self.now, name))
            elif not cache.is_up and self.now >= cache.ready_at and name not in self.never_restarts:
                cache.is_up, cache.start_ms = True, self.unix_ms()

    def _is_out_at_all_fronts(self, name: str, cache: SimulatedCache) -> bool:
        return all(
            front.coordinator.granted_starts_ms.get(machine_key(name), -1) >= cache.start_ms
            for front in self.fronts.values()
        )

    def out_of_service(self) -> list[str]:
        """Return the machines that do not serve now: draining, drained, under maintenance or down."""
        fronts = [number for number, one in self.fronts.items() if one.drain.stage is not DrainStage.SERVING]
        caches = [name for name, cache in self.caches.items() if not cache.is_up]
        return [*map(front_name, (*fronts, *self.down_until)), *caches]

    def done_count(self, plan: MaintenancePlan) -> int:
        """Return the number of machines of a plan that have restarted since it was created."""
        starts = {front_name(number): front.start_ms for number, front in self.fronts.items()}
        starts |= {name: cache.start_ms for name, cache in self.caches.items()}
        return sum(starts.get(machine.name, 0) > plan.created_ms for machine in plan.machines)
