"""One simulated front: the real policy and fleet agent, hosted by a simulation."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from marbleglade.fleet.agent import FleetAgent
from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.fleet.load_view import ZoneLoad
from marbleglade.fleet.messages import FleetMessage
from marbleglade.model.attempt import Attempt
from marbleglade.model.fleet_view import FleetView
from marbleglade.model.max_age import DEFAULT_MAX_AGE
from marbleglade.model.request import Request
from marbleglade.model.upstream import Upstream, UpstreamRole
from marbleglade.policy.policy import Policy
from marbleglade.protocols import fleet_datagrams
from marbleglade.testing.policy_stub import NS_PER_MS, NS_PER_S, StubPolicyHost

from .parameters import fleet_parameters
from .upstreams import ORIGIN

HEARTBEAT = NS_PER_S
FIRST_START_MS = 1_000_000
REPORTED_CONGESTION = 0.3


class Simulation(Protocol):
    """The interface of the simulation that a front runs in."""

    now: int
    seed: int
    count: int

    def serve_attempt(self, front: SimulatedFront, attempt: Attempt, only_if_cached: bool) -> None:
        """Start an attempt at its upstream."""

    def cancel_attempt(self, front: SimulatedFront, attempt: Attempt) -> None:
        """Cancel an attempt."""

    def answer(self, front: SimulatedFront, request: Request, served: bool, rejected: bool = False) -> None:
        """Give a request its final answer."""

    def schedule_wakeup(self, front: SimulatedFront, after: int) -> None:
        """Call the front's `on_timer` after `after` ns."""

    def count_probe(self) -> None:
        """Count a load probe."""

    def send_datagrams(self, front: SimulatedFront, messages: Iterable[Outgoing[FleetMessage]]) -> None:
        """Send messages to other fronts."""


class SimulatedFront(StubPolicyHost):
    """The host of one front's policy.

    Args:
        simulation: The simulation that the front runs in.
        number: The front's number, from 0.
        cache_count: Number of caches.
        parent_count: Number of parents.
    """

    def __init__(self, simulation: Simulation, number: int, cache_count: int, parent_count: int) -> None:
        super().__init__(simulation.now)
        self.simulation, self.number = simulation, number
        seed, count = simulation.seed, simulation.count
        self.caches = [Upstream(b"c%d" % n, zone=1, cell=n) for n in range(cache_count)]
        parents = [Upstream(b"p%d" % n, UpstreamRole.PARENT) for n in range(parent_count)]
        self.policy = Policy(fleet_parameters(seed * 7919 + number, count), self)
        self.policy.update_endpoints([*self.caches, *parents, Upstream(ORIGIN, UpstreamRole.ORIGIN)], True)
        self.agent = self._new_agent()
        self._applied_view: FleetView | None = None
        self._last_probed: Upstream | None = None

    def _new_agent(self) -> FleetAgent:
        simulation = self.simulation
        return FleetAgent(
            self.number,
            simulation.count,
            FIRST_START_MS + self.number,
            self.policy.parameters,
            HEARTBEAT,
            simulation.now,
            simulation.seed * 104729 + self.number,
        )

    def now(self) -> int:
        """Return the simulated time, ns."""
        return self.simulation.now

    def start_attempt(
        self,
        request: Request,
        upstream: Upstream,
        fill_source: Upstream,
        timeout: int,
        cache_priority: int = 0,
        max_age: int = DEFAULT_MAX_AGE,
        join_fill: bool = False,
        refresh: bool = False,
        only_if_cached: bool = False,
        cache_locally: bool = False,
    ) -> Attempt:
        """Start an attempt at its simulated upstream; of the options only `only_if_cached` has an effect."""
        del max_age, join_fill, refresh, cache_locally
        attempt = self.begin_attempt(request, upstream, fill_source, timeout, cache_priority)
        self.simulation.serve_attempt(self, attempt, only_if_cached)
        return attempt

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.simulation.cancel_attempt(self, attempt)

    def serve_cached(self, request: Request) -> None:
        """Answer with the front's own cached object."""
        self.simulation.answer(self, request, served=True)

    def reject(self, request: Request, retry_after: int = 0) -> None:
        """Reject a request; simulated clients do not retry, so `retry_after` has no effect."""
        del retry_after
        self.simulation.answer(self, request, served=False, rejected=True)

    def fail(self, request: Request) -> None:
        """Fail a request."""
        self.simulation.answer(self, request, served=False)

    def schedule_wakeup(self, after: int) -> None:
        """Call the policy's timer after `after` ns."""
        self.simulation.schedule_wakeup(self, after)

    def on_timer(self) -> None:
        """Run the policy's work that is due."""
        self.policy.on_timer()

    def probe_load(self, upstream: Upstream) -> None:
        """Count a load probe and record its fixed result at once."""
        self.simulation.count_probe()
        upstream.congestion, upstream.reported_at = REPORTED_CONGESTION, self.now()
        self._last_probed = upstream

    def _zone_load(self) -> ZoneLoad | None:
        probed = self._last_probed
        return ZoneLoad(probed.congestion, (self.now() - probed.reported_at) // NS_PER_MS) if probed else None

    def tick(self) -> None:
        """Run the agent's periodic work."""
        messages = self.agent.tick(self.now(), self.policy.observations, self._zone_load)
        self.simulation.send_datagrams(self, messages)
        self._apply_fleet_view()

    def receive(self, sender: int, data: bytes) -> None:
        """Handle a datagram of another front."""
        if message := fleet_datagrams.decode(data):
            self.simulation.send_datagrams(self, self.agent.receive(sender, message, self.now()))
            self._apply_fleet_view()

    def _apply_fleet_view(self) -> None:
        view = self.agent.fleet_view
        if view is not None and view is not self._applied_view:
            self._applied_view = view
            self.policy.apply_fleet_view(view)
