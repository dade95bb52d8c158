"""Two stand-in regions on loopback, each with an origin, caches, discovery and a TCP proxy for each gateway.

Tests and benchmarks start the gateways themselves, in their own process or in separate processes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import gevent

from .cache_server import StandInUpstream
from .capacity_model import WarmUpLimit
from .discovery_service import DiscoveryService
from .object_store import ObjectStore, RegionClock
from .sockets import LOOPBACK_HOST, address_text, free_port
from .tcp_proxy import ProxyMode, TcpProxy

REGION_NAMES = ("east", "west")
REQUEST_CLASSES = """
profiles { name: "dish-media" agreed_ms: 600 stretch: 2 client_timeout_ms: 3000 }
profiles { name: "menu-pages" agreed_ms: 300 stretch: 2 client_timeout_ms: 2500 fresh_ms: 5000 }
profiles { name: "orders" agreed_ms: 600 client_timeout_ms: 2500 repeat: EFFECTFUL }
profiles { name: "votes" agreed_ms: 600 client_timeout_ms: 2500 repeat: RECEIPTED window_ms: 5000 }
"""
ROUTES = 'routes { region: "west" prefix: "f" }\nroutes { region: "east" prefix: "0" }\n'
PAGE_FRESHNESS_MS = 5000
PURGE_DELAY_SECONDS = 4.0  # from a purge until caches drop older objects; must be below the rule `clear_ms`


class GatewayAddresses:
    """Addresses of one region's gateways, with a proxy in front of each gateway's port for links.

    Args:
        prefix: Prefix of the gateway names, which end in a number from 1.
        count: Number of gateways.

    Attributes:
        gateways: Names of the gateways.
        ports: Ports for clients, for the cache protocol and for links, by gateway name.
        proxies: Proxies to which other regions connect, by gateway name.
    """

    def __init__(self, prefix: str, count: int) -> None:
        self.gateways = [f"{prefix}-{number + 1}" for number in range(count)]
        self.ports = {name: [free_port() for _ in range(3)] for name in self.gateways}
        self.proxies = {name: TcpProxy((LOOPBACK_HOST, self.ports[name][2])) for name in self.gateways}

    def deployment_text(self) -> str:
        """Return the entries of a deployment file for these gateways."""
        return "".join(
            f' gateways {{ name: "{name}" clients: "{LOOPBACK_HOST}:{clients}" '
            f'places: "{LOOPBACK_HOST}:{caches}" links: "{LOOPBACK_HOST}:{links}" '
            f'reached_at: "{LOOPBACK_HOST}:{self.proxies[name].address[1]}" }}\n'
            for name, (clients, caches, links) in self.ports.items()
        )


class StandInRegion:
    """One region with upstreams and a discovery service.

    Args:
        name: Name of the region.
        top_bit: Top bit of the object ids that belong to the region.
        effects: Counter for executions of non-idempotent requests, shared with the other region.
        clock: Clock of the region.
        cache_count: Number of caches.
        warm_up: Load limit of a cache during slow start; None for no limit.
        gateway_count: Number of gateways.
    """

    def __init__(
        self,
        name: str,
        top_bit: int,
        effects: Counter[bytes],
        clock: RegionClock,
        cache_count: int = 2,
        warm_up: WarmUpLimit | None = None,
        gateway_count: int = 2,
    ) -> None:
        self.name, self.clock = name, clock
        self.object_store = ObjectStore(name, clock, lambda object_id: object_id >> 63 == top_bit)
        self.origin = StandInUpstream(f"{name}-store", self.object_store, effects=effects)
        self.caches = [
            StandInUpstream(f"{name}-hub{number}", clock=clock, warm_up=warm_up, effects=effects)
            for number in range(cache_count)
        ]
        for cache in self.caches:
            cache.sources = {one.id: one for one in (self.origin, *self.caches) if one is not cache}
            cache.non_idempotent_classes = {"orders", "votes"}
            cache.freshness_ms = {"menu-pages": PAGE_FRESHNESS_MS}
        self.discovery_service = DiscoveryService()
        self.announce_all()
        self.gateway_addresses = GatewayAddresses(name, gateway_count)
        self.gateways = self.gateway_addresses.gateways
        self.ports = self.gateway_addresses.ports
        self.proxies = self.gateway_addresses.proxies

    def deployment_text(self, gateway_addresses: GatewayAddresses | None = None) -> str:
        """Return the region's entry of a deployment file, with these gateways or else the region's own."""
        gateways = (gateway_addresses or self.gateway_addresses).deployment_text()
        discovery = address_text(self.discovery_service.address)
        return (
            f'regions {{ name: "{self.name}" coordinator: "{discovery}" '
            f'zone: "hubs" hub_kind: "hub" store_kind: "store"\n{gateways}}}\n'
        )

    def announce_all(self) -> None:
        """Publish the full list of upstreams."""
        upstreams = [*((cache, "hub") for cache in self.caches), (self.origin, "store")]
        self.discovery_service.announce(upstreams, full_list=True)

    def purge(self, object_id: int, group: int = 0) -> None:
        """Purge an object, or a group if `object_id` is 0; caches drop it after `PURGE_DELAY_SECONDS`."""
        purged_at_ms = self.object_store.purge(object_id, group)
        self.discovery_service.purge(object_id, group, purged_at_ms)
        for one in self.caches:
            gevent.spawn_later(PURGE_DELAY_SECONDS, one.cache.drop_purged, object_id, group, purged_at_ms)

    def restart_cache(self, cache: StandInUpstream) -> None:
        """Restart a cache with no content and announce its new start time."""
        cache.restart()
        self.discovery_service.announce([(cache, "hub")], started_ms=cache.started_ms())

    def close(self) -> None:
        """Stop all stand-ins of the region."""
        closers = [upstream.close for upstream in (self.origin, *self.caches)]
        closers += [self.discovery_service.close, *(proxy.close for proxy in self.proxies.values())]
        for close in closers:
            with suppress(OSError):
                close()


class StandInRegions:
    """Two regions and the text of the deployment file that links them.

    Args:
        extra_text: Additional entries of the deployment file.
        clocks: Clocks of the two regions; correct clocks by default.
        routed: Whether the deployment file has routes by object prefix.
        cache_count: Number of caches in each region.
        warm_up: Load limit of a cache during slow start; None for no limit.
        gateway_count: Number of gateways in each region.
    """

    def __init__(
        self,
        extra_text: str = "",
        clocks: tuple[RegionClock, RegionClock] | None = None,
        routed: bool = True,
        cache_count: int = 2,
        warm_up: WarmUpLimit | None = None,
        gateway_count: int = 2,
    ) -> None:
        self.effects: Counter[bytes] = Counter()
        clocks = clocks or (RegionClock(), RegionClock())
        self.east, self.west = (
            StandInRegion(name, top_bit, self.effects, clocks[top_bit], cache_count, warm_up, gateway_count)
            for top_bit, name in enumerate(REGION_NAMES)
        )
        self.extra_text = extra_text
        self.routes = ROUTES if routed else ""

    @property
    def both(self) -> tuple[StandInRegion, StandInRegion]:
        """Both regions: east, then west."""
        return self.east, self.west

    def deployment_text(self) -> str:
        """Return the text of the deployment file."""
        regions = self.east.deployment_text() + self.west.deployment_text()
        return regions + self.routes + REQUEST_CLASSES + self.extra_text

    def set_fault(self, mode: ProxyMode) -> None:
        """Set the fault mode of all proxies between the two regions."""
        self.for_each_proxy(lambda proxy: proxy.set_fault(mode))

    def for_each_proxy(self, action: Callable[[TcpProxy], None]) -> None:
        """Call `action` with each proxy of both regions."""
        for region in self.both:
            for proxy in region.proxies.values():
                action(proxy)

    def close(self) -> None:
        """Stop all stand-ins of both regions."""
        for region in self.both:
            region.close()
