"""Races over loopback around endpoint lists; `docs/crossings.md` has a line for each.

Stub servers that hold back bytes and direct calls to the front force the order of events.
"""

from contextlib import suppress
from types import SimpleNamespace

import gevent
import pytest

from marbleglade.model.upstream import UpstreamState
from marbleglade.runtime import clock
from marbleglade.transport.discovery_watch import WatchClient
from marbleglade.transport.event_sequence import WatchCallbacks
from tests.harness.messages import REQUEST_ID, resp_array, with_entity_fields
from tests.harness.servers import LineServer
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until


@pytest.fixture
def event_applier(front):
    """An object that applies events to the front; tests may replace its `apply`."""
    return SimpleNamespace(apply=front.request_handler.events.apply_and_publish)


@pytest.fixture
def running_watch(front, event_applier):
    """A running watch whose events the front applies, and a function for the service's side of it.

    The function waits for the n-th connection (from 1), checks its request and returns its socket.
    """
    service = LineServer()
    callbacks = WatchCallbacks(lambda event: event_applier.apply(event))
    client = WatchClient(
        service.address, 4, callbacks, front.guard, silence_timeout_s=0.2, retry_pause_s=0.001
    )
    loop = gevent.spawn(client.run)

    def accepted(number, request):
        wait_until(lambda: len(service.lines) >= number)
        assert service.lines[number - 1] == request
        return service.sockets[number - 1]

    yield client, accepted
    loop.kill()
    service.close()


def entry(id, state="active", address="127.0.0.1:9"):
    return (
        f'{{"id":"{id}","addr":"{address}","zone":"z","kind":"box","cell":0,"state":"{state}",'
        f'"started_ms":0}}'
    )


def change(index, *entries, complete="false"):
    return f'{{"index":{index},"endpoints":{{"full":{complete},"servers":[{",".join(entries)}]}}}}\n'.encode()


def states(front):
    return {registered.id: registered.upstream.state for registered in front.upstreams.by_id.values()}


def test_an_unreadable_entry_does_not_hide_the_drain_of_another(front, running_watch):
    client, accepted = running_watch
    sock = accepted(1, "follow 4")
    sock.sendall(change(5, entry("s1"), entry("s2"), entry("s3")))
    sock.sendall(change(6, entry("s2", "odd"), entry("s1", "leaving")))
    wait_until(lambda: client.last_index == 6)
    assert states(front) == {
        "s1": UpstreamState.DRAINING,
        "s2": UpstreamState.DRAINING,
        "s3": UpstreamState.ACTIVE,
    }
    sock.sendall(change(7, entry("s2", address="nowhere"), entry("s3"), complete="true"))
    wait_until(lambda: client.last_index == 7)
    assert states(front) == {"s2": UpstreamState.DRAINING, "s3": UpstreamState.ACTIVE}
    sock.sendall(change(8, entry("s2")))
    wait_until(lambda: states(front)["s2"] is UpstreamState.ACTIVE)


def test_a_line_that_stays_undecodable_does_not_hide_the_drain_behind_it(front, running_watch):
    client, accepted = running_watch
    for number in (1, 2, 3):
        with suppress(OSError):
            accepted(number, "follow 4").sendall(b"garbage\n" + change(6, entry("s1", "leaving")) + b"6\n")
    wait_until(lambda: client.last_index == 6)
    assert (
        states(front)["s1"] is UpstreamState.DRAINING and front.counters.counts["discovery.skipped_line"] == 2
    )


def test_an_event_that_cannot_be_applied_is_requested_once_more(front, running_watch, event_applier):
    client, accepted = running_watch
    apply, attempts = event_applier.apply, [1, 2, 3]
    event_applier.apply = lambda event: apply(event) if event.index != 5 or attempts.pop() < 3 else 1 // 0
    accepted(1, "follow 4").sendall(change(5, entry("s1", "leaving")))
    accepted(2, "follow 4").sendall(change(5, entry("s1", "leaving")))
    wait_until(lambda: client.last_index == 5)
    assert states(front)["s1"] is UpstreamState.DRAINING and front.counters.counts["exception.event"] == 1
    event_applier.apply = lambda _event: 1 // 0
    accepted(2, "follow 4").sendall(change(6, entry("s1")))
    accepted(3, "follow 5").sendall(change(6, entry("s1")) + b"6\n")  # the event is skipped
    wait_until(lambda: client.last_index == 6)


@pytest.mark.parametrize("sent", [b"", b'{"index":5,"endpo', b"3\n"])
def test_an_unresponsive_connection_delays_a_drain_by_two_silence_timeouts_at_most(
    front, running_watch, sent
):
    client, accepted = running_watch
    started_at = clock.now()
    first = accepted(1, "follow 4")

    def send_old_index():  # a service that sends only old indexes lags behind
        while sent.endswith(b"\n"):
            first.sendall(sent)
            gevent.sleep(0.02)

    sender = gevent.spawn(send_old_index)
    first.sendall(sent)
    accepted(2, "follow 4")  # the service accepts the connection and sends nothing on it
    accepted(3, "follow 4").sendall(change(5, entry("s1", "leaving")))
    wait_until(lambda: client.last_index == 5)
    sender.kill()
    assert states(front)["s1"] is UpstreamState.DRAINING
    # Two time-outs of 0.2 s each, with a margin. In production they are 2 s each, and the settings allow 7 s.
    assert clock.now() - started_at < 1000 * NS_PER_MS


def test_an_attempt_at_an_upstream_that_is_removed_still_gets_its_response(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    front.apply_endpoints("s2", complete=True)
    front.cache.sockets[0].sendall(with_entity_fields(REQUEST_ID + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == resp_array(b"7", b"ok", b"", b"x") and list(states(front)) == ["s2"]
    wait_until(lambda: front.upstream_client.connection_count == 0)
