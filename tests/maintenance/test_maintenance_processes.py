"""Maintenance plans executed by front processes under load, with faults of network and processes."""

import signal
import time
from functools import partial

import gevent

from benchmarks.maintenance.workers import MaintenanceWorkers, plan_text
from marbleglade.testing.client import Client
from marbleglade.testing.front_fleet import FrontFleet
from tests.fleet.fleet_under_load import requests_since
from tests.harness import waiting
from tests.maintenance.conftest import LEASE_SECONDS

FRONTS = range(5)
wait_until = partial(waiting.wait_until, interval=0.05)  # seconds; each check reads logs


def wait_for_draining_front(fleet: FrontFleet, workers: MaintenanceWorkers) -> int:
    """Wait until a front drains, and return its number."""
    wait_until(lambda: any(workers.stage(number) == "draining" for number in fleet.processes), 15)
    return next(number for number in fleet.processes if workers.stage(number) == "draining")


def test_a_plan_is_carried_out_under_load_with_losses_and_a_partition(start_maintenance):
    fleet, load, workers = start_maintenance()
    fleet.datagram_proxy.loss_rate, fleet.datagram_proxy.delay_seconds = 0.3, (0.0, 0.05)
    fleet.submit_maintenance_plan(2, plan_text(FRONTS, range(2)))
    submitted_at = time.monotonic()
    wait_until(lambda: len(workers.finished) >= 2, 25)
    fleet.datagram_proxy.is_cut = lambda sender, receiver: (sender < 2) != (receiver < 2)
    gevent.sleep(2.0)
    fleet.datagram_proxy.is_cut = lambda _sender, _receiver: False
    wait_until(lambda: len(set(workers.finished)) == 7 and not workers.busy, 60)
    assert workers.worst_out == 1
    all_machines = [*map(str, FRONTS), "box0", "box1"]
    assert sorted(map(str, workers.finished)) == sorted(all_machines)
    assert load.results.served_share(submitted_at, time.monotonic()) > 0.97


def test_the_plan_goes_on_after_the_leader_and_the_draining_front_are_killed(start_maintenance):
    fleet, load, workers = start_maintenance()
    fleet.submit_maintenance_plan(0, plan_text(FRONTS, deadline_ms=4000))
    draining = wait_for_draining_front(fleet, workers)
    leader = next(
        number for number in fleet.processes if fleet.counters_event(number)["maintenance"]["is_leader"]
    )
    killed = {draining, leader}
    load.mark_down(*killed)
    workers.loop.kill()
    fleet.kill(*killed)
    gevent.sleep(3.0)
    # Fronts that are down count as out of service, so no other one goes out.
    assert all(workers.stage(number) == "serving" for number in fleet.processes)
    for number in killed:
        fleet.start(number)
    fleet.wait_until_ready()
    for number in killed:
        load.mark_up(number)
    workers.loop = gevent.spawn(workers.run)
    wait_until(lambda: set(workers.finished) | killed == set(FRONTS) and not workers.busy, 60)
    assert workers.worst_out == 1
    assert len(workers.finished) == len(set(workers.finished))


def test_a_draining_front_is_recalled_at_once_and_can_be_taken_out_again(start_maintenance):
    fleet, load, workers = start_maintenance()
    workers.loop.kill()
    fleet.submit_maintenance_plan(1, plan_text([3], deadline_ms=20_000))
    wait_until(lambda: workers.stage(3) == "draining", 15)
    client = next(iter(load.streams[3].pool.clients))
    assert client.status().status == "no"
    withdrawn_at = time.monotonic()
    fleet.submit_maintenance_plan(1, plan_text(withdrawn=True))
    wait_until(lambda: workers.stage(3) == "serving", 5)
    assert time.monotonic() - withdrawn_at < 0.6  # 250 ms, plus the proxy, the log and a check of the log
    assert client.status().status == "yes"
    fleet.submit_maintenance_plan(4, plan_text([3], deadline_ms=20_000))
    wait_until(lambda: workers.stage(3) == "draining", 10)
    fleet.submit_maintenance_plan(4, plan_text(withdrawn=True))
    wait_until(lambda: workers.stage(3) == "serving", 5)


def test_while_a_draining_front_is_paused_no_other_goes_out_of_service(start_maintenance):
    fleet, load, workers = start_maintenance()
    fleet.submit_maintenance_plan(0, plan_text([1, 2, 3], deadline_ms=20_000))
    draining = wait_for_draining_front(fleet, workers)
    load.disconnect(draining)
    fleet.signal(draining, signal.SIGSTOP)
    gevent.sleep(2.5)
    others = [number for number in fleet.processes if number != draining]
    assert [number for number in others if workers.stage(number) != "serving"] == []
    fleet.signal(draining, signal.SIGCONT)
    gevent.sleep(0.5)
    assert workers.worst_out == 1


def test_a_restarted_fleet_grants_nothing_for_a_lease_and_then_goes_on(start_maintenance):
    fleet, load, workers = start_maintenance()
    fleet.submit_maintenance_plan(0, plan_text([0], [0, 1], deadline_ms=20_000, after="front 0"))
    wait_until(lambda: workers.stage(0) == "draining", 15)
    load.mark_down(*FRONTS)
    workers.loop.kill()
    fleet.kill(*FRONTS)
    for number in FRONTS:
        fleet.start(number)
    restarted_at = time.monotonic()
    fleet.wait_until_ready()
    for number in FRONTS:
        load.mark_up(number)
    workers.worst_out, workers.loop = 0, gevent.spawn(workers.run)
    # The draining front has restarted, so its maintenance is completed; the caches are next.
    wait_until(lambda: workers.finished, 30)
    assert time.monotonic() - restarted_at > LEASE_SECONDS
    wait_until(lambda: workers.finished in (["box0", "box1"], ["box1", "box0"]), 30)
    assert workers.worst_out == 0


def test_a_restarted_front_sends_nothing_to_a_cache_that_is_out_of_service(start_maintenance):
    fleet, load, workers = start_maintenance()
    workers.loop.kill()  # without workers the cache stays out of service
    fleet.datagram_proxy.loss_rate = 0.3
    fleet.submit_maintenance_plan(2, plan_text([], [0]))
    cache = fleet.caches[0]
    wait_until(lambda: workers.is_out_at_all_fronts(cache), 15)
    gevent.sleep(0.5)
    since = time.monotonic()
    for number in (1, 3, 4):
        load.mark_down(number)
        fleet.kill(number)
        fleet.start(number)
        fleet.wait_until_ready()
        load.mark_up(number)
        gevent.sleep(1.5)
    assert requests_since(cache, since) == 0
    assert all(workers.log_lines(number, b"out_of_service") for number in fleet.processes)
    assert fleet.counters_event(3)["maintenance"]["is_informed"]


def test_a_draining_front_answers_all_requests_and_none_takes_effect_twice(start_maintenance):
    fleet, _, workers = start_maintenance()
    fleet.caches[0].effect_seconds = fleet.caches[1].effect_seconds = 0.3
    clients = [Client(fleet.client_addresses[1], 800 + number) for number in range(4)]
    responses = []

    def send_order(number: int) -> None:
        client, body = clients[number % len(clients)], b"order %d" % number
        responses.append(client.request("orders", 4321, timeout_ms=2000, body=body))

    fleet.submit_maintenance_plan(0, plan_text([1], deadline_ms=400))
    sent = 0
    while sent < 60 and workers.stage(1) != "drained":
        gevent.spawn(send_order, sent)
        sent += 1
        gevent.sleep(0.05)
    gevent.sleep(2.5)
    assert workers.finished == [1]
    assert len(responses) == sent
    assert all(responses), [response for response in responses if not response]
    assert max(fleet.effects.values()) == 1
    served = sum(response.status == "ok" for response in responses)
    assert 0 < served <= len(fleet.effects)
    for client in clients:
        client.close()
