"""Creates the components that process a request, from the client listener to the upstream client."""

from __future__ import annotations

from ..discovery_events import DiscoveryCallbacks
from ..model.request import Request
from ..policy.policy import Policy
from ..policy_driver import PolicyDriver
from ..request_handler import HandlerComponents, RequestHandler
from ..runtime import clock
from ..state.body_budget import BodyBudget
from ..state.local_cache import LocalCache
from ..state.purge_history import PurgeHistory, purge_retention
from ..state.upstream_registry import UpstreamRegistry
from ..transport.client_listener import ClientListener
from ..transport.client_registry import ClientLimits
from ..transport.connection_pool import PoolLimits
from ..transport.upstream_client import UpstreamClient
from .components import ProcessComponents, RequestPath
from .late_components import LateComponents
from .startup_configuration import StartupConfiguration

# Divisors of the process's limits. Of the memory, a sixth is for response bodies, of which up to three copies
# exist while they are forwarded, a sixth is for the local cache and a twelfth for requests. A third of the
# descriptors is for clients and half for connections to caches. The rest is for the process and a margin.
BODIES_DIVISOR = 6
LOCAL_CACHE_DIVISOR = 6
REQUESTS_DIVISOR = 12
CLIENTS_DIVISOR = 3
CACHE_CONNECTIONS_DIVISOR = 2


def build_request_path(
    configuration: StartupConfiguration, process: ProcessComponents, late: LateComponents
) -> RequestPath:
    """Create the request path of one front.

    Args:
        configuration: The configuration with which the front is started.
        process: Objects that all components share.
        late: Forwards calls to components that are created later.
    """
    parameters = configuration.environment.parameters
    driver = _build_driver(configuration, process)
    upstreams = UpstreamRegistry(configuration.environment, clock.from_unix_ms)
    purge_history = PurgeHistory(purge_retention(parameters))
    upstream_client = _build_upstream_client(configuration, process, upstreams, purge_history, late)
    parts = HandlerComponents(
        driver,
        upstream_client,
        upstreams,
        purge_history,
        LocalCache(configuration.memory_bytes // LOCAL_CACHE_DIVISOR),
        configuration.flow_bytes_per_s,
        process.guard,
    )
    handler = RequestHandler(
        parts, late.rejects_all, DiscoveryCallbacks(late.confirmed_at, late.publish, late.retract)
    )
    client_listener = _build_client_listener(configuration, process, handler, late)
    return RequestPath(driver, upstream_client, handler, client_listener)


def _build_driver(configuration: StartupConfiguration, process: ProcessComponents) -> PolicyDriver:
    environment = configuration.environment
    return PolicyDriver(
        environment.parameters,
        Policy,
        clock.now,
        environment.max_open_requests,
        process.guard.counters,
        lambda action: process.guard.log.info("policy", **action.log_fields()),
        process.loop.mean_delay,
    )


def _build_upstream_client(
    configuration: StartupConfiguration,
    process: ProcessComponents,
    upstreams: UpstreamRegistry,
    purge_history: PurgeHistory,
    late: LateComponents,
) -> UpstreamClient:
    environment = configuration.environment
    return UpstreamClient(
        upstreams.by_upstream,
        BodyBudget(configuration.memory_bytes // BODIES_DIVISOR),
        PoolLimits(
            configuration.max_descriptors // CACHE_CONNECTIONS_DIVISOR,
            environment.connect_timeout,
            environment.idle_timeout,
            environment.streams_per_connection,
        ),
        clock.now,
        process.guard,
        lambda request, since: purge_history.notified_since(request.object_id, request.group, since),
        late.apply_pending_events,
    )


def _build_client_listener(
    configuration: StartupConfiguration,
    process: ProcessComponents,
    handler: RequestHandler,
    late: LateComponents,
) -> ClientListener[Request]:
    def accepts_clients() -> bool:
        return not process.shutdown.requested_at and late.in_service()

    return ClientListener(
        handler,
        ClientLimits(
            max_connections=configuration.max_descriptors // CLIENTS_DIVISOR,
            max_buffered_bytes=configuration.memory_bytes // REQUESTS_DIVISOR,
            response_slack=configuration.environment.response_slack,
        ),
        accepts_clients,
        clock.now,
        process.guard,
        process.loop,
    )
