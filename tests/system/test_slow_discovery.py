"""A front applies announcements in time even if its discovery service or configuration file is slow."""

import signal
import time

import gevent
import pytest

from marbleglade.testing.sockets import address_text
from tests.harness.discovery import ScriptedDiscovery, SlowDiscovery
from tests.harness.faulty_front import FaultyFront
from tests.harness.scripted_cache import ScriptedCache, scripted_caches
from tests.harness.waiting import wait_until

DISCOVERY_SECONDS = 7.0  # time limit for applying an event of a discovery service


def configuration_text(front: FaultyFront, discovery: ScriptedDiscovery) -> str:
    """A configuration that names another discovery service, with the endpoint list of the front's start."""
    front.configure_discovery(front.SETTINGS, front.discovery)
    old, new = (address_text(one.address) for one in (front.discovery, discovery))
    return front.configuration_file.read_text().replace(old, new)


def reload_with_discovery(front: FaultyFront, discovery: ScriptedDiscovery) -> None:
    """Makes the front reload a configuration that names another discovery service."""
    front.configuration_file.write_text(configuration_text(front, discovery))
    front.process.send_signal(signal.SIGHUP)


def assert_draining_cache_is_unused(front: FaultyFront, draining: ScriptedCache, requests: int) -> None:
    """Sends requests; asserts that each is served and none goes to the draining cache."""
    client = front.connect_client()
    for object_id in range(1, requests + 1):
        assert front.send_page_request(client, object_id).status == "ok"
    assert draining.attempts == []


@pytest.mark.parametrize(("delay", "pieces"), [(2.5, 1), (4.0, 1), (5.0, 10)])
def test_a_drain_is_received_from_a_slow_discovery_service(start_front, delay, pieces):
    """The service accepts at once, but its events take seconds or arrive in pieces."""
    draining, other_cache = scripted_caches()
    front = start_front(draining, other_cache)
    slow = SlowDiscovery(front.discovery, delay, pieces)
    slow.announce_draining(draining)
    announced_at = time.monotonic()
    front.discovery_services.append(slow)
    reload_with_discovery(front, slow)
    wait_until(lambda: front.events("configuration_reload"), 5.0)
    wait_until(
        lambda: front.counter("discovery.events") >= 1,
        DISCOVERY_SECONDS - (time.monotonic() - announced_at),
        0.1,
    )
    assert_draining_cache_is_unused(front, draining, 20)


def test_quick_reloads_do_not_cut_off_a_slow_discovery_service(start_front):
    """Each reload names the same service, and happens before that service has sent its first line."""
    draining, other_cache = scripted_caches()
    front = start_front(draining, other_cache)
    slow = SlowDiscovery(front.discovery, 2.5)
    slow.announce_draining(draining)
    front.discovery_services.append(slow)
    announced_at = time.monotonic()
    while not front.counter("discovery.events"):
        assert time.monotonic() - announced_at < DISCOVERY_SECONDS
        reload_with_discovery(front, slow)
        gevent.sleep(0.4)
    assert_draining_cache_is_unused(front, draining, 10)


@pytest.mark.parametrize("half_written", [False, True])
def test_a_configuration_that_cannot_be_read_yet_is_read_later(start_front, half_written):
    """SIGHUP arrives while the file is missing or half written, and is not sent again."""
    draining, other_cache = scripted_caches()
    front = start_front(draining, other_cache)
    other = ScriptedDiscovery(front.discovery)
    other.announce_draining(draining)
    front.discovery_services.append(other)
    text = configuration_text(front, other)
    if half_written:
        front.configuration_file.write_text(text[: len(text) // 2])
    else:
        front.configuration_file.unlink()
    front.process.send_signal(signal.SIGHUP)
    wait_until(lambda: front.events("configuration_reload"), 5.0)
    gevent.sleep(1.0)
    front.configuration_file.write_text(text)
    wait_until(lambda: front.counter("discovery.events") >= 1, DISCOVERY_SECONDS, 0.1)
    assert_draining_cache_is_unused(front, draining, 10)
