"""A fleet of simulated fronts under load: one upstream has a fault for a while, then the load triples.

From 4 s to 8 s the first cache is slow, hung or failing. From 9 s to 12 s the request rate is tripled.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable

from marbleglade.fleet.agent import ALL_FRONTS
from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.fleet.messages import FleetMessage
from marbleglade.model.attempt import Attempt, AttemptResult
from marbleglade.model.request import Request
from marbleglade.policy.rendezvous import rank_by_rendezvous
from marbleglade.protocols import fleet_datagrams
from marbleglade.testing.policy_stub import NS_PER_MS, NS_PER_S
from marbleglade.testing.simulated_datagrams import SimulatedNetwork

from .front import SimulatedFront
from .measurements import AnsweredRequest, FleetMeasurements
from .parameters import CLIENT_TIMEOUT, FLOW_KB_PER_S, LATENCY_OBJECTIVE
from .upstreams import AttemptOutcome, Fault, SimulatedUpstreams

START = 100 * NS_PER_S
TICK = 250 * NS_PER_MS  # interval of a front's periodic work
DELIVERY_STEP = 5 * NS_PER_MS
CACHES, PARENTS = 8, 3
FAULTY_CACHE = b"c0"
FAULT_BEGIN, FAULT_END = 4, 8  # seconds
FAULT_KNOWN_AFTER = 6.5  # seconds, the time by which the fleet has detected the fault
FLOOD_BEGIN, FLOOD_END, FLOOD_FACTOR = 9, 12, 3.0
FIRST_VIEWS_AFTER_S = 3
LOSS_RATE = 0.1
MEAN_TRANSFER_S = 0.06
CACHE_HEADROOM, MIN_CAPACITY = 2.5, 4.0
OBJECTS_PER_CACHE, OBJECT_SKEW, GROUPS = 40, 4, 8
MIN_SIZE_KB, SIZE_STEP_KB, SIZE_RANGE_KB = 20, 37, 200


class FleetSimulation:
    """One simulated run of a fleet.

    Args:
        count: Number of fronts; the capacity of the upstreams is proportional to it.
        seed: Seed of all random figures.
        cooperating: Whether the fronts exchange datagrams; otherwise each decides alone.
        fault: Fault of the first cache.
        seconds: Simulated seconds in which requests are sent.
        rate: Requests per second and front.

    Attributes:
        now: The simulated time, ns.
        worst_in_flight_at_fault: Most attempts in flight at the faulty cache once the fleet has
            detected the fault.
    """

    def __init__(
        self, count: int, seed: int, cooperating: bool, fault: Fault, seconds: int = 15, rate: float = 4.0
    ) -> None:
        self.count, self.seed, self.cooperating, self.fault = count, seed, cooperating, fault
        self.seconds, self.rate = seconds, rate
        self.now = START
        self.measurements = FleetMeasurements(START)
        self.worst_in_flight_at_fault = 0
        self._in_flight_at_fault = 0
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._network = SimulatedNetwork(seed, self._deliver)
        self._network.loss_rate = LOSS_RATE
        demand = count * rate * MEAN_TRANSFER_S
        cache_capacity = max(MIN_CAPACITY, demand / CACHES * CACHE_HEADROOM)
        self._upstreams = SimulatedUpstreams(cache_capacity, max(MIN_CAPACITY, demand))
        self.fronts = [SimulatedFront(self, number, CACHES, PARENTS) for number in range(count)]

    def run(self) -> FleetSimulation:
        """Run the simulation to its end and return it."""
        for front in self.fronts:
            self._schedule(int(NS_PER_S / self.rate * self._network.draw()), self._send_request, front)
            if self.cooperating:
                self._schedule(int(TICK * self._network.draw()), self._tick, front)
        self._schedule(0, self._deliver_due)
        end = self.now + self.seconds * NS_PER_S + CLIENT_TIMEOUT + NS_PER_S // 10
        while self._events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _schedule(self, after: int, action: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self._events, (self.now + after, next(self._order), action, arguments))

    @property
    def _elapsed(self) -> float:
        return (self.now - START) / NS_PER_S

    # Requests and periodic work of fronts.

    def _send_request(self, front: SimulatedFront) -> None:
        if self._elapsed >= self.seconds:
            return
        factor = FLOOD_FACTOR if FLOOD_BEGIN <= self._elapsed < FLOOD_END else 1.0
        mean_gap = NS_PER_S / (self.rate * factor)
        self._schedule(int(mean_gap * (0.5 + self._network.draw())), self._send_request, front)
        object_id = 1 + int(self._network.draw() ** OBJECT_SKEW * OBJECTS_PER_CACHE * CACHES)
        request = Request(
            front.policy.parameters.request_classes[0],
            object_id,
            0,
            object_id % GROUPS,
            MIN_SIZE_KB + object_id * SIZE_STEP_KB % SIZE_RANGE_KB,
            self.now,
            self.now + CLIENT_TIMEOUT,
        )
        self.measurements.request_count += 1
        front.policy.handle_request(request)

    def _tick(self, front: SimulatedFront) -> None:
        front.tick()
        self._schedule(TICK, self._tick, front)

    # Datagrams.

    def send_datagrams(self, front: SimulatedFront, messages: Iterable[Outgoing[FleetMessage]]) -> None:
        """Send messages of a front over the lossy network."""
        for message in messages:
            data = fleet_datagrams.encode(message.message)
            receivers = range(self.count) if message.to == ALL_FRONTS else (message.to,)
            for receiver in receivers:
                if receiver != front.number:
                    self._network.send(front.number, receiver, data, self.now)

    def _deliver(self, receiver: int, sender: int, data: bytes, _now: int) -> None:
        self.fronts[receiver].receive(sender, data)

    def _deliver_due(self) -> None:
        self._network.deliver_due(self.now)
        self._schedule(DELIVERY_STEP, self._deliver_due)

    # Calls from the fronts and their policies.

    def schedule_wakeup(self, front: SimulatedFront, after: int) -> None:
        """Call the front's `on_timer` after `after` ns."""
        self._schedule(after, front.on_timer)

    def count_probe(self) -> None:
        """Count a load probe, once the fleet has its first views."""
        self.measurements.probe_count += self._elapsed >= FIRST_VIEWS_AFTER_S

    def serve_attempt(self, front: SimulatedFront, attempt: Attempt, only_if_cached: bool) -> None:
        """Start an attempt at its upstream."""
        name = attempt.upstream.name
        self.measurements.add_attempt(int(self._elapsed), name, len(attempt.request.attempts) == 1)
        has_fault = name == FAULTY_CACHE and FAULT_BEGIN <= self._elapsed < FAULT_END
        if has_fault:
            self._in_flight_at_fault += 1
            if self._elapsed > FAULT_KNOWN_AFTER:
                self.worst_in_flight_at_fault = max(self.worst_in_flight_at_fault, self._in_flight_at_fault)
        outcome = self._upstreams.serve(attempt, only_if_cached, self.fault if has_fault else None)
        self._schedule(outcome.duration, self._finish_service, front, attempt, outcome)

    def _finish_service(self, front: SimulatedFront, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._upstreams.finish(attempt, outcome)
        self._finish_attempt(front, attempt, outcome.result)

    def cancel_attempt(self, front: SimulatedFront, attempt: Attempt) -> None:
        """Cancel an attempt at its front; its upstream continues to serve it."""
        self._schedule(0, self._finish_attempt, front, attempt, AttemptResult.CANCELLED)

    def _finish_attempt(self, front: SimulatedFront, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.result is not None:
            return
        attempt.result, attempt.latency = result, self.now - attempt.sent_at
        sent_at = (attempt.sent_at - START) / NS_PER_S
        if attempt.upstream.name == FAULTY_CACHE and FAULT_BEGIN <= sent_at < FAULT_END:
            self._in_flight_at_fault -= 1
        if result is AttemptResult.OK and not attempt.request.finished:
            self.answer(front, attempt.request, served=True)
        front.policy.attempt_finished(attempt)

    def answer(self, front: SimulatedFront, request: Request, served: bool, rejected: bool = False) -> None:
        """Give a request its final answer."""
        if request.finished:
            self.measurements.duplicate_answers += 1
            return
        request.finished = True
        transfer_time = request.size_kb / FLOW_KB_PER_S * NS_PER_S
        in_time = served and self.now <= request.received_at + LATENCY_OBJECTIVE + 2 * transfer_time
        answered = AnsweredRequest(request.received_at, served, in_time, rejected, request.size_kb)
        preferred = rank_by_rendezvous(front.caches, request.object_id, 0)[0].name
        self.measurements.add_answer(answered, preferred)

    # Figures beside those of requests.

    def probes_per_cache(self) -> float:
        """Return load probes per second and cache since the fleet had its first views."""
        span = self.seconds + CLIENT_TIMEOUT / NS_PER_S - FIRST_VIEWS_AFTER_S
        return self.measurements.probe_count / CACHES / span

    def bytes_per_front(self) -> float:
        """Return bytes of datagrams per second and front."""
        return sum(self._network.bytes_delivered.values()) / self.count / self.seconds
