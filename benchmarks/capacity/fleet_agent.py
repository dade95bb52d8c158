"""What a fleet agent sends and computes by the number of members, on simulated time, without requests.

The agents start in a stable state: each knows when the others were started. Two kinds of member are
distinguished: the leader for the aggregated load view, which sends to all, and any other. Processor time is
that of the agent's own calls with the coding of its datagrams, not of sockets.
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

from .fit import fitted_by_name
from .records import Point, Slope

MILLISECOND = 1_000_000  # ns
SECOND = 1000 * MILLISECOND
PERIOD = SECOND  # of a probe
TICK = 250 * MILLISECOND  # the sweep of a front's loop
STEP = 10 * MILLISECOND
DELAY = 20 * MILLISECOND  # of a datagram
SETTLING_TIME, MEASURE = 6, 8  # simulated seconds
BEGAN_MS = 1_700_000_000_000
LINKS = 9  # of a loaded front, the most that a report carries
SAMPLED = 8  # members beside the aggregator whose processor time is taken
COMMAND = "python -O -m benchmarks.capacity --only fleet"


class UnexpectedMessageError(RuntimeError):
    """A simulated peer sent what the protocol does not have here; no figure may be taken from such a run."""


@dataclass(slots=True)
class Use:
    """What one member sent and received, and the processor time of its calls, in ns."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    busy: int = 0


@dataclass(slots=True)
class Traffic:
    """What a front saw of its links, growing with time; an idle front saw nothing."""

    loaded: bool
    began: int

    def seen(self, now: int) -> LoadObservations:
        """The counters that a front would hand to its agent now."""
        if not self.loaded:
            return LoadObservations(0, 0, 0, 0, {}, [], [])
        done = (now - self.began) // 2
        usage = LinkUsage(done, done * 2)
        return LoadObservations(done, done, 0, 0, dict.fromkeys(range(LINKS), usage), [], [])


@dataclass(slots=True)
class SimulatedFleet:
    """`count` agents that exchange real datagrams in order of time; `loaded` fills their reports."""

    count: int
    loaded: bool
    now: int = 100 * SECOND
    agents: list[FleetAgent] = field(default_factory=list)
    uses: list[Use] = field(default_factory=list)
    queue: list[tuple[int, int, int, int, bytes]] = field(default_factory=list)
    number: int = 0
    timed: frozenset[int] = frozenset()
    stopped: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.uses = [Use() for _ in range(self.count)]
        for own in range(self.count):
            settings = fleet_parameters(own, self.count)
            settings.zone = own % 11
            agent = FleetAgent(own, self.count, BEGAN_MS, settings, PERIOD, self.now, own)
            set_established(agent.membership)
            self.agents.append(agent)

    def send(self, sender: int, out: list[Outgoing[FleetMessage]]) -> None:
        """Encode what is due and send it, one datagram for each receiver."""
        use = self.uses[sender]
        for one in out:
            data = fleet_datagrams.encode(one.message)
            receivers = self.agents[sender].membership.alive_peers() if one.to == ALL_FRONTS else (one.to,)
            use.sent += len(receivers)
            use.sent_bytes += len(data) * len(receivers)
            for receiver in receivers:
                self.number += 1
                heapq.heappush(self.queue, (self.now + DELAY, self.number, sender, receiver, data))

    def tick(self, own: int, traffic: Traffic) -> None:
        """One sweep of a front."""
        zone_load = ZoneLoad(0.5, 100) if self.loaded else None
        began = time.process_time_ns() if own in self.timed else 0
        self.send(own, self.agents[own].tick(self.now, lambda: traffic.seen(self.now), lambda: zone_load))
        self.uses[own].busy += time.process_time_ns() - began if began else 0

    def receive(self, sender: int, own: int, data: bytes) -> None:
        """One datagram at its receiver."""
        use = self.uses[own]
        use.received += 1
        use.received_bytes += len(data)
        began = time.process_time_ns() if own in self.timed else 0
        message = fleet_datagrams.decode(data)
        if message is None:
            raise UnexpectedMessageError(f"not a fleet datagram: {data!r}")
        self.send(own, self.agents[own].receive(sender, message, self.now))
        use.busy += time.process_time_ns() - began if began else 0

    def run(self, seconds: int) -> None:
        """Pass so many simulated seconds."""
        self.pass_time(seconds * SECOND)

    def pass_time(self, duration: int) -> None:
        """Pass so much simulated time, in ns."""
        traffic, end = Traffic(self.loaded, 100 * SECOND - PERIOD), self.now + duration
        while self.now < end:
            self.now += STEP
            while self.queue and self.queue[0][0] <= self.now:
                _, _, sender, own, data = heapq.heappop(self.queue)
                if own not in self.stopped:
                    self.receive(sender, own, data)
            offset = self.now // STEP % (TICK // STEP)
            for own in range(offset, self.count, TICK // STEP):
                if own not in self.stopped:
                    self.tick(own, traffic)

    def aggregator(self) -> int:
        """Return the number of the leader for the load view."""
        return next(number for number, agent in enumerate(self.agents) if agent.leadership.is_leader)


def set_established(members: Membership) -> None:
    """As if all had been up for long: each start is known, and there is no news."""
    for member in members.members.values():
        member.started_ms, member.changed_at = BEGAN_MS, members.last_tick_at - 100 * PERIOD
    members.update_queue.clear()


def measure(count: int, loaded: bool) -> list[Point]:
    """The figures of one size of the fleet, by role."""
    fleet = SimulatedFleet(count, loaded)
    fleet.run(SETTLING_TIME)
    holder = fleet.aggregator()
    others = [number for number in range(count) if number != holder]
    sampled = others[:: max(1, len(others) // SAMPLED)]
    fleet.uses = [Use() for _ in range(count)]
    fleet.timed = frozenset([holder, *sampled])
    fleet.run(MEASURE)
    kind = "loaded" if loaded else "idle"
    found = []
    for role, numbers in (("view aggregator", [holder]), ("front", sampled)):
        uses = [fleet.uses[number] for number in numbers]
        for quantity, unit, values in (
            ("bytes sent", "B/s", [use.sent_bytes / MEASURE for use in uses]),
            ("bytes received", "B/s", [use.received_bytes / MEASURE for use in uses]),
            ("datagrams sent", "1/s", [use.sent / MEASURE for use in uses]),
            ("datagrams received", "1/s", [use.received / MEASURE for use in uses]),
            ("processor time", "core", [use.busy / MEASURE / SECOND for use in uses]),
        ):
            name = f"fleet {kind} {role} {quantity}"
            at = {"fronts": count}
            found.append(Point(name, role, quantity, unit, at, statistics.fmean(values), COMMAND))
    return found


def member_memory(count: int) -> Point:
    """Bytes that one member table takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    members = Membership(0, count, BEGAN_MS, PERIOD, SECOND, 1)
    set_established(members)
    for member in members.members.values():
        member.started_ms, member.suspected_by = BEGAN_MS + member.incarnation, {0}
    used = tracemalloc.get_traced_memory()[0] - before + sys.getsizeof(members.update_queue.entries)
    tracemalloc.stop()
    return Point("fleet front member table", "front", "memory", "B", {"fronts": count}, used, COMMAND)


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """All sizes; the slopes by fronts."""
    sizes = (50, 200) if quick else (50, 200, 730, 1460)
    points = [member_memory(count) for count in sizes]
    for loaded in (False, True):
        for count in sizes:
            points += measure(count, loaded)
    return points, fitted_by_name(points, "fronts")
