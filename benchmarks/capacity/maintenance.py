"""Traffic of the leader of the maintenance lease quorum by the number of fronts, on simulated time.

Nine fronts are voters. The recorded slopes named "quorum" are of an earlier tree, where every front was one.
The figures are taken while a plan is active and some machines are out of service, without datagram losses.
"""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.maintenance.simulation import MaintenanceSimulation
from marbleglade.maintenance.plan import ConcurrencyLimit, Kind, front_name
from marbleglade.maintenance.quorum_messages import Append, AppendReply, Vote, VoteRequest
from marbleglade.protocols import maintenance_datagrams
from marbleglade.testing.simulated_datagrams import SimulatedNetwork

from .fit import fit_slopes_by_name
from .records import Point, Slope

ELECTION_S, MEASURE_S = 6.0, 12.0  # simulated time for an election, and for the measurement
MAX_MACHINES_OUT = 4
WORK_DURATION_NS = 600 * 1_000_000_000  # so long that no machine returns during the measurement
COMMAND = "python -O -m benchmarks.capacity --only maintenance"


class CountingNetwork(SimulatedNetwork):
    """A network without losses that counts the datagrams of the quorum by sender and by receiver."""

    def __init__(self, seed: int, deliver: Callable[[int, int, bytes, int], None]) -> None:
        super().__init__(seed, deliver)
        self.sent: dict[int, list[int]] = {}
        self.received: dict[int, list[int]] = {}

    def send(self, sender: int, to: int, data: bytes, now: int) -> None:
        """Send a datagram and count it if it is one of the quorum."""
        if isinstance(maintenance_datagrams.decode(data), VoteRequest | Vote | Append | AppendReply):
            self.sent.setdefault(sender, []).append(len(data))
            self.received.setdefault(to, []).append(len(data))
        super().send(sender, to, data, now)


def measure(fronts: int) -> list[Point]:
    """Measure the traffic of the leader and of one other front."""
    simulation = MaintenanceSimulation(fronts, 0, 1, work_duration=WORK_DURATION_NS)
    network = simulation.network = CountingNetwork(1, simulation.deliver)
    simulation.run(ELECTION_S)
    names = [front_name(number) for number in range(fronts)]
    simulation.submit_plan(names, [ConcurrencyLimit(MAX_MACHINES_OUT, Kind.FRONT)], takes_ms=600_000)
    simulation.run(ELECTION_S)
    network.sent.clear()
    network.received.clear()
    simulation.run(MEASURE_S)
    leader = next(
        number for number, front in simulation.fronts.items() if front.coordinator.quorum.member.is_leader
    )
    other = next(number for number in simulation.fronts if number != leader)
    found = []
    for role, number in (("maintenance leader", leader), ("front", other)):
        for quantity, sizes in (
            ("sent", network.sent.get(number, [])),
            ("received", network.received.get(number, [])),
        ):
            for counted, unit, value in (("datagrams", "1/s", len(sizes)), ("bytes", "B/s", sum(sizes))):
                name = f"{role} with nine voters {counted} {quantity}"
                at = {"fronts": fronts}
                found.append(Point(name, role, f"{counted} {quantity}", unit, at, value / MEASURE_S, COMMAND))
    return found


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure fleets of all sizes and fit the slopes by fronts."""
    points = [point for fronts in ((50, 200) if quick else (50, 200, 730)) for point in measure(fronts)]
    return points, fit_slopes_by_name(points, "fronts")
