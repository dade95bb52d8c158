"""Slow start of cold caches under the total load of all fronts: real front processes, stand-in caches."""

from __future__ import annotations

import os
import time

import gevent
import pytest

from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.front_fleet import FrontFleet
from tests.harness.objects import early_page_object
from tests.harness.page_load import PageLoad
from tests.harness.waiting import wait_until
from tests.harness.warm_up_budget import WarmUpBudget, peak_load

FRONTS = int(os.environ.get("MARBLEGLADE_COLD_FRONTS", "20"))
ONE_THIRD = range(FRONTS // 3)
CACHES = 5
REQUEST_RATE = 10.0  # per second at each front, before the burst
BURST_FACTOR = 1.5
OBJECT_COUNT = 3000
SERVICE_SECONDS = 0.04  # service time of a cache for one request
SETTLE_SECONDS = 2.5  # time in which caches fill and each front measures its own demand
OBSERVED_SECONDS = 2.5  # soon afterwards, the ramp allows a cache's full share of the load
START_SECONDS = 60.0  # time limit for the start, even on a busy machine
FIRST_REQUEST_SECONDS = 15.0  # time limit for the first request to a cold cache
# Assumes that its share of the burst fully loads a warm cache. No cache has less capacity, so N is minimal.
BUDGET = WarmUpBudget(
    share=0.08,
    warm_after=16.0,
    factor=2.0,
    window=1.0,
    warm_rate=FRONTS * REQUEST_RATE * BURST_FACTOR / CACHES,
)


class SlowStartFleet:
    """The fronts, their clients, and the cold starts that a test triggers."""

    def __init__(self, folder, seed: int, messages: bool) -> None:
        self.fleet = FrontFleet(
            FRONTS,
            folder,
            seed,
            cooperating=messages,
            peer_messages=messages,
            cache_count=CACHES,
            rules=BUDGET.rules(),
        )
        for cache in self.fleet.caches:
            cache.service_seconds = SERVICE_SECONDS
        try:
            self.fleet.wait_until_ready(START_SECONDS)
        except BaseException:
            self.fleet.close()  # leaves no process behind if the test cannot start
            raise
        self.load = PageLoad(self.fleet, seed, REQUEST_RATE, OBJECT_COUNT)
        gevent.sleep(SETTLE_SECONDS)

    def restart_empty(self, cache: StandInUpstream) -> float:
        """Restarts a cache empty, and announces it to all fronts; returns the time of the restart."""
        restarted_at = time.monotonic()
        cache.restart()
        self.announce(cache)
        return restarted_at

    def add_cache(self) -> tuple[StandInUpstream, float]:
        """Adds a new cache and announces it to all fronts; returns it and the time of the announcement."""
        cache = self.fleet.add_cache()
        cache.service_seconds = SERVICE_SECONDS
        self.announce(cache)
        return cache, time.monotonic()

    def announce(self, cache: StandInUpstream) -> None:
        """Announces at all discovery services that a cache has just started."""
        for service in self.fleet.discovery_services:
            service.announce([(cache, "box")], started_ms=cache.started_ms())

    def burst(self, without: range = range(0)) -> None:
        """Raises the total request rate by half; clients of the fronts in `without` use the other fronts."""
        serving = FRONTS - len(without)
        for number, stream in enumerate(self.load.streams):
            stream.down = number in without
            stream.rate_factor = BURST_FACTOR * FRONTS / serving

    def early_object(self, cache: StandInUpstream) -> int:
        """An object that is requested from a cache right from the beginning of its slow start."""
        return early_page_object(cache.id, [one.id for one in self.fleet.caches], BUDGET.share / 2)

    def assert_not_overloaded(self, cache: StandInUpstream, started_at: float) -> None:
        """Asserts that a cache received requests, and in no window more than its limit."""
        wait_until(
            lambda: any(requested_at >= started_at for requested_at in cache.request_times),
            FIRST_REQUEST_SECONDS,
        )
        peak = peak_load(cache.request_times, started_at, BUDGET)
        assert peak.share <= 1.0, (cache.id, peak)

    def close(self) -> None:
        """Stops the load and the fleet, and asserts that neither reports a fault."""
        faults = self.load.finish()
        errors = self.fleet.close()
        assert not errors and not faults, (errors, faults)


@pytest.fixture(scope="module")
def fleet_without_messages(tmp_path_factory):
    """Fronts that send no messages to one another."""
    fleet = SlowStartFleet(tmp_path_factory.mktemp("silent"), 41, messages=False)
    yield fleet
    fleet.close()


@pytest.fixture
def fleet_with_messages(tmp_path):
    fleet = SlowStartFleet(tmp_path, 43, messages=True)
    yield fleet
    fleet.close()


def test_no_cold_cache_is_overloaded_when_no_message_of_a_third_of_the_fronts_arrives(fleet_with_messages):
    fleet, restarted = fleet_with_messages, fleet_with_messages.fleet.caches[0]
    fleet.fleet.datagram_proxy.is_cut = lambda sender, _receiver: sender in ONE_THIRD
    fleet.burst()
    added, added_at = fleet.add_cache()
    restarted_at = fleet.restart_empty(restarted)
    gevent.sleep(OBSERVED_SECONDS)
    fleet.assert_not_overloaded(added, added_at)
    fleet.assert_not_overloaded(restarted, restarted_at)


def test_a_new_cache_and_a_restarted_one_are_not_overloaded_by_a_burst(fleet_without_messages):
    fleet, restarted = fleet_without_messages, fleet_without_messages.fleet.caches[0]
    fleet.burst()
    added, added_at = fleet.add_cache()
    restarted_at = fleet.restart_empty(restarted)
    gevent.sleep(OBSERVED_SECONDS)
    fleet.assert_not_overloaded(added, added_at)
    fleet.assert_not_overloaded(restarted, restarted_at)


def test_many_requests_for_one_object_do_not_overload_a_cold_cache(fleet_without_messages):
    fleet, restarted = fleet_without_messages, fleet_without_messages.fleet.caches[3]
    fleet.load.hot = (fleet.early_object(restarted),)
    restarted_at = fleet.restart_empty(restarted)
    gevent.sleep(OBSERVED_SECONDS)
    fleet.load.hot = ()
    fleet.assert_not_overloaded(restarted, restarted_at)


def test_no_cold_cache_is_overloaded_when_a_third_of_the_fronts_dies_and_returns(fleet_without_messages):
    fleet, fronts = fleet_without_messages, fleet_without_messages.fleet
    fleet.burst(without=ONE_THIRD)
    fronts.kill(*ONE_THIRD)
    restarted_at = fleet.restart_empty(fronts.caches[1])
    gevent.sleep(OBSERVED_SECONDS)
    fleet.assert_not_overloaded(fronts.caches[1], restarted_at)
    for number in ONE_THIRD:
        fronts.start(number)
    fronts.wait_until_ready(START_SECONDS)
    fleet.burst()
    restarted_at = fleet.restart_empty(fronts.caches[2])
    gevent.sleep(OBSERVED_SECONDS)
    fleet.assert_not_overloaded(fronts.caches[2], restarted_at)
