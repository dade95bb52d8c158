"""Creates the request handlers of a gateway: one for its own region and one for each other region."""

from __future__ import annotations

from collections.abc import Callable

from ..deployment.deployment_pb2 import Region
from ..deployment.environments import remote_environment, to_ns
from ..deployment.reader import LocalDeployment
from ..policy.policy import Policy
from ..policy_driver import PolicyDriver
from ..request_handler import HandlerComponents, RequestHandler
from ..runtime import clock
from ..settings.environment import Environment
from ..state.local_cache import LocalCache
from ..state.purge_history import PurgeHistory
from ..state.upstream_registry import UpstreamRegistry
from ..textproto import parse_address
from ..transport.attempt_sender import AttemptSender
from ..transport.connection_pool import PoolLimits
from ..transport.upstream_client import UpstreamClient
from .concurrency_limit import ConcurrencyLimit
from .link.links import LinkEnds, LinkSettings, RegionLinks, RegionState, SharedComponents
from .partial_bodies import PartialBodies
from .remote_region import RemoteRegion
from .requester import Requester

INITIAL_LIMIT_DIVISOR = 1 << 6  # a concurrency limit starts at its maximum divided by this
PURGE_RETENTION_FACTOR = 2  # purges are stored for this many times the purge deadline

# Divisors of the configured limits, the same as a front's. Of the memory, a sixth is for the local caches of
# all remote regions together and a twelfth for the partial bodies of each remote region. Of the descriptors,
# a quarter is for connections to upstreams.
LOCAL_CACHES_DIVISOR = 6
PARTIAL_BODIES_DIVISOR = 12
UPSTREAM_CONNECTIONS_DIVISOR = 4


class RegionWiring:
    """Creates the request handlers of all regions.

    Args:
        deployment: The deployment, and the gateway in it that the handlers belong to.
        start_ms: The start time of this gateway, Unix milliseconds.
        shared: The components that all handlers share.
    """

    def __init__(self, deployment: LocalDeployment, start_ms: int, shared: SharedComponents) -> None:
        self._deployment = deployment
        self._start_ms = start_ms
        self._shared = shared
        self._limits = deployment.configuration.limits
        self._link_configuration = deployment.configuration.link
        self._link_settings = LinkSettings(
            silence_timeout_ns=to_ns(self._link_configuration.silent_ms),
            drift_ppm=self._link_configuration.drift_ppm,
            peer_keeps_journal=self._link_configuration.book,
        )

    def local_region(
        self, environment: Environment, apply_pending_events: Callable[[], None]
    ) -> tuple[UpstreamClient, RequestHandler]:
        """Return the upstream client and the handler of this region.

        Args:
            environment: The settings of the region.
            apply_pending_events: Reads and applies the events of the discovery service that are still unread.
        """
        upstreams, purge_history = _make_state(environment)
        upstream_client = UpstreamClient(
            upstreams.by_upstream,
            self._shared.body_budget,
            PoolLimits(
                max_connections=self._limits.descriptors // UPSTREAM_CONNECTIONS_DIVISOR,
                connect_timeout=environment.connect_timeout,
                idle_timeout=environment.idle_timeout,
                max_streams=environment.streams_per_connection,
            ),
            clock.now,
            self._shared.guard,
            lambda request, since: purge_history.notified_since(request.object_id, request.group, since),
            apply_pending_events,
        )
        parts = self._make_parts(environment, upstream_client, upstreams, purge_history)
        return upstream_client, RequestHandler(parts)

    def remote_region(self, region: Region) -> tuple[Requester, RemoteRegion]:
        """Return the requester and the handler of another region."""
        environment = remote_environment(self._deployment, self._start_ms, region)
        upstreams, purge_history = _make_state(environment)
        requester = self._make_requester(region, upstreams, purge_history)
        cache_bytes = self._limits.memory // LOCAL_CACHES_DIVISOR // len(self._deployment.remote_regions)
        parts = self._make_parts(
            environment,
            requester,
            upstreams,
            purge_history,
            cache_bytes if self._limits.pace else 0,
            round(self._limits.pace),
        )
        silence_ratio = self._deployment.configuration.rules.heard_ratio
        max_silence_ns = round(self._link_settings.silence_timeout_ns * silence_ratio)
        return requester, RemoteRegion(parts, requester.region_links.purge_receiver, max_silence_ns)

    def _make_parts(
        self,
        environment: Environment,
        upstream_client: AttemptSender,
        upstreams: UpstreamRegistry,
        purge_history: PurgeHistory,
        cache_bytes: int = 0,
        bytes_per_second: int = 0,
    ) -> HandlerComponents:
        guard = self._shared.guard
        driver = PolicyDriver(
            environment.parameters,
            Policy,
            clock.now,
            environment.max_open_requests,
            guard.counters,
            lambda action: guard.log.info("policy", **action.log_fields()),
            self._shared.loop_monitor.mean_delay,
        )
        local_cache = LocalCache(cache_bytes)
        return HandlerComponents(
            driver, upstream_client, upstreams, purge_history, local_cache, bytes_per_second, guard
        )

    def _make_requester(
        self, region: Region, upstreams: UpstreamRegistry, purge_history: PurgeHistory
    ) -> Requester:
        deployment = self._deployment
        links = RegionLinks(
            LinkEnds(deployment.region.name, deployment.gateway.name, self._start_ms, region.name),
            [
                (gateway.name, parse_address(gateway.reached_at or gateway.links))
                for gateway in region.gateways
            ],
            self._link_settings,
            RegionState(
                upstreams,
                purge_history,
                PartialBodies(self._limits.memory // PARTIAL_BODIES_DIVISOR),
                self._make_concurrency_limit(),
            ),
            self._shared,
        )
        return Requester(links)

    def _make_concurrency_limit(self) -> ConcurrencyLimit:
        """Return a limit whose maximum is this gateway's share of a remote gateway's journal capacity.

        The maximum is at least `INITIAL_LIMIT_DIVISOR`, so that the initial limit is at least 1.
        """
        part = self._link_configuration.book_carries // len(self._deployment.region.gateways)
        max_limit = max(INITIAL_LIMIT_DIVISOR, part)
        shortest_objective = min(profile.agreed_ms for profile in self._deployment.configuration.profiles)
        return ConcurrencyLimit(max_limit, max_limit // INITIAL_LIMIT_DIVISOR, to_ns(shortest_objective))


def _make_state(environment: Environment) -> tuple[UpstreamRegistry, PurgeHistory]:
    retention = environment.parameters.purge_deadline * PURGE_RETENTION_FACTOR
    return UpstreamRegistry(environment, clock.from_unix_ms), PurgeHistory(retention)
