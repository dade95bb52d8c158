"""Fault injection between and in the regions; each fault has ended when its method returns."""

from __future__ import annotations

import signal
from typing import get_args

import gevent

from benchmarks.processes import now
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.tcp_proxy import ProxyMode

from .purges import Purges
from .traffic import Traffic, object_of, video_of_west
from .world import Draws, World

LINK_RATE, LINK_DELAY_S = 3_000_000, 0.004  # bytes per second and delay of one connection between regions
SLOW_RATE, CORRUPT_EVERY = 300_000, 40_000  # bytes per second; bytes from one corrupted byte to the next
CUT_MODES = tuple(mode for mode in get_args(ProxyMode) if mode != "pass")
POPULAR_VIDEOS, FIRST_POPULAR_VIDEO = 19, 15


class Faults:
    """Injects faults between and in the regions.

    Attributes:
        names: Names of the faults that `inject` accepts.
        requests_after_drain: Requests that reached a cache after the grace period of its drain.
    """

    def __init__(self, world: World, traffic: Traffic, purges: Purges, draws: Draws) -> None:
        self._world, self._traffic, self._purges, self._draws = world, traffic, purges, draws
        self.requests_after_drain = 0
        self._fault_methods = {
            "cut": self._cut,
            "one link": self._cut_one_link,
            "slow": self._slow_links,
            "purges": self._many_purges,
            "gateway of the west dies": self._kill_remote,
            "both gateways of the west die": self._kill_both_remote,
            "gateway of the east dies": self._kill_local,
            "gateway of the west shuts down": self._shut_down_remote,
            "cache restarts": self._restart_cache,
            "cache drains": self._drain_cache,
            "cache is silent": self._silence_cache,
            "discovery restarts": self._restart_discovery,
            "corrupted link": self._corrupt_link,
        }
        self.names = tuple(self._fault_methods)

    def inject(self, name: str) -> str:
        """Inject a fault and wait until it has ended; return its name and details."""
        self._gateway = self._draws.choose(self._world.west.gateways)
        self._cache = self._draws.choose(self._world.west.caches)
        return f"{name}{self._fault_methods[name]() or ''}"

    def set_normal_link_conditions(self) -> None:
        """Set all proxies to the rate and delay of a link without faults."""
        for proxy in self._world.all_proxies():
            proxy.set_fault(rate=LINK_RATE, delay=LINK_DELAY_S)

    def cut(self, mode: ProxyMode) -> None:
        """Cut the links between the regions during fills: videos are requested just before the cut."""
        for stream in self._traffic.streams_in_east():
            for _ in range(4):
                rank = FIRST_POPULAR_VIDEO + int(self._draws.draw() * POPULAR_VIDEOS)
                stream.start_request(video_of_west(rank), False)
        gevent.sleep(0.08 + 0.15 * self._draws.draw())
        for proxy in self._world.all_proxies():
            proxy.set_fault(mode)
        self._purges.cuts.append([now(), float("inf")])

    def heal(self) -> None:
        """Restore all links between the regions, and record the end of the cut."""
        self.set_normal_link_conditions()
        cuts = self._purges.cuts
        if cuts and cuts[-1][1] == float("inf"):
            cuts[-1][1] = now()

    def purge_popular(self, is_west: bool | None = None) -> None:
        """Purge a popular object or a group; by default the region is drawn at random."""
        if is_west is None:
            region = self._draws.choose(self._world.regions.both)
        else:
            region = self._world.west if is_west else self._world.east
        if self._draws.draw() < 0.3:
            self._purges.publish(region, 0, int(self._draws.draw() * 0x20))
            return
        of_west = self._draws.draw() < 0.5 if is_west is None else is_west
        self._purges.publish(region, object_of(of_west, int(8 ** self._draws.draw()) - 1))

    def _cut(self) -> str:
        mode = self._draws.choose(CUT_MODES)
        self.cut(mode)
        gevent.sleep(0.5 + self._draws.draw())
        if self._draws.draw() < 0.7:
            self.purge_popular()
        gevent.sleep(0.1 + self._draws.draw() * 0.5)
        self.heal()
        if self._draws.draw() < 0.5:  # cut again while the links recover
            gevent.sleep(self._draws.draw() * 0.3)
            self.cut(self._draws.choose(CUT_MODES))
            gevent.sleep(0.3)
            self.heal()
        return f" ({mode})"

    def _cut_one_link(self) -> str:
        mode, proxy = self._draws.choose(CUT_MODES), self._world.west.proxies[self._gateway]
        proxy.set_fault(mode)
        gevent.sleep(0.6)
        self.purge_popular(is_west=True)
        gevent.sleep(0.6)
        proxy.set_fault(rate=LINK_RATE, delay=LINK_DELAY_S)
        return f" ({mode})"

    def _slow_links(self) -> None:
        proxies = self._world.proxies_of("west")
        for proxy in proxies:
            proxy.set_fault(rate=SLOW_RATE, delay=LINK_DELAY_S)
        gevent.sleep(1.2)
        for proxy in proxies:
            proxy.set_fault(rate=LINK_RATE, delay=LINK_DELAY_S)

    def _corrupt_link(self) -> None:
        proxy = self._world.west.proxies[self._gateway]
        proxy.set_fault(rate=LINK_RATE, delay=LINK_DELAY_S, corrupt_every=CORRUPT_EVERY)
        gevent.sleep(1.0)
        proxy.set_fault(rate=LINK_RATE, delay=LINK_DELAY_S)

    def _many_purges(self) -> None:
        for _ in range(6):
            self.purge_popular()
            gevent.sleep(0.15)

    def _kill_remote(self) -> None:
        self._stop_and_restart([self._gateway])

    def _kill_both_remote(self) -> None:
        self._stop_and_restart(self._world.west.gateways)

    def _kill_local(self) -> None:
        self._stop_and_restart([self._draws.choose(self._world.east.gateways)])

    def _shut_down_remote(self) -> None:
        self._stop_and_restart([self._gateway], signal.SIGTERM)

    def _stop_and_restart(self, names: list[str], signal_number: int = signal.SIGKILL) -> None:
        outages = [self._world.stop_process(name, signal_number) for name in names]
        gevent.sleep(0.3)
        self.purge_popular(is_west=True)
        gevent.sleep(0.4)
        for name, outage in zip(names, outages, strict=True):
            self._world.restart_process(name, outage)

    def _restart_cache(self) -> None:
        self._world.restart_cache(self._cache)
        gevent.sleep(1.0)

    def _drain_cache(self) -> None:
        cache: StandInUpstream = self._cache
        self._world.west.discovery_service.announce([(cache, "hub")], state="leaving")
        self._world.announce_to_direct_front(cache, state="leaving")
        cache.draining, cache.draining_since = True, now()
        gevent.sleep(0.9)
        self.requests_after_drain += cache.requests_while_draining
        self._world.restart_cache(cache)

    def _silence_cache(self) -> None:
        self._cache.silent = True
        gevent.sleep(0.8)
        self._cache.silent = False

    def _restart_discovery(self) -> None:
        self._world.west.discovery_service.restart_numbering()
        self._world.west.announce_all()
        gevent.sleep(0.5)
        self.purge_popular(is_west=True)
        gevent.sleep(0.3)
