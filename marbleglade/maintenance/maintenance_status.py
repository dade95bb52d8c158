"""Status of maintenance at a front, as it is logged."""

from __future__ import annotations

from typing import TypedDict


class CoordinatorStatus(TypedDict):
    """Status of the plan in force, of the lease quorum, and of the leader's schedule.

    Attributes:
        plan_created_ms: When the plan was written, in Unix milliseconds; 0: no plan is in force.
        is_finished: This front, as the leader, has finished the plan in force.
        term: The latest term of the lease quorum that this front is in.
        leader: Number of the leader of that term; negative: none is known.
        out_of_service: Names of the machines that a majority granted, or their keys if the plan lacks them.
        completed: Number of machines of the plan that are completed.
        waiting: Why machines are not granted yet, by name; empty at members that don't lead.
        halted: Why no more machines of a kind are granted, by kind; empty at members that don't lead.
    """

    plan_created_ms: int
    is_finished: bool
    term: int
    leader: int
    is_leader: bool
    is_voter: bool
    out_of_service: list[str]
    completed: int
    waiting: dict[str, str]
    halted: dict[str, str]


class MaintenanceStatus(CoordinatorStatus):
    """Status of the coordinator, of this front's drain (`stage`), and of its table inquiry."""

    stage: str
    is_informed: bool
