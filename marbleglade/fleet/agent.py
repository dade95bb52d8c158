"""The fleet agent of one front: membership, leadership and the load view, driven by one timer.

The agent does no I/O and reads no clock, and its randomness is seeded: `tick` and `receive` return the
messages to send, and the adapter sends them. In each probe interval the agent probes one member, and the
leader computes two load views.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model.fleet_view import FleetView, LinkSlowdown, LoadObservations
from ..model.parameters import Parameters
from ..policy.retry_budget import RETRY_BUDGET_RATIO
from ..runtime.units import MILLISECOND_NS
from .agent_status import FleetStatus, LeadershipStatus
from .gossip_messages import Ack, Outgoing, Ping, PingRequest
from .leadership import Leadership, is_extra_prober, preferred_holder
from .load_view import (
    FRESH_PERIODS,
    MAX_OPEN_CIRCUITS,
    MAX_RECOVERED,
    UNKNOWN_AGE_MS,
    WINDOW_PERIODS,
    AggregatedView,
    FrontReport,
    LinkWork,
    LoadAggregator,
    SlidingSums,
    ZoneLoad,
)
from .membership import Membership
from .messages import FleetMessage
from .quota import (
    AGING_PERIODS,
    STANDALONE_FRONTS,
    age_share,
    retry_budget_factor,
    retry_burst_factor,
    shed_ratio,
    traffic_share,
)

VIEW_TASK = b"views"
ALL_FRONTS = -1  # the receiver number that stands for all fronts
CONTROL_NODE = -2  # the receiver number that stands for this front's control node
REPORTS_PER_PROBE = 2  # load reports, or views, in each probe interval
MAX_LISTED = 32  # numbers in the `not_alive` field of a status


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The congestion that a zone's caches reported, and the time of the report, ns."""

    value: float
    reported_at: int


class FleetAgent:
    """The fleet protocol of one front.

    Args:
        own_number: The number of this front.
        count: Number of members in the list of peers.
        started_ms: When this front started, in Unix milliseconds.
        parameters: The parameters of the front's policy.
        probe_interval: Nanoseconds between two probes.
        now: The current time, ns.
        seed: Seed of the random choices.
    """

    def __init__(
        self,
        own_number: int,
        count: int,
        started_ms: int,
        parameters: Parameters,
        probe_interval: int,
        now: int,
        seed: int,
    ) -> None:
        self.own_number = own_number
        self.parameters = parameters
        self.report_interval = probe_interval // REPORTS_PER_PROBE
        self.membership = Membership(own_number, count, started_ms, probe_interval, now, seed)
        self.leadership = Leadership(VIEW_TASK, own_number, self.report_interval, now)
        self.aggregator = LoadAggregator(self.report_interval, parameters.load_probes_allowed)
        self.sliding_sums = SlidingSums()
        self.next_report_at = now
        self.sequence = started_ms << 16  # of the last report; it grows across restarts too
        self.view: AggregatedView | None = None
        self.view_received_at = 0
        self.own_load_ms = 0
        self.is_draining_for_maintenance = False  # such a front does not lead
        self.number_in_views = own_number  # by which views refer to this front
        self.uses_control_nodes = False  # control nodes compute the view instead of a leading front
        self.fleet_view: FleetView | None = None

    def tick(
        self,
        now: int,
        observe: Callable[[], LoadObservations],
        zone_load: Callable[[], ZoneLoad | None],
    ) -> list[Outgoing[FleetMessage]]:
        """Run the timers and return the messages that are due.

        Args:
            now: The current time, ns.
            observe: Returns this front's load observations; called once per report.
            zone_load: Returns the latest load of this front's zone; called once per report.
        """
        outgoing: list[Outgoing[FleetMessage]] = [*self.membership.tick(now)]
        if now < self.next_report_at:
            return outgoing
        self.next_report_at = max(self.next_report_at + self.report_interval, now + self.report_interval // 2)
        self._age_view(now)
        report = self._make_report(observe(), zone_load())
        if self.uses_control_nodes:
            return [*outgoing, Outgoing(CONTROL_NODE, report)]
        # A suspected member cannot be preferred, so its successor need not wait until the suspicion expires.
        # While messages of a suspected leader still arrive, `Leadership` keeps that leader.
        is_preferred = preferred_holder(VIEW_TASK, self.membership.healthy()) == self.own_number
        may_lead = is_preferred and not self.membership.is_leaving and not self.is_draining_for_maintenance
        if self.leadership.tick(may_lead, now):
            self.aggregator.add_report(self.own_number, report, now)
            view = self.aggregator.aggregate(self.leadership.term, now)
            self.adopt_view(view, now)
            outgoing.append(Outgoing(ALL_FRONTS, view))
        elif (receiver := self._report_receiver(now)) is not None:
            outgoing.append(Outgoing(receiver, report))
        return outgoing

    def receive(self, sender: int, message: FleetMessage, now: int) -> list[Outgoing[FleetMessage]]:
        """Process a message of a listed front and return replies; a newer view replaces `fleet_view`."""
        if isinstance(message, Ping | Ack | PingRequest):
            return [*self.membership.receive(sender, message, now)]
        if self.uses_control_nodes:
            return []
        if isinstance(message, FrontReport):
            self.aggregator.add_report(sender, message, now)
        elif self.leadership.accept_leader(message.term, sender, now):
            current = self.view
            if not current or (message.term, message.sequence) > (current.term, current.sequence):
                self.adopt_view(message, now)
        return []

    def use_control_nodes(self, number: int) -> None:
        """Use the views of control nodes from now on, which refer to this front by `number`."""
        self.uses_control_nodes = True
        self.number_in_views = number

    def adopt_view(self, view: AggregatedView, now: int) -> None:
        """Store a new view and compute from it the `fleet_view` of this front's policy."""
        self.view = view
        self.view_received_at = now
        own_number = self.number_in_views
        share = traffic_share(self.own_load_ms, view)
        budget_factor = retry_budget_factor(view, RETRY_BUDGET_RATIO)
        zone_load = view.zone_loads.get(self.parameters.zone)
        self.fleet_view = FleetView(
            valid_until=now + FRESH_PERIODS * self.report_interval,
            traffic_share=share,
            retry_budget_factor=budget_factor,
            link_slowdowns={
                key: LinkSlowdown(max(1.0, link.duration_ms / link.work_ms), link.work_ms * MILLISECOND_NS)
                for key, link in view.links.items()
                if link.work_ms
            },
            suspected={upstream: circuit.reporters for upstream, circuit in view.open_circuits.items()},
            assigned_probes=frozenset(
                upstream
                for upstream, circuit in view.open_circuits.items()
                if circuit.prober == own_number
                or is_extra_prober(upstream, circuit.reporters, own_number, view.sequence)
            ),
            recovered=frozenset(view.recovered),
            is_load_prober=bool(zone_load and zone_load.prober == own_number),
            retry_burst_factor=retry_burst_factor(share, view.fronts, budget_factor),
            shed_ratio=shed_ratio(view),
        )

    def zone_load(self) -> ReportedLoad | None:
        """Return the load of this front's zone by the current view; None if the view has none."""
        load = self.view.zone_loads.get(self.parameters.zone) if self.view else None
        if load is None or load.age_ms >= UNKNOWN_AGE_MS:
            return None
        return ReportedLoad(load.value, self.view_received_at - load.age_ms * MILLISECOND_NS)

    def status(self, now: int) -> FleetStatus:
        """Return the fleet's state for the log."""
        members = self.membership.members
        alive = self.membership.alive()
        view, fleet_view = self.view, self.fleet_view
        return {
            "alive": len(alive),
            "listed": len(members),
            "local_health": self.membership.local_health,
            "not_alive": sorted(set(members) - set(alive))[:MAX_LISTED],
            "leadership": self.leadership_status(),
            "reporting_fronts": view.fronts if view else None,
            "view_age_ms": (now - self.view_received_at) // MILLISECOND_NS if view else None,
            "traffic_share": round(fleet_view.traffic_share, 4) if fleet_view else None,
            "retry_budget_factor": round(fleet_view.retry_budget_factor, 2) if fleet_view else None,
            "shed_ratio": round(fleet_view.shed_ratio, 3) if fleet_view else None,
            "window_ms": WINDOW_PERIODS * self.report_interval // MILLISECOND_NS,
        }

    def leadership_status(self) -> LeadershipStatus:
        """Return for the log which front computes the view."""
        leadership = self.leadership
        return {
            "term": leadership.term,
            "leader": leadership.leader,
            "is_leader": leadership.is_leader,
        }

    def _report_receiver(self, now: int) -> int | None:
        """Return the receiver of this front's report; None if there is no receiver other than this front.

        It is the leader of the latest term while its messages arrive, and the preferred holder afterwards.
        """
        leader = self.leadership.leader
        is_current = now - self.leadership.last_contact_at <= FRESH_PERIODS * self.report_interval
        if leader in self.membership.members and is_current:
            receiver: int | None = leader
        else:
            receiver = preferred_holder(VIEW_TASK, self.membership.healthy())
        return None if receiver == self.own_number else receiver

    def _make_report(self, observations: LoadObservations, zone_load: ZoneLoad | None) -> FrontReport:
        counters: dict[object, int] = {
            "requested_work": observations.requested_work,
            "first_requests": observations.first_requests,
            "retry_cost": observations.retry_cost,
            "rejected": observations.rejected,
        }
        for key, usage in observations.links.items():
            counters["work", key] = usage.transfer_time
            counters["duration", key] = usage.duration
        self.sliding_sums.add_period(counters)
        self.own_load_ms = self._sum_ms("requested_work")
        self.sequence += 1
        return FrontReport(
            self.sequence,
            zone=self.parameters.zone,
            load_ms=self.own_load_ms,
            first_requests=self.sliding_sums.sum("first_requests"),
            retry_cost=self.sliding_sums.sum("retry_cost"),
            rejected=self.sliding_sums.sum("rejected"),
            links=self._link_work(observations),
            zone_loads={self.parameters.zone: zone_load} if zone_load else {},
            open_circuits=observations.open_circuits[:MAX_OPEN_CIRCUITS],
            recovered=observations.recovered[:MAX_RECOVERED],
        )

    def _link_work(self, observations: LoadObservations) -> dict[int, LinkWork]:
        """Return the work of each link that had transfers in the window, in milliseconds."""
        work = {key: self._sum_ms(("work", key)) for key in observations.links}
        return {
            key: LinkWork(work_ms, self._sum_ms(("duration", key)))
            for key, work_ms in work.items()
            if work_ms
        }

    def _sum_ms(self, name: object) -> int:
        return self.sliding_sums.sum(name) // MILLISECOND_NS

    def _age_view(self, now: int) -> None:
        """Move the shares of an expired view towards those of a front without a fleet.

        Nothing else in an expired view is used: the front relies on its own observations.
        """
        view = self.view
        expired_for = now - self.view_received_at - FRESH_PERIODS * self.report_interval
        if view is None or not 0 <= expired_for < AGING_PERIODS * self.report_interval:
            return
        standalone_share = STANDALONE_FRONTS / max(1, view.fronts)
        assigned_share = traffic_share(self.own_load_ms, view)
        share = age_share(assigned_share, standalone_share, expired_for, self.report_interval)
        assigned_factor = retry_budget_factor(view, RETRY_BUDGET_RATIO)
        budget_factor = age_share(assigned_factor, 1.0, expired_for, self.report_interval)
        self.fleet_view = FleetView(
            valid_until=now + self.report_interval * 3 // 2,
            traffic_share=share,
            retry_budget_factor=budget_factor,
            link_slowdowns={},
            suspected={},
            assigned_probes=frozenset(),
            recovered=frozenset(),
            is_load_prober=True,
            retry_burst_factor=retry_burst_factor(share, view.fronts, budget_factor),
        )
