"""Connects a front's maintenance coordinator to the plan file, requests, upstreams and fleet agent."""

from __future__ import annotations

import os
from collections.abc import Callable

from ..fleet.agent import FleetAgent
from ..fleet.gossip_messages import Outgoing
from ..model.upstream import Upstream, UpstreamRole, UpstreamState
from ..policy_driver import PolicyDriver
from ..protocols import maintenance_datagrams
from ..request_handler import RequestHandler
from ..runtime import clock
from ..runtime.errors import InvalidConfigurationError
from ..runtime.units import MILLISECOND_NS
from ..state.upstream_registry import RegisteredUpstream
from .coordinator import MaintenanceCoordinator
from .drain import Drain, DrainStage
from .maintenance_status import MaintenanceStatus
from .messages import MaintenanceMessage
from .plan import Group, Kind
from .plan_file import DEFAULT_DRAIN_TIMEOUT_MS, read_plan
from .snapshot import NodeObservation, ObservedUpstream, UpstreamObservations, adjacent_upstreams
from .table_query import InquiryOutcome

LEASE_PROBE_INTERVALS = 6  # duration of a maintenance lease, in probe intervals of the fleet agent
HOT_OBJECT_COUNT = 16  # most requested objects; the first two upstreams of each are not taken out together
KIND_BY_ROLE = {UpstreamRole.CACHE: Kind.CACHE, UpstreamRole.PARENT: Kind.PARENT}
LOGGED_CHANGES = (  # fields of the status; a change of any other field is not logged
    "plan_created_ms",
    "is_finished",
    "term",
    "leader",
    "is_leader",
    "out_of_service",
    "completed",
    "halted",
)


class MaintenanceAdapter:
    """Runs maintenance at one front: reads plans, observes upstreams, and drains the front.

    Args:
        path: Path of the plan file, which need not exist.
        agent: The fleet agent, whose members exchange the messages of maintenance.
        started_ms: When the front started, in Unix milliseconds.
        probe_interval: Time between two probes of the fleet agent, ns.
        driver: Driver of the front's policy.
        front: The request handler; it avoids upstreams that are out of service, and rejects requests while
            this front is drained.
        log: Function that logs an event with its fields.
    """

    def __init__(
        self,
        path: str,
        agent: FleetAgent,
        started_ms: int,
        probe_interval: int,
        driver: PolicyDriver,
        front: RequestHandler,
        log: Callable[..., None],
    ) -> None:
        self.path = path
        self.driver = driver
        self.front = front
        self.log = log
        self.agent = agent
        self.drain = Drain()
        self.coordinator = MaintenanceCoordinator(
            agent.own_number,
            agent.membership,
            started_ms,
            LEASE_PROBE_INTERVALS * probe_interval,
            driver.policy.parameters.slow_start_time // MILLISECOND_NS,
            clock.now(),
        )
        self.applied_starts_ms: dict[int, int] = {}  # as last applied to the upstreams
        self.logged_status: dict[str, object] = {}
        self.inquiry_outcome = InquiryOutcome.WAITING  # as last applied to the upstreams
        self.reload_plan()

    @staticmethod
    def encode(message: MaintenanceMessage) -> bytes:
        """Encode a message as one datagram."""
        return maintenance_datagrams.encode(message)

    @property
    def is_informed(self) -> bool:
        """True once the front knows which machines are out of service and avoids them."""
        return self.inquiry_outcome.is_informed

    @property
    def is_waiting(self) -> bool:
        """True while the front can't serve, since it does not know which machines are out of service.

        After the time-out it serves with the caches that are certainly in service, if there are any.
        """
        if self.inquiry_outcome is InquiryOutcome.TIMEOUT:
            return not self.front.upstreams.has_active_cache()
        return self.inquiry_outcome is InquiryOutcome.WAITING

    @property
    def is_draining(self) -> bool:
        """True while the front is draining or drained."""
        return self.drain.stage is not DrainStage.SERVING

    def reload_plan(self) -> None:
        """Adopt the plan in the file, if there is one.

        A log line with `adopted=False` gives no reason: the plan is no later than the one in force, or was
        created too far ahead of this front's clock. A file without read permission is skipped, as a missing
        one is.
        """
        if not os.access(self.path, os.R_OK):
            return
        try:
            loaded = read_plan(self.path)
        except InvalidConfigurationError as error:
            self.log("maintenance", invalid_plan=str(error))
            return
        adopted = self.coordinator.adopt(loaded.plan, loaded.packed, clock.now())
        self.log("maintenance", adopted=adopted)

    def tick(self, now: int) -> list[Outgoing[MaintenanceMessage]]:
        """Return the messages that are due, and log the status if it changed."""
        outgoing = self.coordinator.tick(now, self.observe)
        self._apply_state(now)
        status = self.coordinator.status()
        logged = {name: value for name, value in status.items() if name in LOGGED_CHANGES}
        if logged != self.logged_status:
            self.logged_status = logged
            self.log("maintenance", **status)
        return outgoing

    def handle_datagram(
        self, sender: int, data: bytes, now: int
    ) -> list[Outgoing[MaintenanceMessage]] | None:
        """Process a datagram and return the answers; None if it is not a maintenance datagram."""
        message = maintenance_datagrams.decode(data)
        return None if message is None else self.receive(sender, message, now)

    def receive(
        self, sender: int, message: MaintenanceMessage, now: int
    ) -> list[Outgoing[MaintenanceMessage]]:
        """Process a member's message and return the answers."""
        plan_before = self.coordinator.plan
        outgoing = self.coordinator.receive(sender, message, now)
        self._apply_state(now)
        if self.coordinator.plan is not plan_before:
            outgoing = outgoing + self.tick(now)  # a new plan may recall fronts, at once
        return outgoing

    def status(self) -> MaintenanceStatus:
        """Return the status for the log line of counters."""
        return {
            **self.coordinator.status(),
            "stage": self.drain.stage.value,
            "is_informed": self.is_informed,
        }

    def drain_front(self, now: int) -> None:
        """Advance the drain of this front. To be called often, since the drain has a timeout."""
        stage = self.drain.stage
        is_granted = self.coordinator.is_granted(now)
        if not is_granted and stage is DrainStage.SERVING:
            return
        plan = self.coordinator.plan
        timeout_ms = plan.drain_timeout_ms if plan else DEFAULT_DRAIN_TIMEOUT_MS
        request_count = self.front.counters.counts["request.received"]
        open_requests = len(self.driver.open_requests)
        timeout = timeout_ms * MILLISECOND_NS
        if self.drain.tick(is_granted, timeout, request_count, open_requests, now):
            self.driver.give_up_all()
        if self.drain.stage is not stage:
            self.agent.is_draining_for_maintenance = self.is_draining
            self.log("drain", stage=self.drain.stage.value, open_requests=len(self.driver.open_requests))

    def observe(self) -> UpstreamObservations:
        """Return the state of this front's upstreams, as it observes them."""
        observation = UpstreamObservations()
        for upstream, server in self.front.upstreams.by_upstream.items():
            if (kind := KIND_BY_ROLE.get(upstream.role)) is not None:
                group = Group(kind, self._zone_name(upstream))
                observation.upstreams[server.id] = ObservedUpstream(
                    group, self._observe_upstream(upstream, server)
                )
        if load := self.front.monitor.latest_congestion():
            observation.load[Kind.CACHE] = load[0]
        observation.adjacent = adjacent_upstreams(
            self.driver.policy.preferred_upstreams(HOT_OBJECT_COUNT),
            lambda upstreams: [upstream.name.decode() for upstream in upstreams],
        )
        return observation

    def rejects_all(self) -> bool:
        """Return whether to reject all requests: the front is drained, or `is_waiting`."""
        return self.drain.stage is DrainStage.DRAINED or self.is_waiting

    def _apply_inquiry_outcome(self, now: int) -> None:
        """Log a change of the table inquiry's outcome, and withhold upstreams after its time-out.

        The upstreams that may be out of service are withheld until the front is informed.
        """
        outcome = self.coordinator.inquiry_outcome(now)
        previous = self.inquiry_outcome
        if outcome is previous:
            return
        inquiry = self.coordinator.inquiry
        self.log(
            "table_inquiry",
            outcome=outcome.value,
            waited_ms=(now - inquiry.started_at) // MILLISECOND_NS,
            rounds=inquiry.rounds,
            replied=sorted(inquiry.answered),
            granted=len(self.coordinator.granted_starts_ms),
        )
        if outcome is InquiryOutcome.TIMEOUT:
            self.front.events.withhold_upstreams(self.coordinator.started_ms)
        elif previous is InquiryOutcome.TIMEOUT:
            self.front.events.release_upstreams()
        self.inquiry_outcome = outcome  # last, since requests may be admitted once it is set

    def _apply_state(self, now: int) -> None:
        """Apply the grants and the inquiry's outcome to the upstreams, and advance this front's drain."""
        if self.coordinator.granted_starts_ms != self.applied_starts_ms:
            self.applied_starts_ms = dict(self.coordinator.granted_starts_ms)
            self.front.events.take_out_of_service(self.applied_starts_ms)
        self._apply_inquiry_outcome(now)  # after the grants, as it may release upstreams
        self.drain_front(now)

    def _zone_name(self, upstream: Upstream) -> str:
        zones = self.front.upstreams.environment.zones
        return zones[upstream.zone] if 0 <= upstream.zone < len(zones) else ""

    def _observe_upstream(self, upstream: Upstream, server: RegisteredUpstream) -> NodeObservation:
        now = clock.now()
        health = upstream.health
        is_ejected = health is not None and health.circuit_open_until > now
        warm_up_time = self.driver.policy.parameters.slow_start_time
        return NodeObservation(
            server.started_ms,
            up=upstream.state is UpstreamState.ACTIVE and not is_ejected,
            warm=not upstream.started_at or now - upstream.started_at >= warm_up_time,
            slowdown=health.link.slowdown(now) if health else 1.0,
        )
