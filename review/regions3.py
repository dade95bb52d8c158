"""Two stand-in regions with two gateways each as processes, for the cases of the third review."""

from __future__ import annotations

import time
from collections import defaultdict

import gevent
import marbleglade.testing.regions as stand_ins
from marbleglade.protocols.cache_protocol import UpstreamRequest
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.client import Client

from shared3 import Case

WEST = 0xF << 60  # objects of the region west, by the routes of the deployment file
PAGE = 4  # low bits of the id of a small object
WARM_UP_SECONDS = 11.0  # gateways count as cold for 10 s (`cold_ms`)


class Receipts:
    """What an origin remembers of requests with an effect: a repeat within the window is dropped.

    Attributes:
        runs: When each request ran, by its body.
        arrivals: When each request arrived, and at which cache, by its body.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.runs: defaultdict[bytes, list[float]] = defaultdict(list)
        self.arrivals: defaultdict[bytes, list[tuple[float, str]]] = defaultdict(list)
        self._ran_at: dict[str, float] = {}

    def arrive(self, cache: str, id: str, body: bytes) -> None:
        """Run a request, unless one with the same id ran within the window."""
        now = time.monotonic()
        self.arrivals[body].append((now, cache))
        ran_at = self._ran_at.get(id)
        if ran_at is None or now - ran_at >= self.window_seconds:
            self._ran_at[id] = now
            self.runs[body].append(now)


class EffectCache(StandInUpstream):
    """A cache that passes requests with an effect to the origin, which runs them or drops a repeat.

    Attributes:
        receipts: What the origin of all caches remembers.
        hangs: Whether the cache hangs in the middle of its work: the origin ran it, no answer comes.
    """

    receipts = Receipts(0)
    hangs = False

    def _execute(self, request: UpstreamRequest) -> bytes:
        self.receipts.arrive(self.id, request.id, bytes(request.body))
        while self.hangs:
            gevent.sleep(1)
        return super()._execute(request)


def start_regions(
    case: Case, classes: str, extra: str, window_seconds: float = 0.0
) -> stand_ins.StandInRegions:
    """Start two regions and their gateways, and wait until all links are up and the gateways are warm."""
    EffectCache.receipts = Receipts(window_seconds)
    stand_ins.StandInUpstream = EffectCache
    stand_ins.REQUEST_CLASSES = classes
    regions = stand_ins.StandInRegions(extra)
    path = case.file("regions.textproto", regions.deployment_text())
    names = [name for region in regions.both for name in region.gateways]
    for name in names:
        case.start(name, f"gateway --deployment {path} --name {name}")
    case.wait(lambda: all(case.log(name).count('"link.up"') >= 2 for name in names), "all links up")
    gevent.sleep(WARM_UP_SECONDS)
    return regions


def client_of(regions: stand_ins.StandInRegions, region: str, gateway: str, seed: int) -> Client:
    """Connect a client to a gateway."""
    ports = (regions.east if region == "east" else regions.west).ports
    return Client(("127.0.0.1", ports[gateway][0]), seed)


def object_of_west(number: int) -> int:
    """Return the id of an object of the region west."""
    return WEST | PAGE | number << 32
