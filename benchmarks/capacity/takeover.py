"""Simulated time until a fleet replaces a stopped view aggregator and all members list it as dead."""

from __future__ import annotations

from marbleglade.fleet.gossip_messages import MemberStatus

from .fit import fit_slopes_by_name
from .fleet_agent import NS_PER_S, SETTLING_SECONDS, SimulatedFleet
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only takeover"
TIMEOUT_S = 60  # of simulated time


class NoTakeoverError(RuntimeError):
    """The fleet did not replace a stopped aggregator and list it as dead in time."""


def measure(count: int) -> list[Point]:
    """Measure the seconds until all fronts have a new aggregator's view and list the stopped one as dead."""
    fleet = SimulatedFleet(count, loaded=False)
    fleet.run(SETTLING_SECONDS)
    stopped = fleet.aggregator()
    fleet.stopped.add(stopped)
    stopped_at, others = fleet.now, [agent for agent in fleet.agents if agent.own_number != stopped]
    view_restored_s = known_dead_s = 0.0
    while not (view_restored_s and known_dead_s):
        fleet.run(1)
        elapsed_s = (fleet.now - stopped_at) / NS_PER_S
        if elapsed_s > TIMEOUT_S:
            raise NoTakeoverError(
                f"{count} fronts: the aggregator was not replaced and listed as dead within {elapsed_s} s"
            )
        if all(
            agent.leadership.leader != stopped and agent.view_received_at > stopped_at for agent in others
        ):
            view_restored_s = view_restored_s or elapsed_s
        if all(agent.membership.members[stopped].status is MemberStatus.DEAD for agent in others):
            known_dead_s = known_dead_s or elapsed_s
    at = {"fronts": count}
    return [
        Point(
            "aggregator takeover",
            "view aggregator",
            "seconds without a view",
            "s",
            at,
            view_restored_s,
            COMMAND,
        ),
        Point("member held dead", "front", "seconds until all know", "s", at, known_dead_s, COMMAND),
    ]


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure fleets of all sizes, rounded up to whole seconds, and fit the slopes by fronts."""
    points = [point for count in ((50, 100) if quick else (50, 200, 730)) for point in measure(count)]
    return points, fit_slopes_by_name(points, "fronts")
