"""Exchange of the plan in force between members, by offers, requests for its parts, and the parts.

Free of I/O, clocks and randomness; times are nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..fleet.gossip_messages import Outgoing
from ..runtime.errors import InvalidConfigurationError
from ..runtime.units import MILLISECOND_NS
from .messages import (
    MAX_PLAN_PARTS,
    PART_BYTES,
    MaintenanceMessage,
    PlanOffer,
    PlanPart,
    PlanPartRequest,
)
from .plan import MaintenancePlan
from .plan_file import unpack_plan
from .quorum_member import RENEWAL_SHARE

MAX_CREATED_AHEAD_MS = 60_000  # a plan that was written further ahead of this front's clock is rejected
REQUEST_INTERVAL_SHARE = 1 / 24  # of a lease, between two requests for missing parts
PARTS_PER_REQUEST = 8
NO_MEMBER = -1


@dataclass(slots=True)
class Transfer:
    """Transfer of an offered plan from another member, with the parts received so far."""

    offer: PlanOffer
    sender: int
    parts: dict[int, bytes] = field(default_factory=dict)

    @property
    def part_count(self) -> int:
        """Number of parts of the plan."""
        return -(-self.offer.size // PART_BYTES)

    def missing_parts(self) -> list[int]:
        """Return the indices of the parts that have not arrived."""
        return [part for part in range(self.part_count) if part not in self.parts]

    def accepts(self, part: PlanPart) -> bool:
        """Return whether a part belongs to the offered plan and has the expected size."""
        if part.digest != self.offer.digest or part.part >= self.part_count:
            return False
        return len(part.data) == min(PART_BYTES, self.offer.size - part.part * PART_BYTES)

    def assemble(self) -> bytes:
        """Return the packed plan, joined from its parts. All must have arrived."""
        return b"".join(self.parts[part] for part in range(self.part_count))


class PlanExchange:
    """The plan in force at this front, and its transfer from and to other members.

    Args:
        own_number: The number of this front.
        lease: Duration of the maintenance lease, ns; all intervals are shares of it.
        started_ms: When this front started, in Unix milliseconds.
        now: The current time.
    """

    def __init__(self, own_number: int, lease: int, started_ms: int, now: int) -> None:
        self.own_number = own_number
        self.lease = lease
        self.started_ms = started_ms
        self.started_at = now
        self.plan: MaintenancePlan | None = None
        self.plan_bytes = b""
        self.digest = 0
        self.transfer: Transfer | None = None
        self.requested_at = now - lease
        self.offered_at = now - lease  # when this front last offered the plan to the leader
        self.round_started_at = now - lease  # when the leader began its current round of offers
        self.offered_to: set[int] = set()  # members that received an offer in this round
        self.member_with_same_plan = NO_MEMBER  # the last member that offered the plan in force
        self.rejected_digest = 0  # digest of an invalid plan, which is not requested again

    def unix_ms(self, now: int) -> int:
        """Convert a time of the monotonic clock to Unix milliseconds."""
        return self.started_ms + (now - self.started_at) // MILLISECOND_NS

    def adopt(self, plan: MaintenancePlan, plan_bytes: bytes, now: int) -> bool:
        """Put a plan in force; false if it is no later than the one in force, or created too far ahead.

        The result does not tell these two cases apart, and nothing is logged. A plan from another member that
        is invalid or not put in force leaves no trace but `rejected_digest`; the status shows the plan in
        force.
        """
        digest = zlib.crc32(plan_bytes)
        if self._is_too_far_ahead(plan.created_ms, now) or not self.supersedes_plan(plan.created_ms, digest):
            return False
        self.plan = plan
        self.plan_bytes = plan_bytes
        self.digest = digest
        self.transfer = None
        self.offered_at = self.round_started_at = now - self.lease
        self.member_with_same_plan = NO_MEMBER
        return True

    def supersedes_plan(self, created_ms: int, digest: int) -> bool:
        """Return whether a plan replaces the one in force; all members decide alike."""
        if self.plan is None:
            return (created_ms, digest) > (0, 0)
        return (created_ms, digest) > (self.plan.created_ms, self.digest)

    def offer(self) -> PlanOffer:
        """Return the offer of the plan in force. There must be one."""
        created_ms = self.plan.created_ms if self.plan else 0
        return PlanOffer(created_ms, self.digest, len(self.plan_bytes))

    def offer_to_members(
        self, reached: set[int], required: set[int], now: int
    ) -> list[Outgoing[MaintenanceMessage]]:
        """As the leader, offer the plan to required members: at once, then again once per lease.

        Args:
            reached: Members to which the leader sends an append now.
            required: Members that need the plan.
            now: The current time.
        """
        if now - self.round_started_at >= self.lease:  # a member that restarted lacks the plan again
            self.round_started_at = now
            self.offered_to = set()
        receivers = reached & required - self.offered_to
        self.offered_to |= receivers
        return [Outgoing(receiver, self.offer()) for receiver in sorted(receivers)]

    def offer_to_leader(self, leader: int | None, now: int) -> list[Outgoing[MaintenanceMessage]]:
        """Offer the plan to the leader, unless it is known to have the same plan."""
        if now - self.offered_at < self.lease * RENEWAL_SHARE:
            return []
        if leader is None or leader in (self.own_number, self.member_with_same_plan):
            return []
        self.offered_at = now
        return [Outgoing(leader, self.offer())]

    def receive_offer(
        self, sender: int, offer: PlanOffer, is_leader: bool, voters: Iterable[int], now: int
    ) -> list[Outgoing[MaintenanceMessage]]:
        """Process another member's offer.

        Args:
            sender: Number of the other member.
            offer: The offer.
            is_leader: This front is the leader.
            voters: Numbers of the members that vote.
            now: The current time.
        """
        if self.plan and (offer.created_ms, offer.digest) == (self.plan.created_ms, self.digest):
            self.member_with_same_plan = sender
            # Voters get the leader's offers anyway; any other member repeats its offer until it is answered.
            return [Outgoing(sender, self.offer())] if is_leader and sender not in voters else []
        if not self.supersedes_plan(offer.created_ms, offer.digest):
            return [Outgoing(sender, self.offer())] if is_leader else []
        if self._is_acceptable(offer, now):
            self._begin_transfer(sender, offer)
        return self.request_missing(now)

    def receive_request(self, sender: int, request: PlanPartRequest) -> list[Outgoing[MaintenanceMessage]]:
        """Answer another member's request for a part of the plan in force."""
        begin = request.part * PART_BYTES
        data = self.plan_bytes[begin : begin + PART_BYTES] if request.digest == self.digest else b""
        return [Outgoing(sender, PlanPart(self.digest, request.part, data))] if data else []

    def receive_part(self, part: PlanPart, now: int) -> list[Outgoing[MaintenanceMessage]]:
        """Store a part, put the plan in force once it is complete, and request missing parts."""
        transfer = self.transfer
        if transfer and transfer.accepts(part):
            transfer.parts[part.part] = part.data
            if len(transfer.parts) % PARTS_PER_REQUEST == 0:
                self.requested_at = now - self.lease  # the next request is due at once
            if not transfer.missing_parts():
                self.transfer = None
                self._adopt_transferred(transfer, now)
        return self.request_missing(now)

    def request_missing(self, now: int) -> list[Outgoing[MaintenanceMessage]]:
        """Return requests for the next few missing parts, if they are due."""
        if self.transfer is None or now - self.requested_at < self.lease * REQUEST_INTERVAL_SHARE:
            return []
        self.requested_at = now
        digest, sender = self.transfer.offer.digest, self.transfer.sender
        parts = self.transfer.missing_parts()[:PARTS_PER_REQUEST]
        return [Outgoing(sender, PlanPartRequest(digest, part)) for part in parts]

    def _is_too_far_ahead(self, created_ms: int, now: int) -> bool:
        return created_ms > self.unix_ms(now) + MAX_CREATED_AHEAD_MS

    def _is_acceptable(self, offer: PlanOffer, now: int) -> bool:
        """Return whether to transfer an offered plan, which must not be older than one in transfer."""
        is_possible = (
            0 < offer.size <= MAX_PLAN_PARTS * PART_BYTES
            and not self._is_too_far_ahead(offer.created_ms, now)
            and offer.digest != self.rejected_digest
        )
        if not is_possible or self.transfer is None:
            return is_possible
        current = self.transfer.offer
        return (current.created_ms, current.digest) <= (offer.created_ms, offer.digest)

    def _begin_transfer(self, sender: int, offer: PlanOffer) -> None:
        """Begin a transfer from a sender, with the parts of the same plan that already arrived."""
        current = self.transfer
        parts = current.parts if current is not None and current.offer == offer else {}
        self.transfer = Transfer(offer, sender, parts)

    def _adopt_transferred(self, transfer: Transfer, now: int) -> None:
        plan_bytes = transfer.assemble()
        offer = transfer.offer
        try:
            plan = unpack_plan(plan_bytes)
        except InvalidConfigurationError:
            self.rejected_digest = offer.digest
            return
        if zlib.crc32(plan_bytes) != offer.digest or plan.created_ms != offer.created_ms:
            self.rejected_digest = offer.digest
            return
        self.adopt(plan, plan_bytes, now)
