"""Coordinator of maintenance at one front: the plan in force, the leader, and the machines out of service.

Free of I/O, clocks and randomness: `tick` and `receive` return the messages to send. The caller passes in the
observation of the upstreams. `is_granted` states whether this front may be out of service.
`granted_starts_ms` has the process start for which each machine, upstream or front, was last granted.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache

from ..fleet.gossip_messages import Outgoing
from ..fleet.leadership import preferred_holder
from ..fleet.membership import Membership
from ..model.upstream import name_hash
from ..runtime.units import MILLISECOND_NS
from .lease_quorum import LeaseQuorum
from .maintenance_status import CoordinatorStatus
from .messages import MaintenanceMessage, PlanOffer, PlanPart, PlanPartRequest
from .plan import Group, Kind, MaintenancePlan, front_name
from .plan_exchange import REQUEST_INTERVAL_SHARE, PlanExchange
from .quorum_messages import Append, AppendReply, QuorumMessage, TableEntry, Vote, VoteRequest
from .schedule import ScheduleDecision, decide
from .snapshot import FleetSnapshot, GrantedMachine, NodeObservation, UpstreamObservations
from .table_query import InquiryOutcome, TableInquiry, TableQuery, TableReply

MAINTENANCE_TASK = b"work"
MAX_LISTED_WAITING = 12  # the most waiting machines that a status contains


@lru_cache(1 << 14)
def machine_key(name: str) -> int:
    """Return the 32-bit hash that stands for a machine's name in messages between fronts."""
    return name_hash(name.encode())


class MaintenanceCoordinator:
    """Maintenance state and messages of the front `own_number`, with the fleet's `membership`.

    This front started at `started_ms`, in Unix milliseconds. The maintenance lease lasts `lease` ns. The
    warm-up of a front after its start lasts `warm_up_ms` ms. `now` is the current monotonic time, ns.
    """

    def __init__(
        self, own_number: int, membership: Membership, started_ms: int, lease: int, warm_up_ms: int, now: int
    ) -> None:
        self.own_number = own_number
        self.membership = membership
        self.started_ms = started_ms
        self.lease = lease
        self.warm_up_ms = warm_up_ms
        self.key = machine_key(front_name(own_number))
        self.plan_exchange = PlanExchange(own_number, lease, started_ms, now)
        self.quorum = LeaseQuorum(own_number, len(membership.members), lease, now)
        self._map_member_numbers()
        self.inquiry = TableInquiry(own_number, lease, now)
        self.preferred: int | None = None  # the preferred leader, as last computed
        self.preferred_at = now - lease
        self.finished_plan_ms = 0  # `created_ms` of the last finished plan; 0: none
        self.decision = ScheduleDecision()
        # Latest process start, in Unix ms, for which a majority granted each machine, by machine key, if
        # this front received the grant. The entry is kept when the machine returns with a later start.
        self.granted_starts_ms: dict[int, int] = {}

    @property
    def plan(self) -> MaintenancePlan | None:
        """The plan in force."""
        return self.plan_exchange.plan

    def adopt(self, plan: MaintenancePlan, plan_bytes: bytes, now: int) -> bool:
        """Put a plan in force; return false if it is rejected. See `PlanExchange.adopt`."""
        return self.plan_exchange.adopt(plan, plan_bytes, now)

    def preferred_leader(self, now: int) -> int | None:
        """Return the healthy voter that `preferred_holder` selects, in service if there is one."""
        if now - self.preferred_at >= self.lease * REQUEST_INTERVAL_SHARE:
            self.preferred_at = now
            voters = [number for number in self.membership.healthy() if number in self.quorum.member.voters]
            in_service = [
                number for number in voters if machine_key(front_name(number)) not in self.quorum.table.grants
            ]
            self.preferred = preferred_holder(MAINTENANCE_TASK, in_service or voters)
        return self.preferred

    def tick(
        self, now: int, observe: Callable[[], UpstreamObservations]
    ) -> list[Outgoing[MaintenanceMessage]]:
        """Run the timers; return due messages. `observe` is called only while this front holds the lease."""
        member = self.quorum.member
        if len(self.membership.members) != member.member_count:
            self.quorum.resize(len(self.membership.members), now)
            self._map_member_numbers()
        outgoing: list[Outgoing[MaintenanceMessage]] = [*self.inquiry.tick(now, member.member_count)]
        is_pending = self._is_maintenance_pending()
        if not (is_pending or member.is_leader or self.plan_exchange.transfer):
            return outgoing  # only the table inquiry runs
        has_current_leader = (
            member.leader in self.membership.members and now - member.last_contact_at < self.lease
        )
        preferred = self.preferred_leader(now)
        wants_leadership = is_pending and preferred == self.own_number and not self.membership.is_leaving
        outgoing += self.quorum.tick(wants_leadership, now)
        if member.holds_lease(now):
            version = self.quorum.table.version
            self.inquiry.informed_by_leader = True  # the leader itself has the latest table
            self._apply_schedule(now, observe())
            if self.quorum.table.version != version:
                outgoing += self.quorum.tick(True, now)
        outgoing += self._offer_plan(
            outgoing, member.leader if has_current_leader else preferred, is_pending, now
        )
        outgoing += self.plan_exchange.request_missing(now)
        self._record_grants()
        return outgoing

    def snapshot(self, now: int, observation: UpstreamObservations) -> FleetSnapshot:
        """Return the state of all listed machines, with their grants in the table, committed or not."""
        unix_ms = self.plan_exchange.unix_ms(now)
        observations: dict[str, NodeObservation] = {}
        groups: dict[str, Group] = {}
        for name, upstream in observation.upstreams.items():
            observations[name] = upstream.node
            groups[name] = upstream.group
        zones = {machine.name: machine.zone for machine in self.plan.machines} if self.plan else {}
        for number, member in self.membership.members.items():
            name = front_name(number)
            observations[name] = NodeObservation(
                member.started_ms,
                up=member.status.is_alive and member.started_ms > 0,
                warm=unix_ms - member.started_ms >= self.warm_up_ms,
            )
            groups[name] = Group(Kind.FRONT, zones.get(name, ""))
        names = {machine_key(name): name for name in observations}
        grants = {
            names[key]: GrantedMachine(unix_ms - (now - grant.granted_at) // MILLISECOND_NS, grant.started_ms)
            for key, grant in self.quorum.table.grants.items()
            if key in names
        }
        return FleetSnapshot(unix_ms, observations, groups, grants, observation.load, observation.adjacent)

    def inquiry_outcome(self, now: int) -> InquiryOutcome:
        """Return the outcome of the table inquiry that this front began at its start."""
        return self.inquiry.outcome(now, self.quorum.member.member_count)

    def is_informed(self, now: int) -> bool:
        """Return whether the inquiry obtained the latest table, or showed that no member has one."""
        return self.inquiry_outcome(now).is_informed

    def is_granted(self, now: int) -> bool:
        """Return whether this front has a recently confirmed grant to be out of service."""
        return self.quorum.table.may_stay_out(self.key, self.started_ms, now)

    def receive(
        self, sender: int, message: MaintenanceMessage, now: int
    ) -> list[Outgoing[MaintenanceMessage]]:
        """Process a member's message and return the answers."""
        match message:
            case VoteRequest() | Vote() | Append() | AppendReply():
                return [*self._receive_quorum_message(sender, message, now)]
            case TableQuery():
                return self._answer_query(sender, now)
            case TableReply():
                self._receive_table(sender, message)
                return []
            case PlanOffer():
                member = self.quorum.member
                return self.plan_exchange.receive_offer(sender, message, member.is_leader, member.voters, now)
            case PlanPartRequest():
                return self.plan_exchange.receive_request(sender, message)
            case PlanPart():
                return self.plan_exchange.receive_part(message, now)

    def _answer_query(self, sender: int, now: int) -> list[Outgoing[MaintenanceMessage]]:
        """Answer a query with the table if this front is informed, else query the sender."""
        queries = self.inquiry.receive_query(sender, now, self.quorum.member.member_count)
        if not self.is_informed(now):
            # After the inquiry's time-out this front serves without having received the table. An empty
            # reply would then state that no machine is out of service.
            return [*queries]
        return [Outgoing(sender, TableReply(self._granted_entries(now)))]

    def _receive_quorum_message(
        self, sender: int, message: QuorumMessage, now: int
    ) -> list[Outgoing[QuorumMessage]]:
        answers = self.quorum.receive(sender, message, now)
        table = self.quorum.table
        has_table = bool(table.table_version.term and table.committed)
        if isinstance(message, Append) and has_table:
            self.inquiry.informed_by_leader = True
        self._record_grants()
        return answers

    def status(self) -> CoordinatorStatus:
        """Return the status for the log."""
        plan, decision, member = self.plan, self.decision, self.quorum.member
        names = {machine.key: machine.name for machine in plan.machines} if plan else {}
        waiting = dict(list(decision.waiting.items())[:MAX_LISTED_WAITING])
        halted = {kind.name.lower(): reason for kind, reason in decision.halted.items()}
        return {
            "plan_created_ms": plan.created_ms if plan else 0,
            "is_finished": bool(plan and self.finished_plan_ms >= plan.created_ms),
            "term": member.term,
            "leader": member.leader,
            "is_leader": member.is_leader,
            "is_voter": self.own_number in member.voters,
            "out_of_service": sorted(
                names.get(key, f"{key:08x}") for key in self.quorum.table.committed_grants()
            ),
            "completed": len(decision.completed),
            "waiting": waiting if member.is_leader else {},
            "halted": halted if member.is_leader else {},
        }

    def _map_member_numbers(self) -> None:
        self.quorum.table.member_numbers = {
            machine_key(front_name(number)): number for number in self.membership.members
        }

    def _is_maintenance_pending(self) -> bool:
        is_unfinished = self.plan is not None and self.finished_plan_ms < self.plan.created_ms
        return bool(self.quorum.table.grants) or is_unfinished

    def _offer_plan(
        self, sent: list[Outgoing[MaintenanceMessage]], leader: int | None, is_pending: bool, now: int
    ) -> list[Outgoing[MaintenanceMessage]]:
        """Offer the plan in force: the leader to members in the receivers of `sent`, others to the leader."""
        if self.plan and self.quorum.member.is_leader:
            reached = {item.to for item in sent if isinstance(item.message, Append)}
            return self.plan_exchange.offer_to_members(
                reached, self.quorum.leader_role.required_members(), now
            )
        if self.plan and is_pending:
            return self.plan_exchange.offer_to_leader(leader, now)
        return []

    def _apply_schedule(self, now: int, observation: UpstreamObservations) -> None:
        """As the leader, remove, revoke and grant; step down once the plan and the table are finished."""
        leader, table = self.quorum.leader_role, self.quorum.table
        snapshot = self.snapshot(now, observation)
        self._remove_returned(now, snapshot)
        if self.plan is None:
            return
        self.decision = decide(self.plan, snapshot)
        for name in self.decision.recalled:
            leader.revoke(machine_key(name), now)
        for name in self.decision.granted:
            leader.grant(machine_key(name), snapshot.observations[name].started_ms, now)
        if self.decision.is_finished and not table.grants and table.committed == table.version:
            self.finished_plan_ms = self.plan.created_ms
            leader.step_down()

    def _remove_returned(self, now: int, snapshot: FleetSnapshot) -> None:
        """Remove machines that returned, or are no longer listed, from the table and the snapshot."""
        leader = self.quorum.leader_role
        listed = {machine_key(name) for name in snapshot.grants}
        for key in set(self.quorum.table.grants) - listed:
            leader.remove(key, now)
        if not snapshot.grants:
            return
        numbers = {front_name(number): number for number in self.membership.members}
        for name, grant in list(snapshot.grants.items()):
            key = machine_key(name)
            is_back = name in numbers and leader.revocation_is_acknowledged(key, numbers[name], now)
            if is_back or snapshot.observations[name].started_ms > grant.started_ms:
                leader.remove(key, now)
                del snapshot.grants[name]

    def _record_grants(self) -> None:
        for key, grant in self.quorum.table.committed_grants().items():
            self._record_grant(key, grant.started_ms)

    def _record_grant(self, key: int, started_ms: int) -> None:
        """Record the latest process start for which a machine was granted."""
        self.granted_starts_ms[key] = max(started_ms, self.granted_starts_ms.get(key, 0))

    def _granted_entries(self, now: int) -> tuple[TableEntry, ...]:
        """Return the table's entries of machines that a majority granted at any time, as recorded here."""
        # A committed grant stays in effect until the next leader has collected a majority's confirmations.
        return tuple(
            entry for entry in self.quorum.table.entries(now) if entry.machine in self.granted_starts_ms
        )

    def _receive_table(self, sender: int, reply: TableReply) -> None:
        self.inquiry.answered.add(sender)
        for entry in reply.entries:
            self._record_grant(entry.machine, entry.started_ms)
