"""Load and upstream observations of one front, and the aggregate over the fleet that it receives."""

from __future__ import annotations

from typing import NamedTuple

# The link numbers that fronts use when they exchange observations of links.
ORIGIN_FETCHES_LINK = 0  # the link to the origin, for objects that are probably in no cache
FILLS_LINK = 1  # the link for all other fills
FIRST_ZONE_LINK = 2  # plus the zone number: the links of all caches of that zone together


class LinkUsage(NamedTuple):
    """The transfers of one front on a link since the front started.

    Attributes:
        transfer_time: The total time that the transfers need at full throughput, ns.
        duration: The total time that the transfers took, ns.
    """

    transfer_time: int
    duration: int


class LinkSlowdown(NamedTuple):
    """How slow a link was recently, over all fronts.

    Attributes:
        slowdown: The ratio of the time that transfers took to the time at full throughput; at least 1.
        transfer_time: The time that those transfers need at full throughput, as weight of the evidence, ns.
    """

    slowdown: float
    transfer_time: int


class LoadObservations(NamedTuple):
    """The observations of one front's policy; all counts are cumulative.

    Attributes:
        requested_work: Total transfer time of all requests, ns.
        first_requests: Number of requests without the retries of clients.
        retry_cost: Total cost of all retries in tokens; a cheap retry costs less than 1.
        rejected: Number of rejected requests.
        links: The transfers on each link, by link number (`ORIGIN_FETCHES_LINK` and the other constants).
        open_circuits: The `name_hash` of each upstream whose circuit is open.
        recovered: The `name_hash` of each upstream whose half-open probe succeeded.
    """

    requested_work: int
    first_requests: int
    retry_cost: int
    rejected: int
    links: dict[int, LinkUsage]
    open_circuits: list[int]
    recovered: list[int]


class FleetView(NamedTuple):
    """The aggregated observations of all fronts, as this front last received them.

    It can change the decisions of this front only within bounds. In particular, it never closes a circuit
    that this front has opened.

    Attributes:
        valid_until: The expiry time of the view, ns; after it, only the front's own observations count.
        traffic_share: This front's share of the fleet's load, 0 to 1.
        retry_budget_factor: Factor on the front's own retry budget.
        link_slowdowns: The recent slowdown of each link, by link number.
        suspected: The number of fronts that have ejected an upstream, by its `name_hash`.
        assigned_probes: The `name_hash` of each suspected upstream that this front has to probe.
        recovered: The `name_hash` of each upstream whose half-open probe succeeded at any front.
        is_load_prober: True if this front probes the load of its zone for all fronts of the zone.
        retry_burst_factor: Factor on the burst of the retry budget.
        shed_ratio: The recent ratio of rejected requests to other requests.
    """

    valid_until: int
    traffic_share: float
    retry_budget_factor: float
    link_slowdowns: dict[int, LinkSlowdown]
    suspected: dict[int, int]
    assigned_probes: frozenset[int]
    recovered: frozenset[int]
    is_load_prober: bool
    retry_burst_factor: float = 1.0
    shed_ratio: float = 0.0
