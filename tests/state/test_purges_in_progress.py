"""Purges that arrive while a cached response or an attempt is in use. `docs/crossings.md` lists each case.

The tests force the order of events with test servers that hold and release bytes, and with direct calls.
"""

import json
import time

import gevent
import pytest
from gevent import socket

from marbleglade.model.request import CachedResponse
from marbleglade.model.watch_event import Purge
from tests.harness.messages import (
    REQUEST_ID,
    numbered_request,
    resp_array,
)
from tests.harness.settings import FRONT_SETTINGS
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import TIMEOUT_SECONDS
from tests.policy.policy_harness import PolicyHarness


def test_a_cached_response_is_not_served_after_a_purge_that_came_before_its_use():
    """The policy gets a cached response along with its request, and may use it after a failed attempt."""
    harness = PolicyHarness(local_link_capacity=4.0, freshness_lifetime=60_000 * NS_PER_MS)
    cached = CachedResponse(NS_PER_MS, harness.clock, None)
    served = harness.request(cached=cached, timeout_ms=2500)
    assert harness.actions[-1] == ("serve_cached", served)
    harness.policy.handle_purge(1, 0, harness.clock)
    harness.clock += 5 * NS_PER_MS
    harness.request(cached=cached)
    assert harness.attempts  # the cached response is older than the purge
    assert harness.actions[-1] == ("serve_cached", served)


@pytest.mark.parametrize(
    "purge, served",
    [((0x7F3A9C21E0B4D655, 0), False), ((0, 17), False), ((0x7F3A9C21E0B4D656, 0), True), ((0, 18), True)],
)
def test_a_purge_detaches_the_cached_response_of_an_open_request(front, purge, served):
    """A request may wait for longer than the policy keeps a purge."""
    front.serve_from_local_cache(100)
    driver = front.policy_driver
    cache = driver.policy.caches[0]

    def serve_cached_or_reject(attempt):
        request = attempt.request
        driver.serve_cached(request) if request.cached else driver.reject(request)

    driver.policy.handle_request = lambda request: driver.start_attempt(request, cache, cache, 10**9)
    driver.policy.attempt_finished = serve_cached_or_reject
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    front.request_handler.events.apply(Purge(9, *purge, 1 << 53))
    front.cache.sockets[0].sendall(REQUEST_ID + b" SHED - 0\r\n\r\n")
    expected = (b"ok", b"", b"x" * 100) if served else (b"full", b"", b"")
    assert sock.recv(4096) == resp_array(b"7", *expected)


@pytest.fixture
def configuration_changes():
    """Return settings changes for a purge deadline of 100 ms, far below the timeout of clients."""
    specifics = FRONT_SETTINGS["Specifics"] | {"ClearedWithin": 100.0}
    settings = FRONT_SETTINGS | {"Specifics": specifics}
    return {"flow_bytes_per_s": 10**6, "link_bytes_per_s": 10**7, "settings": settings}


def test_a_response_requested_before_a_purge_is_not_cached_however_late_it_comes(program):
    _process, listener, cache, discovery = program
    sock = socket.create_connection(listener)
    sock.settimeout(TIMEOUT_SECONDS)
    issued_ms = int(time.time() * 1000)
    for tag in (1, 2, 3):  # the front caches only objects that are requested repeatedly
        sock.sendall(numbered_request(tag, tag))
        request_id = cache.wait_for_lines(tag).split()[1].encode()
        if tag == 2:
            discovery.sockets[0].sendall(purge_event(3, 17))
            gevent.sleep(0.25)
            discovery.sockets[0].sendall(purge_event(4, 99))  # a new purge drops expired ones
            gevent.sleep(0.05)
        response = b" HIT entity=4be0c1927d55a6f3,issued=%d 1\r\nx\r\n" % issued_ms
        cache.line_sockets[-1].sendall(request_id + response)
        assert sock.recv(4096) == resp_array(b"%d" % tag, b"ok", b"", b"x")


def purge_event(index, group):
    """Return a line of the discovery service that purges a group at the present time."""
    event = {"index": index, "evict": {"shard": group, "unix_ms": int(time.time() * 1000)}}
    return json.dumps(event).encode() + b"\n"
