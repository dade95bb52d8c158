"""The parameters of the policy, read from the settings."""

from __future__ import annotations

from dataclasses import dataclass

from .request import RequestClass


@dataclass(slots=True, eq=False)
class Parameters:
    """The configuration of one front's policy. Times are in nanoseconds; 0 means "not set".

    Attributes:
        request_classes: The request classes, in the order of the settings.
        seed: Seed of the random number generator.
        zone: Number of the front's own zone.
        fleet_size: Number of fronts in this zone.
        flow_kb_per_s: Throughput of one transfer, kB/s.
        clock_resolution: Resolution of the timers, ns.
        slow_start_share: Share of the key range that a cache gets right after its start, 0 to 1.
        slow_start_time: Time in which this share grows to the whole key range.
        overload_factor: Ratio of load to usual load above which a cache is overloaded.
        overload_window: Time over which load is averaged and warm-up budget accumulates.
        parent_slow_start_share: Like `slow_start_share`, for parents.
        parent_slow_start_time: Like `slow_start_time`, for parents.
        parent_overload_factor: Like `overload_factor`, for parents.
        origin_overload_factor: Ratio of load to capacity at which the origin fails; 0 if not known.
        purge_deadline: Time within which every cache applies a purge.
        max_attempts: Most attempts per request.
        max_retry_after: The longest Retry-After that clients comply with.
        can_cancel: Whether attempts in flight can be cancelled.
        sends_retry_after: Whether rejections contain a Retry-After.
        parents_serve_directly: Whether parents also respond to requests that bypass the caches.
        siblings_fill: Whether caches of the same zone may be fill sources.
        can_join_fills: Whether a request can wait for a fill that is already in progress.
        reports_cache_status: Whether responses report their source.
        must_poll_endpoints: Whether the front has to poll the endpoint list; otherwise changes are pushed.
        local_link_capacity: Number of transfers that fit on the front's own link at full throughput; 0
            without a local cache.
        load_probes_allowed: Whether upstreams report load only to probes, and probing is allowed.
    """

    request_classes: list[RequestClass]
    seed: int
    zone: int
    fleet_size: int
    flow_kb_per_s: float
    clock_resolution: int
    slow_start_share: float
    slow_start_time: int
    overload_factor: float
    overload_window: int
    parent_slow_start_share: float
    parent_slow_start_time: int
    parent_overload_factor: float
    origin_overload_factor: float
    purge_deadline: int
    max_attempts: int
    max_retry_after: int
    can_cancel: bool
    sends_retry_after: bool
    parents_serve_directly: bool
    siblings_fill: bool
    can_join_fills: bool
    reports_cache_status: bool
    must_poll_endpoints: bool
    local_link_capacity: float
    load_probes_allowed: bool
