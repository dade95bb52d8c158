"""A fleet of the program's fleet agents on simulated time, connected by a simulated network."""

from collections.abc import Callable, Iterable

from marbleglade.fleet.agent import ALL_FRONTS, FleetAgent
from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.fleet.messages import FleetMessage
from marbleglade.model.fleet_view import LoadObservations
from marbleglade.protocols import fleet_datagrams
from marbleglade.testing.simulated_datagrams import SimulatedNetwork
from tests.harness.units import NS_PER_MS, START_NS
from tests.policy.policy_harness import PolicyHarness

PROBE_INTERVAL_NS = 1000 * NS_PER_MS
TICK_PERIOD_NS = 250 * NS_PER_MS  # between the ticks of one front, as `service.front_process.SWEEP_PERIOD_NS`
TICK_OFFSET_NS = 50 * NS_PER_MS  # between the ticks of one front and the next


class SimulatedFleet:
    """Fronts that consist of a fleet agent only; a test sets the load observations of each.

    Args:
        count: Number of fronts, all of which are in the list of peers.
        seed: Seed of the network's faults and of the agents' random choices.
        probe_interval: Nanoseconds between two probes of a front.
        step: Nanoseconds by which the time advances; datagrams arrive at the end of a step.

    Attributes:
        now: The current simulated time, ns.
        network: The simulated network between the fronts.
        agents: The agents of the running fronts, by number.
        paused: Numbers of the fronts whose processes are stopped; they neither tick nor receive.
        observations: The load observations of each front's policy, by number.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        probe_interval: int = PROBE_INTERVAL_NS,
        step: int = TICK_OFFSET_NS,
    ) -> None:
        self.parameters = PolicyHarness(load_probes_allowed=True).parameters
        self.count, self.seed = count, seed
        self.probe_interval, self.step = probe_interval, step
        self.now = START_NS
        self.network = SimulatedNetwork(seed, self._deliver)
        self.agents: dict[int, FleetAgent] = {}
        self.paused: set[int] = set()
        self.observations: dict[int, LoadObservations] = {}
        self._start_counts: dict[int, int] = {}
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> None:
        """Start a front that is not running, without any state of an earlier run."""
        self._start_counts[number] = self._start_counts.get(number, 0) + 1
        started_ms = (self.now - START_NS) // NS_PER_MS + 1_000_000 + self._start_counts[number]
        self.agents[number] = FleetAgent(
            number,
            self.count,
            started_ms,
            self.parameters,
            self.probe_interval,
            self.now,
            self.seed * 1000 + number,
        )
        self.observations.setdefault(number, LoadObservations(0, 0, 0, 0, {}, [], []))

    def kill(self, *numbers: int) -> None:
        """End these fronts without a message to the others."""
        for number in numbers:
            del self.agents[number]

    def send(self, sender: int, outgoing: Iterable[Outgoing[FleetMessage]]) -> None:
        """Encode and send an agent's messages."""
        for item in outgoing:
            data = fleet_datagrams.encode(item.message)
            for receiver in range(self.count) if item.to == ALL_FRONTS else [item.to]:
                if receiver != sender:
                    self.network.send(sender, receiver, data, self.now)

    def run(self, seconds: float, after_delivery: Callable[[], None] = lambda: None) -> None:
        """Advance the simulated time.

        Args:
            seconds: The duration.
            after_delivery: Called in each step, before the agents' ticks.
        """
        end = self.now + int(seconds * 1000) * NS_PER_MS
        while self.now < end:
            self.now += self.step
            self.network.deliver_due(self.now)
            after_delivery()
            for number, agent in list(self.agents.items()):
                is_due = (self.now + number * TICK_OFFSET_NS) % TICK_PERIOD_NS == 0
                if is_due and number not in self.paused:
                    self.send(number, self._tick(number, agent))

    def members_not_alive(self) -> dict[int, set[int]]:
        """Return the numbers of the members that are not alive, as each running front has them."""
        members = set(range(self.count))
        return {number: members - set(agent.membership.alive()) for number, agent in self.agents.items()}

    def all_members_alive(self) -> bool:
        """Return whether all members are alive at each running front."""
        return not any(self.members_not_alive().values())

    def leaders(self) -> list[int]:
        """Return the numbers of the fronts that compute the load view, by their own state."""
        return [number for number, agent in self.agents.items() if agent.leadership.is_leader]

    def _tick(self, number: int, agent: FleetAgent) -> list[Outgoing[FleetMessage]]:
        return agent.tick(self.now, lambda: self.observations[number], lambda: None)

    def _deliver(self, receiver: int, sender: int, data: bytes, now: int) -> None:
        agent = self.agents.get(receiver)
        message = fleet_datagrams.decode(data)
        if agent is not None and receiver not in self.paused and message is not None:
            self.send(receiver, agent.receive(sender, message, now))
