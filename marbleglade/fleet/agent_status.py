"""The log fields that describe the state of a front's fleet agent."""

from __future__ import annotations

from typing import TypedDict


class LeadershipStatus(TypedDict):
    """The front that computes the load view; attributes as in `Leadership`."""

    term: int
    leader: int
    is_leader: bool


class FleetStatus(TypedDict):
    """The state of the fleet as observed by one front.

    Attributes:
        alive: Number of members that are alive.
        listed: Number of members in the list of peers.
        local_health: Lifeguard's local health multiplier, by which probe timeouts grow; 0 is the best value.
        not_alive: Numbers of members that are not alive, the lowest first, at most `agent.MAX_LISTED`.
        leadership: The front that computes the load view.
        reporting_fronts: Number of fronts whose reports the load view includes. This field and the next four
            are None while there is no view.
        view_age_ms: Milliseconds since the view was received.
        traffic_share: This front's part of the fleet's load; 1 is all of it.
        retry_budget_factor: Factor on this front's own retry budget.
        shed_ratio: Requests rejected by the fleet for each one admitted.
        window_ms: Milliseconds covered by the sums in a load report.
    """

    alive: int
    listed: int
    local_health: int
    not_alive: list[int]
    leadership: LeadershipStatus
    reporting_fronts: int | None
    view_age_ms: int | None
    traffic_share: float | None
    retry_budget_factor: float | None
    shed_ratio: float | None
    window_ms: int
