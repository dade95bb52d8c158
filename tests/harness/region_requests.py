"""Client requests to two regions, and checks of their responses."""

from __future__ import annotations

import gevent

from marbleglade.testing.client import Client, ClientResponse
from marbleglade.testing.object_store import group_of, version_of
from marbleglade.testing.tcp_proxy import ProxyMode, TcpProxy
from tests.harness.regions import TwoRegions

# Parts of object ids: the highest bits select the region that stores the object, the lowest bits its kind.
WEST, EAST = 0xF << 60, 0
PAGE, VIDEO = 0, 3
KIND_BITS = 3
LARGE = 0xFFFF << 16
LARGE_WEST_VIDEO = WEST | LARGE | VIDEO

WEST_GATEWAYS = ("west-1", "west-2")
LONG_TIMEOUT_MS = 2900
GET_SECONDS = 4


def west_pages(count: int) -> list[int]:
    """Object ids of pages that region west stores."""
    return [WEST | number << 32 | 4 for number in range(1, count + 1)]


def request_object(
    client: Client, object_id: int, class_name: str = "", timeout_ms: int = 1500
) -> ClientResponse | None:
    """Requests an object and waits for the response; the default request class is that of its kind."""
    is_video = object_id & KIND_BITS == VIDEO
    class_name = class_name or ("dish-media" if is_video else "menu-pages")
    return client.request(class_name, object_id, group=group_of(object_id), timeout_ms=timeout_ms)


def start_request(client: Client, object_id: int) -> gevent.Greenlet:
    """Requests an object with a long timeout; the value of the greenlet is the response."""
    return gevent.spawn(request_object, client, object_id, timeout_ms=LONG_TIMEOUT_MS)


def start_order(client: Client, number: int, class_name: str = "orders") -> gevent.Greenlet:
    """Sends a request whose effect region west counts under the name `effect_of(number)`."""
    return gevent.spawn(client.request, class_name, WEST | number << 8, 0, 1, 2400, effect_of(number))


def effect_of(number: int) -> bytes:
    """The name under which stand-in caches count the effect of an order."""
    return b"order %d" % number


def served_version(response: ClientResponse | None, object_id: int) -> int:
    """The version of the object in a response; asserts that the response is served and intact."""
    assert response is not None and response.status == "ok", response
    version = version_of(response.body, object_id, 0)
    assert version is not None
    return version


def requested_version(client: Client, object_id: int) -> int:
    """Requests an object, and returns the version that is served."""
    return served_version(request_object(client, object_id), object_id)


def version_after_retries(client: Client, object_id: int, max_requests: int = 40) -> int:
    """Requests an object until it is served, and returns its version."""
    response = None
    for _ in range(max_requests):
        response = request_object(client, object_id)
        if response and response.status == "ok":
            return served_version(response, object_id)
        gevent.sleep(0.02)
    raise AssertionError(response)


def west_proxies(regions: TwoRegions) -> list[TcpProxy]:
    """The proxies in front of the gateways of region west."""
    return [regions.west.proxies[name] for name in WEST_GATEWAYS]


def set_west_fault(regions: TwoRegions, mode: ProxyMode = "pass", **limits: int) -> None:
    """Sets a fault, or a limit in bytes per second, on all links to region west; the default is no fault."""
    for proxy in west_proxies(regions):
        proxy.set_fault(mode, **limits)


def reset_west_links(regions: TwoRegions) -> None:
    """Resets all connections to the gateways of region west."""
    for proxy in west_proxies(regions):
        proxy.reset()


def reset_west_links_after(regions: TwoRegions, size: int) -> None:
    """Resets each link to region west after `size` more bytes from there have passed it."""
    for proxy in west_proxies(regions):
        proxy.reset_after_bytes = proxy.bytes_passed["down"] + size
