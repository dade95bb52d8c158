"""Derives the environments of the policy and the transport from a deployment, for each kind of region."""

from __future__ import annotations

import zlib

from ..model.parameters import Parameters
from ..model.request import Idempotency, RequestClass
from ..runtime.units import MILLISECOND_NS
from ..settings.environment import NO_KIND, Environment
from .deployment_pb2 import Deployment, Region
from .names import REMOTE_KIND
from .reader import LocalDeployment

CLOCK_RESOLUTION_NS = 2 * MILLISECOND_NS
BYTES_PER_KB = 1000
STREAMS_PER_CONNECTION = 100  # open requests per connection to an upstream
ORIGIN_KIND_INDEX = 1  # in the kinds of the local region
# Indexed by the values of the schema's enum `Repeat`.
IDEMPOTENCY_BY_REPEAT = (Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT_BY_KEY, Idempotency.NON_IDEMPOTENT)


def local_environment(local: LocalDeployment, start_ms: int) -> Environment:
    """Return the environment of the local region.

    Upstreams of the region's `hub_kind` are the caches, those of its `store_kind` are the origin.

    Args:
        local: The deployment.
        start_ms: When this process started, Unix milliseconds; seeds the policy's random sequence.
    """
    region = local.region
    parameters = _parameters(local, start_ms, local_link_capacity=0.0)
    return _environment(local, parameters, [region.hub_kind, region.store_kind], region.zone)


def remote_environment(local: LocalDeployment, start_ms: int, region: Region) -> Environment:
    """Return the environment of a remote region.

    The gateways of the region are the caches. They have no fill source.

    Args:
        local: The deployment.
        start_ms: When this process started, Unix milliseconds; seeds the policy's random sequence.
        region: The remote region.
    """
    seed = start_ms ^ zlib.crc32(region.name.encode())
    parameters = _parameters(local, seed, local.configuration.limits.width)
    parameters.siblings_fill = False
    return _environment(local, parameters, [REMOTE_KIND], REMOTE_KIND)


def _request_classes(configuration: Deployment) -> dict[str, RequestClass]:
    return {
        profile.name: RequestClass(
            latency_objective=to_ns(profile.agreed_ms),
            objective_stretch=profile.stretch,
            client_timeout=to_ns(profile.client_timeout_ms),
            idempotency=IDEMPOTENCY_BY_REPEAT[profile.repeat],
            deduplication_window=to_ns(profile.window_ms),
            freshness_lifetime=to_ns(profile.fresh_ms),
            stale_grace=to_ns(profile.grace_ms),
        )
        for profile in configuration.profiles
    }


def _parameters(local: LocalDeployment, seed: int, local_link_capacity: float) -> Parameters:
    limits, rules = local.configuration.limits, local.configuration.rules
    return Parameters(
        request_classes=list(_request_classes(local.configuration).values()),
        seed=seed,
        zone=0,
        fleet_size=len(local.region.gateways),
        flow_kb_per_s=limits.pace / BYTES_PER_KB,
        clock_resolution=CLOCK_RESOLUTION_NS,
        slow_start_share=rules.cold_share,
        slow_start_time=to_ns(rules.cold_ms),
        overload_factor=rules.cold_factor,
        overload_window=to_ns(rules.fall_ms),
        parent_slow_start_share=rules.cold_share,
        parent_slow_start_time=to_ns(rules.cold_ms),
        parent_overload_factor=rules.cold_factor,
        origin_overload_factor=0.0,
        purge_deadline=to_ns(rules.clear_ms),
        max_attempts=limits.most_launches,
        max_retry_after=to_ns(limits.longest_pause_ms),
        can_cancel=True,
        sends_retry_after=limits.longest_pause_ms > 0,
        parents_serve_directly=False,
        siblings_fill=True,
        can_join_fills=True,
        reports_cache_status=False,
        must_poll_endpoints=False,
        local_link_capacity=local_link_capacity,
        load_probes_allowed=False,
    )


def _environment(local: LocalDeployment, parameters: Parameters, kinds: list[str], zone: str) -> Environment:
    limits = local.configuration.limits
    names = [profile.name for profile in local.configuration.profiles]
    return Environment(
        parameters=parameters,
        request_classes=dict(zip(names, parameters.request_classes, strict=True)),
        parent_kind=NO_KIND,
        origin_kind=ORIGIN_KIND_INDEX,
        kinds=kinds,
        zones=[zone],
        connect_timeout=to_ns(limits.connect_ms),
        idle_timeout=to_ns(limits.idle_ms),
        streams_per_connection=STREAMS_PER_CONNECTION,
        max_open_requests=limits.most_open,
        response_slack=0,
        peer_messages=False,
    )


def to_ns(milliseconds: float) -> int:
    """Convert milliseconds, the unit of the deployment file, to nanoseconds."""
    return round(milliseconds * MILLISECOND_NS)
