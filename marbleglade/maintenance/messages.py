"""Messages between members of a fleet about maintenance plans."""

from __future__ import annotations

from dataclasses import dataclass

from .quorum_messages import QuorumMessage
from .table_query import TableQuery, TableReply

MAX_PLAN_PARTS = 64
PART_BYTES = 200


@dataclass(slots=True, frozen=True)
class PlanOffer:
    """Announcement of the plan in force at the sender.

    Attributes:
        created_ms: When the plan was written, in Unix milliseconds.
        digest: CRC-32 of the packed plan.
        size: Size of the packed plan, in bytes.
    """

    created_ms: int
    digest: int
    size: int


@dataclass(slots=True, frozen=True)
class PlanPartRequest:
    """Request for a part, by its index, of the plan with a digest."""

    digest: int
    part: int


@dataclass(slots=True, frozen=True)
class PlanPart:
    """A part, with its index, of the plan with a digest."""

    digest: int
    part: int
    data: bytes


MaintenanceMessage = QuorumMessage | PlanOffer | PlanPartRequest | PlanPart | TableQuery | TableReply
