"""Requests of the clients: objects of both regions by popularity, and orders that must take effect once."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import gevent

from benchmarks.request_results import RequestResults
from benchmarks.request_stream import PickObject, RequestStream
from marbleglade.testing.object_store import VIDEO_BITS, hashed_fraction

from .world import World

OBJECTS = 240  # objects in each region
ROUTED_OF_TEN = 7  # of every ten objects, the number that has a route in the deployment
PREFIXES = {  # by (is_west, is_routed)
    (True, True): 0xF,
    (True, False): 0x8,
    (False, True): 0x0,
    (False, False): 0x7,
}
VIDEO_EVERY, VIDEO_RANK = 7, 2  # an object is a video if its rank modulo 7 is 2
ORDER_INTERVAL_S, ORDER_TIMEOUT_MS = 0.06, 2000
UNKNOWN = "?"  # status of an order that got no response
VARIANTS = ("gateway", "no journal", "no gateway")


class _StreamPlan(NamedTuple):
    """A stream of requests: target, compared variant, requests per second, share of remote objects."""

    target: str
    variant: str
    rate: float
    remote_share: float


STREAMS = (
    _StreamPlan("east-1", "gateway", 32, 0.5),
    _StreamPlan("east-2", "gateway", 32, 0.5),
    _StreamPlan("west-1", "gateway", 24, 0.5),
    _StreamPlan("front", "gateway", 20, 0.5),
    _StreamPlan("east-b-1", "no journal", 12, 0.5),
    _StreamPlan("east-b-2", "no journal", 12, 0.5),
    _StreamPlan("reach", "no gateway", 16, 1.0),
)


def object_of(is_west: bool, rank: int) -> int:
    """Return the object of a region with a popularity rank.

    One object in seven is a video, and three in ten have no route.
    """
    is_routed = rank % 10 < ROUTED_OF_TEN
    prefix = PREFIXES[is_west, is_routed]
    size_bits = int(hashed_fraction(7, "size", rank) * 0xFFFF)
    low_bits = VIDEO_BITS if rank % VIDEO_EVERY == VIDEO_RANK else 0
    return prefix << 60 | (rank + 1) << 40 | size_bits << 16 | (rank * 37 & 0x1F) << 8 | low_bits


def video_of_west(rank: int) -> int:
    """Return an object of the west that is a video, by its popularity rank among the videos."""
    return object_of(True, VIDEO_EVERY * rank + VIDEO_RANK)


def object_picker(seed: int, remote_share: float, region: str) -> PickObject:
    """Return a function that picks the objects of a stream whose clients are in `region`."""

    def pick(number: int) -> tuple[int, bool]:
        is_remote = hashed_fraction(seed, "far", number) < remote_share
        rank = int(OBJECTS ** hashed_fraction(seed, "which", number)) - 1
        return object_of(is_remote == (region == "east"), rank), not is_remote

    return pick


class Traffic:
    """All streams of requests, and the orders that are sent from the east to the west.

    Attributes:
        results: Results of the requests by variant.
        order_statuses: Status of the response by body of the order.
    """

    def __init__(self, seed: int, world: World) -> None:
        self._seed, self._world = seed, world
        self.results = {variant: RequestResults() for variant in VARIANTS}
        self.streams: list[RequestStream] = []
        self.order_statuses: dict[bytes, str] = {}

    def start(self) -> None:
        """Start all streams and the orders."""
        for number, plan in enumerate(STREAMS):
            pool, seed = self._world.pools[plan.target], self._seed + number
            pick = object_picker(seed, plan.remote_share, pool.region)
            stream = RequestStream(pool, self.results[plan.variant], seed, plan.rate, pick)
            self.streams.append(stream)
            gevent.spawn(stream.run)
        self._ordering = gevent.spawn(self._send_orders)

    def streams_in_east(self) -> Sequence[RequestStream]:
        """Return the streams with targets in the east that are still running."""
        return [stream for stream in self.streams if stream.pool.region == "east" and stream.running]

    def set_rate_factor(self, factor: float) -> None:
        """Send requests at the planned rates times `factor`."""
        for stream in self.streams:
            stream.rate_factor = factor

    def finish(self) -> None:
        """End all streams and the orders."""
        for stream in self.streams:
            stream.finish()
        self._ordering.kill()

    def _send_orders(self) -> None:
        number = 0
        while True:
            number += 1
            gevent.sleep(ORDER_INTERVAL_S)
            gevent.spawn(self._send_order, number)

    def _send_order(self, number: int) -> None:
        """Send an order without retries, and record the status of its response."""
        pool = self._world.pools["east-1" if number % 2 else "east-2"]
        client, body = pool.next_client(), b"order %d" % number
        if client is None:
            return
        self.order_statuses[body] = UNKNOWN
        response = client.request("orders", 0xF << 60 | number << 20, 0, 1, ORDER_TIMEOUT_MS, body)
        if response and not response.connection_lost:
            self.order_statuses[body] = response.status
