"""Traffic and processor time of a fleet agent by the number of members, on simulated time, without requests.

The agents start in a stable state: each has the start times of all others. The leader, which aggregates the
load view and sends it to all, is measured apart from the other members. Processor time covers the agent's own
calls and the encoding and decoding of its datagrams, but no sockets.
"""

from __future__ import annotations

import heapq
import statistics
import sys
import time
import tracemalloc
from dataclasses import dataclass, field

from benchmarks.simulated_fleet.parameters import fleet_parameters
from marbleglade.fleet.agent import ALL_FRONTS, FleetAgent
from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.fleet.load_view import ZoneLoad
from marbleglade.fleet.membership import Membership
from marbleglade.fleet.messages import FleetMessage
from marbleglade.model.fleet_view import LinkUsage, LoadObservations
from marbleglade.protocols import fleet_datagrams

from .fit import fit_slopes_by_name
from .records import Point, Slope

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
PROBE_INTERVAL = NS_PER_S
TICK = 250 * NS_PER_MS  # interval of a front's periodic work
TIME_STEP = 10 * NS_PER_MS
DATAGRAM_DELAY = 20 * NS_PER_MS
SETTLING_SECONDS, MEASURED_SECONDS = 6, 8  # of simulated time
START_MS = 1_700_000_000_000
LINKS = 9  # links of a loaded front; the most that a report can carry
SAMPLED_FRONTS = 8  # members beside the aggregator that are measured
COMMAND = "python -O -m benchmarks.capacity --only fleet"


class UnexpectedMessageError(RuntimeError):
    """A message is not of the expected type, so that the figures of the run are invalid."""


@dataclass(slots=True)
class ResourceUse:
    """Traffic and processor time of one member.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes sent.
        received: Datagrams received.
        received_bytes: Bytes received.
        processor_ns: Processor time of its calls, ns.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    processor_ns: int = 0


@dataclass(slots=True)
class FrontTraffic:
    """Load observations of one front: a loaded front's counters grow with time, an idle front's stay 0."""

    loaded: bool
    started_at: int

    def observations(self, now: int) -> LoadObservations:
        """Return the observations that a front would report to its agent now."""
        if not self.loaded:
            return LoadObservations(0, 0, 0, 0, {}, [], [])
        work_done = (now - self.started_at) // 2
        usage = LinkUsage(work_done, work_done * 2)
        return LoadObservations(work_done, work_done, 0, 0, dict.fromkeys(range(LINKS), usage), [], [])


@dataclass(slots=True)
class SimulatedFleet:
    """Fleet agents that exchange encoded datagrams on simulated time.

    Attributes:
        count: Number of agents.
        loaded: Whether the agents report load on all links.
        now: The simulated time, ns.
        agents: The agents by number.
        resource_use: Traffic and processor time of each agent.
        queue: Datagrams in flight: arrival time, sequence number, sender, receiver and data.
        datagram_count: Datagrams sent so far.
        timed: Numbers of the agents whose processor time is measured.
        stopped: Numbers of the agents that neither run nor receive.
    """

    count: int
    loaded: bool
    now: int = 100 * NS_PER_S
    agents: list[FleetAgent] = field(default_factory=list)
    resource_use: list[ResourceUse] = field(default_factory=list)
    queue: list[tuple[int, int, int, int, bytes]] = field(default_factory=list)
    datagram_count: int = 0
    timed: frozenset[int] = frozenset()
    stopped: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.resource_use = [ResourceUse() for _ in range(self.count)]
        for number in range(self.count):
            settings = fleet_parameters(number, self.count)
            settings.zone = number % 11
            agent = FleetAgent(number, self.count, START_MS, settings, PROBE_INTERVAL, self.now, number)
            set_established(agent.membership)
            self.agents.append(agent)

    def send(self, sender: int, messages: list[Outgoing[FleetMessage]]) -> None:
        """Encode messages and send each as one datagram per receiver."""
        use = self.resource_use[sender]
        for outgoing in messages:
            data = fleet_datagrams.encode(outgoing.message)
            receivers = (
                self.agents[sender].membership.alive_peers() if outgoing.to == ALL_FRONTS else (outgoing.to,)
            )
            use.sent += len(receivers)
            use.sent_bytes += len(data) * len(receivers)
            for receiver in receivers:
                self.datagram_count += 1
                heapq.heappush(
                    self.queue, (self.now + DATAGRAM_DELAY, self.datagram_count, sender, receiver, data)
                )

    def tick(self, number: int, traffic: FrontTraffic) -> None:
        """Run one agent's periodic work."""
        zone_load = ZoneLoad(0.5, 100) if self.loaded else None
        started_at = time.process_time_ns() if number in self.timed else 0
        self.send(
            number,
            self.agents[number].tick(self.now, lambda: traffic.observations(self.now), lambda: zone_load),
        )
        self.resource_use[number].processor_ns += time.process_time_ns() - started_at if started_at else 0

    def receive(self, sender: int, number: int, data: bytes) -> None:
        """Have an agent handle a datagram. Raises `UnexpectedMessageError`."""
        use = self.resource_use[number]
        use.received += 1
        use.received_bytes += len(data)
        started_at = time.process_time_ns() if number in self.timed else 0
        message = fleet_datagrams.decode(data)
        if message is None:
            raise UnexpectedMessageError(f"expected a fleet datagram, received {data!r}")
        self.send(number, self.agents[number].receive(sender, message, self.now))
        use.processor_ns += time.process_time_ns() - started_at if started_at else 0

    def run(self, seconds: int) -> None:
        """Run for this many simulated seconds."""
        self.advance(seconds * NS_PER_S)

    def advance(self, duration: int) -> None:
        """Advance the simulated time by this many ns."""
        traffic, end = FrontTraffic(self.loaded, 100 * NS_PER_S - PROBE_INTERVAL), self.now + duration
        while self.now < end:
            self.now += TIME_STEP
            while self.queue and self.queue[0][0] <= self.now:
                _, _, sender, number, data = heapq.heappop(self.queue)
                if number not in self.stopped:
                    self.receive(sender, number, data)
            offset = self.now // TIME_STEP % (TICK // TIME_STEP)
            for number in range(offset, self.count, TICK // TIME_STEP):
                if number not in self.stopped:
                    self.tick(number, traffic)

    def aggregator(self) -> int:
        """Return the number of the leader, which aggregates the load view."""
        return next(number for number, agent in enumerate(self.agents) if agent.leadership.is_leader)


def set_established(members: Membership) -> None:
    """Put a membership into the state of a long-running fleet: all starts known, no updates queued."""
    for member in members.members.values():
        member.started_ms, member.changed_at = START_MS, members.last_tick_at - 100 * PROBE_INTERVAL
    members.update_queue.clear()


def measure(count: int, loaded: bool) -> list[Point]:
    """Measure a fleet of one size, separately for the view aggregator and the mean of other fronts."""
    fleet = SimulatedFleet(count, loaded)
    fleet.run(SETTLING_SECONDS)
    aggregator = fleet.aggregator()
    others = [number for number in range(count) if number != aggregator]
    sampled = others[:: max(1, len(others) // SAMPLED_FRONTS)]
    fleet.resource_use = [ResourceUse() for _ in range(count)]
    fleet.timed = frozenset([aggregator, *sampled])
    fleet.run(MEASURED_SECONDS)
    kind = "loaded" if loaded else "idle"
    found = []
    for role, numbers in (("view aggregator", [aggregator]), ("front", sampled)):
        resource_use = [fleet.resource_use[number] for number in numbers]
        for quantity, unit, values in (
            ("bytes sent", "B/s", [use.sent_bytes / MEASURED_SECONDS for use in resource_use]),
            ("bytes received", "B/s", [use.received_bytes / MEASURED_SECONDS for use in resource_use]),
            ("datagrams sent", "1/s", [use.sent / MEASURED_SECONDS for use in resource_use]),
            ("datagrams received", "1/s", [use.received / MEASURED_SECONDS for use in resource_use]),
            (
                "processor time",
                "core",
                [use.processor_ns / MEASURED_SECONDS / NS_PER_S for use in resource_use],
            ),
        ):
            name = f"fleet {kind} {role} {quantity}"
            at = {"fronts": count}
            found.append(Point(name, role, quantity, unit, at, statistics.fmean(values), COMMAND))
    return found


def member_memory(count: int) -> Point:
    """Measure the memory of one member table."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    members = Membership(0, count, START_MS, PROBE_INTERVAL, NS_PER_S, 1)
    set_established(members)
    for member in members.members.values():
        member.started_ms, member.suspected_by = START_MS + member.incarnation, {0}
    used = tracemalloc.get_traced_memory()[0] - before + sys.getsizeof(members.update_queue.entries)
    tracemalloc.stop()
    return Point("fleet front member table", "front", "memory", "B", {"fronts": count}, used, COMMAND)


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure fleets of all sizes and fit the slopes by fronts."""
    sizes = (50, 200) if quick else (50, 200, 730, 1460)
    points = [member_memory(count) for count in sizes]
    for loaded in (False, True):
        for count in sizes:
            points += measure(count, loaded)
    return points, fit_slopes_by_name(points, "fronts")
