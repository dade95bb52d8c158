"""A restarted front uses no machine that may be out of service, until it knows which ones are.

Guards against two faults of a front that got no reply within a third of a lease after its start. It used all
caches, one that was out of service among them, until the next leader sent its table, and it replied to other
fronts that no machine is out of service. Now it withholds the upstreams that may be out of service.

Replies were missing since too few queries were sent. In the `table_inquiry` events of 36 restarts (12 runs
side by side, 30 in 100 datagrams lost) an inquiry of 0.4 s had 2 or 3 `rounds` of queries instead of 8, and
the `outcome` "timeout" for a front whose leader had just been killed. A front ran its fleet timers every
250 ms, whatever its heartbeat; a heartbeat of 200 ms needs them at least every 50 ms.
"""

import json
import time

import gevent
import pytest

from benchmarks.maintenance.workers import plan_text
from marbleglade.testing.client import Client
from tests.fleet.fleet_under_load import requests_since
from tests.harness.waiting import wait_until
from tests.maintenance.conftest import HEARTBEAT_MS, LEASE_SECONDS

RESTARTED_FRONT = 1
READY_SECONDS = 10.0  # longest time until a restarted front is ready, as the operators require
QUERY_INTERVAL_MS = HEARTBEAT_MS / 4  # a 24th of a lease
REQUEST_PERIOD_SECONDS = 0.02
SLOW_START_SECONDS = 4.0  # duration of the slow start of a restarted cache


@pytest.fixture
def fleet_with_a_cache_out(start_maintenance):
    """Starts a fleet under load in which all fronts know that the first cache is out of service."""
    fleet, load, workers = start_maintenance()
    workers.loop.kill()  # without workers the cache stays out of service
    fleet.submit_maintenance_plan(2, plan_text([], [0]))
    wait_until(lambda: workers.is_out_at_all_fronts(fleet.caches[0]), 15, interval=0.05)
    gevent.sleep(0.5)
    return fleet, load, workers


def restart_without_peers(fleet, load):
    """Restart a front without datagrams between it and the others, and wait until it listens."""
    load.mark_down(RESTARTED_FRONT)
    fleet.kill(RESTARTED_FRONT)
    fleet.datagram_proxy.is_cut = lambda sender, receiver: RESTARTED_FRONT in (sender, receiver)
    fleet.start(RESTARTED_FRONT)
    log = fleet.log_path(RESTARTED_FRONT)
    wait_until(lambda: b'"event":"ready"' in log.read_bytes(), READY_SECONDS, interval=0.05)


def reconnect(fleet):
    """Let datagrams pass between all fronts again."""
    fleet.datagram_proxy.is_cut = lambda _sender, _receiver: False


def inquiry_events(workers):
    """Wait for `table_inquiry` events in the restarted front's log, and return them."""
    wait_until(lambda: workers.log_lines(RESTARTED_FRONT, b"table_inquiry"), 5, interval=0.05)
    return [json.loads(line) for line in workers.log_lines(RESTARTED_FRONT, b"table_inquiry")]


def send_requests(fleet, seconds):
    """Send requests to the restarted front for a number of seconds; return how many were served."""
    client, served = Client(fleet.client_addresses[RESTARTED_FRONT], 900), 0
    until = time.monotonic() + seconds
    object_id = 5000
    while time.monotonic() < until:
        object_id += 1
        response = client.request("dish-media", object_id)
        assert response is not None
        served += response.status == "ok"
        gevent.sleep(REQUEST_PERIOD_SECONDS)
    client.close()
    return served


def test_a_front_without_replies_for_a_lease_sends_nothing_to_a_cache_that_is_out(fleet_with_a_cache_out):
    fleet, load, _ = fleet_with_a_cache_out
    since = time.monotonic()
    restart_without_peers(fleet, load)
    send_requests(fleet, LEASE_SECONDS)
    reconnect(fleet)
    fleet.wait_until_ready(READY_SECONDS)
    load.mark_up(RESTARTED_FRONT)
    assert send_requests(fleet, 1.0)
    assert requests_since(fleet.caches[0], since) == 0


def test_a_front_that_no_peer_reaches_serves_without_the_machines_that_may_be_out(fleet_with_a_cache_out):
    fleet, load, workers = fleet_with_a_cache_out
    out, restarted_cache = fleet.caches[:2]
    since = time.monotonic()
    restart_without_peers(fleet, load)
    wait_until(
        lambda: workers.log_lines(RESTARTED_FRONT, b"upstreams_withheld"), READY_SECONDS, interval=0.05
    )
    assert [event["outcome"] for event in inquiry_events(workers)] == ["timeout"]
    assert not fleet.is_ready(RESTARTED_FRONT)  # every cache may be out, so clients should use other fronts
    assert send_requests(fleet, 0.5) == 0
    restarted_cache.restart()
    fleet.for_each_discovery_service(
        lambda service: service.announce([(restarted_cache, "box")], started_ms=restarted_cache.started_ms())
    )
    fleet.wait_until_ready(READY_SECONDS)  # the cache started after the front, so it is in service
    assert send_requests(fleet, SLOW_START_SECONDS)
    assert not fleet.counters_event(RESTARTED_FRONT)["maintenance"]["is_informed"]
    reconnect(fleet)
    wait_until(lambda: fleet.counters_event(RESTARTED_FRONT)["maintenance"]["is_informed"], 5)
    assert workers.log_lines(RESTARTED_FRONT, b"upstreams_released")
    load.mark_up(RESTARTED_FRONT)
    reconnected_at = time.monotonic()
    assert send_requests(fleet, 2.0)
    assert all(requests_since(cache, reconnected_at) for cache in fleet.caches[2:])
    assert requests_since(out, since) == 0


def test_a_front_sends_queries_at_the_interval_that_follows_from_its_heartbeat(fleet_with_a_cache_out):
    fleet, load, workers = fleet_with_a_cache_out
    restart_without_peers(fleet, load)
    ended = inquiry_events(workers)[0]
    assert ended["rounds"] > ended["waited_ms"] / QUERY_INTERVAL_MS / 2
    reconnect(fleet)
    load.mark_up(RESTARTED_FRONT)
