"""A fleet of front processes under load, with faults of datagrams, upstreams and fronts."""

import signal
import time

import gevent
import pytest

from marbleglade.fleet.load_view import AggregatedView, FrontReport, LinkWork
from marbleglade.protocols import fleet_datagrams
from marbleglade.testing.capacity_model import CapacityModel, WarmUpLimit
from marbleglade.testing.client import Client
from marbleglade.testing.object_store import hashed_fraction
from tests.fleet.fleet_under_load import (
    FRONTS,
    fleet_status,
    fleet_statuses,
    leaders_of,
    requests_since,
)
from tests.fleet.test_recovery_after_losses import MAX_RECOVERY_INTERVALS, PROBE_INTERVAL_NS
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until

NS_PER_SECOND = 1_000_000_000
MAX_U16, MAX_U32 = 2**16 - 1, 2**32 - 1


@pytest.mark.parametrize("fault, value, no_fault", [("response_delay", 3.0, 0.0), ("fails_all", True, False)])
def test_a_faulty_cache_receives_only_probes_and_is_used_again_once_it_recovers(
    start_fleet, fault, value, no_fault
):
    fleet, load = start_fleet()
    faulty = fleet.caches[1]
    setattr(faulty, fault, value)
    gevent.sleep(3.5)
    since = time.monotonic()
    assert load.served_share(2.0) > 0.9
    # The cache receives only half-open probes and health checks, not its share of 72 requests per second.
    assert requests_since(faulty, since) < 20
    setattr(faulty, fault, no_fault)
    gevent.sleep(3.0)
    since = time.monotonic()
    assert load.served_share(2.0) > 0.97
    assert requests_since(faulty, since) > 10


def test_after_three_times_the_load_the_fleet_serves_as_before(start_fleet):
    """No overload may persist once its cause has ended."""
    fleet, load = start_fleet(origin_capacity=CapacityModel(6, overload_ratio=2.5, overload_seconds=0.5))
    share_before = load.served_share(1.0)
    load.set_rate_factor(3.0)
    gevent.sleep(3.0)
    load.set_rate_factor(1.0)
    gevent.sleep(2.0)
    assert load.served_share(2.0) > 0.95 * share_before
    assert fleet.origin.capacity_model.outage_count <= 1


def test_after_half_of_the_fronts_die_the_others_serve_and_have_a_fresh_view(start_fleet):
    fleet, load = start_fleet()
    leader = leaders_of(fleet)[0]
    dead = [leader, *[number for number in range(FRONTS) if number != leader][:2]]
    load.mark_down(*dead)
    fleet.kill(*dead)
    gevent.sleep(1.5)
    assert load.served_share(1.5) > 0.97
    gevent.sleep(4.0)
    for number in set(range(FRONTS)) - set(dead):
        status = fleet_status(fleet, number)
        assert set(dead) <= set(status["not_alive"]), status
        assert status["view_age_ms"] < 1000, status


def test_lost_late_and_duplicated_datagrams_harm_no_request_and_all_fronts_are_alive_again(start_fleet):
    fleet, load = start_fleet(heartbeat_ms=PROBE_INTERVAL_NS // NS_PER_MS)
    proxy = fleet.datagram_proxy
    proxy.loss_rate, proxy.duplication_rate, proxy.delay_seconds = 0.6, 0.1, (0.0, 0.6)
    assert load.served_share(4.0) > 0.98
    proxy.loss_rate, proxy.duplication_rate, proxy.delay_seconds = 0.0, 0.0, (0.0, 0.005)
    losses_end = time.monotonic()
    recovered_by = losses_end + MAX_RECOVERY_INTERVALS * PROBE_INTERVAL_NS / NS_PER_SECOND
    gevent.sleep(4.0)
    wait_until(
        lambda: all(status["alive"] == FRONTS for status in fleet_statuses(fleet)),
        recovered_by - time.monotonic(),
    )


def test_each_part_of_a_partitioned_fleet_serves_with_one_leader_and_the_parts_merge_again(start_fleet):
    fleet, load = start_fleet()
    parts = 3
    fleet.datagram_proxy.is_cut = lambda sender, receiver: sender % parts != receiver % parts
    assert load.served_share(5.0) > 0.98
    assert len(leaders_of(fleet)) == parts
    fleet.datagram_proxy.is_cut = lambda _sender, _receiver: False
    gevent.sleep(6.0)
    statuses = fleet_statuses(fleet)
    assert sum(status["leadership"]["is_leader"] for status in statuses) == 1
    assert {status["alive"] for status in statuses} == {FRONTS}


def test_two_leaders_overload_no_cold_cache_and_the_later_term_wins(start_fleet):
    warm_up = WarmUpLimit(
        initial_share=0.2, duration_seconds=3.0, overload_factor=3.0, window_seconds=0.5, warm_rate=80.0
    )
    fleet, load = start_fleet(warm_up=warm_up)
    paused_leader = leaders_of(fleet)[0]
    term_before = fleet_status(fleet, paused_leader)["leadership"]["term"]
    load.disconnect(paused_leader)
    fleet.signal(paused_leader, signal.SIGSTOP)
    gevent.sleep(4.0)
    fleet.signal(paused_leader, signal.SIGCONT)
    cache = fleet.caches[2]  # restarts cold while two fronts may be leaders by their own state
    cache.restart()
    fleet.for_each_discovery_service(
        lambda service: service.announce([(cache, "box")], started_ms=cache.started_ms())
    )
    gevent.sleep(3.0)
    leaderships = [status["leadership"] for status in fleet_statuses(fleet)]
    assert sum(leadership["is_leader"] for leadership in leaderships) == 1
    assert min(leadership["term"] for leadership in leaderships) > term_before
    assert load.served_share(1.0) > 0.97  # the fixture checks that no cache crashed


def misleading_datagrams(number: int) -> list[bytes]:
    """Return random bytes, random bytes after a valid header, and a report and a view with invalid values."""
    garbage = bytes(
        int(hashed_fraction(number, "junk", position) * 256) for position in range(number % 255 + 1)
    )
    report = FrontReport(
        2**60 + number,
        load_ms=MAX_U32,
        first_requests=MAX_U16,
        retry_cost=MAX_U16,
        rejected=MAX_U16,
        links={0: LinkWork(1, MAX_U32)},
        open_circuits=[1, 2, 3],
        recovered=[4],
    )
    view = AggregatedView(
        1 << 30,
        number,
        fronts=6,
        load_ms=1,
        first_requests=1,
        retry_cost=65535,
        rejected=9,
        links={0: LinkWork(1, MAX_U32)},
    )
    with_header = b"\x01" + bytes([5 + number % 5]) + garbage[2:]
    return [garbage, with_header, fleet_datagrams.encode(report), fleet_datagrams.encode(view)]


def test_a_listed_peer_that_sends_garbage_and_wrong_values_harms_no_request(start_fleet):
    fleet, load = start_fleet()

    def send_misleading_datagrams() -> None:
        for number in range(400):
            for receiver in range(1, FRONTS):
                for data in misleading_datagrams(number):
                    fleet.datagram_proxy.inject(0, receiver, data)
            gevent.sleep(0.01)

    sending = gevent.spawn(send_misleading_datagrams)
    assert load.served_share(3.0) > 0.98
    sending.join()
    assert all(status["leadership"]["term"] < 1 << 20 for status in fleet_statuses(fleet))


def test_a_front_with_most_of_the_traffic_has_most_of_the_quota(start_fleet):
    fleet, load = start_fleet(rates=[60.0, 1.0, 1.0, 1.0, 1.0, 1.0])
    assert load.served_share(2.0) > 0.98
    busiest, *others = [status["traffic_share"] for status in fleet_statuses(fleet)]
    assert busiest > 0.5
    assert max(others) < 0.2


def test_a_front_whose_discovery_service_is_silent_receives_a_drain_from_its_peers(start_fleet):
    fleet, load = start_fleet(cooperating=False)
    uninformed, informed = 3, 2
    cache = fleet.caches[0]
    fleet.discovery_services[uninformed].silent = True
    gevent.sleep(0.2)
    fleet.for_each_discovery_service(lambda service: service.announce([(cache, "box")], state="leaving"))
    gevent.sleep(3.0)
    since = time.monotonic()
    assert load.served_share(1.5) > 0.98
    assert requests_since(cache, since) == 0
    assert "gossip" in [event["event"] for event in fleet.log_events(uninformed)]
    assert "gossip" not in [event["event"] for event in fleet.log_events(informed)]


def test_a_non_idempotent_request_takes_effect_at_most_once_despite_broken_connections(start_fleet):
    fleet, _ = start_fleet()
    clients = [Client(address, 900 + number) for number, address in enumerate(fleet.client_addresses)]
    responses = []

    def send_order(client: Client, body: bytes) -> None:
        responses.append(client.request("orders", 12345, timeout_ms=2000, body=body))

    fleet.caches[0].resets_connections = True
    for number in range(60):
        gevent.spawn(send_order, clients[number % FRONTS], b"order %d" % number)
        if number == 30:
            fleet.caches[0].drop_connections()
        gevent.sleep(0.02)
    gevent.sleep(2.5)
    assert len(responses) == 60
    assert all(responses)
    assert max(fleet.effects.values()) == 1
    served = sum(response.status == "ok" for response in responses)
    assert 40 < served <= len(fleet.effects)
    for client in clients:
        client.close()
