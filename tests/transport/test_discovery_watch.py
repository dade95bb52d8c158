"""Watches of the discovery service over loopback: which connections are opened, and from which index."""

from contextlib import suppress

import gevent
import pytest
from gevent import socket

from marbleglade.transport.discovery_watch import MAX_CONNECTIONS, WatchClient
from marbleglade.transport.event_sequence import WatchCallbacks
from tests.harness.messages import GROUP_PURGE_LINE
from tests.harness.servers import LineServer
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until


def create_watch_client(address, apply, guard, silence_timeout_s=0.1, retry_pause_s=0.001):
    """Return a watch client whose last index is 4."""
    return WatchClient(
        address,
        4,
        WatchCallbacks(apply),
        guard,
        silence_timeout_s=silence_timeout_s,
        retry_pause_s=retry_pause_s,
    )


def test_a_watch_continues_from_the_last_index(front):
    service, events = LineServer(), []
    loop = gevent.spawn(create_watch_client(service.address, events.append, front.guard).run)
    assert service.wait_for_lines(1) == "follow 4"
    service.sockets[0].sendall(
        GROUP_PURGE_LINE % (4, 1)
        + GROUP_PURGE_LINE % (5, 2)
        + b"5\n"
        + GROUP_PURGE_LINE % (6, 3)
        + b"garbage\n"
    )
    assert service.wait_for_lines(2) == "follow 6"  # a line could not be decoded
    service.sockets[1].sendall(b"9\n")
    assert service.wait_for_lines(3) == "follow 6"  # an event is missing
    service.sockets[2].sendall(
        b"9\n" + GROUP_PURGE_LINE % (7, 4) + GROUP_PURGE_LINE % (7, 4) + b'{"index":8,"new":{}}\n8\n'
    )
    service.sockets[2].sendall(GROUP_PURGE_LINE % (11, 5))
    assert service.wait_for_lines(4) == "follow 8"  # events are missing
    service.sockets[3].sendall(
        GROUP_PURGE_LINE % (11, 5) + GROUP_PURGE_LINE % (12, 5) + GROUP_PURGE_LINE % (9, 5)[:20]
    )
    assert service.wait_for_lines(5) == "follow 12"  # gaps were accepted, then a partial line came
    service.sockets[4].close()
    assert service.wait_for_lines(6) == "follow 12"
    loop.kill()
    service.close()
    assert [event.index for event in events] == [5, 6, 7, 11, 12]


def test_bytes_without_a_line_end_count_as_silence(front):
    service = LineServer()
    loop = gevent.spawn(create_watch_client(service.address, None, front.guard).run)
    service.wait_for_lines(1)
    with suppress(OSError), gevent.Timeout(TIMEOUT_SECONDS):
        while len(service.lines) < 2:
            service.sockets[0].sendall(b" ")
            gevent.sleep(0.02)
    assert service.lines == ["follow 4"] * 2
    loop.kill()
    service.close()


@pytest.mark.parametrize("state", ["reading", "connecting", "waiting"])
def test_a_new_address_is_followed_at_once_from_the_last_index(front, state):
    old, new = LineServer(), LineServer()
    if state == "connecting":  # no connection is accepted, and the backlog is full
        old.accept_loop.kill()
        queued = [socket.socket() for _ in range(40)]
        for sock in queued:
            sock.settimeout(0.0)
            with suppress(OSError):
                sock.connect(old.address)
    elif state == "waiting":
        old.close()
    client = create_watch_client(old.address, lambda _event: None, front.guard, 60, 60)
    loop = gevent.spawn(client.run)
    if state == "reading":
        old.wait_for_lines(1)
        old.sockets[0].sendall(GROUP_PURGE_LINE % (5, 1))
        wait_until(lambda: client.last_index == 5)
    gevent.sleep(0.01)
    for _ in range(2):
        client.reconnect(new.address)
        gevent.sleep(0.01)
    assert new.wait_for_lines(1) == ("follow 5" if state == "reading" else "follow 4")
    loop.kill()
    new.close()


@pytest.fixture
def running_watch(front):
    """A stub service, a running watch of it, and the list of events that the watch passed on."""
    service, events = LineServer(), []
    client = create_watch_client(service.address, events.append, front.guard, silence_timeout_s=0.05)
    loop = gevent.spawn(client.run)
    yield service, client, events
    loop.kill()
    service.close()


def test_the_first_connection_that_receives_a_line_is_kept_and_the_others_close(running_watch):
    service, client, events = running_watch
    service.wait_for_lines(3)
    service.sockets[0].sendall(GROUP_PURGE_LINE % (5, 1))  # the oldest connection, which is still open
    wait_until(lambda: client.last_index == 5)
    assert len(client.connections) == 1 and [service.sockets[n].recv(1) for n in (1, 2)] == [b"", b""]
    service.sockets[0].sendall(GROUP_PURGE_LINE % (6, 1))
    wait_until(lambda: [event.index for event in events] == [5, 6])


def test_connections_are_bounded_and_the_waits_between_them_grow(running_watch):
    service, client, _ = running_watch
    service.wait_for_lines(3)
    gevent.sleep(0.5)
    # They are opened at about 0, 0.05, 0.15, 0.35 and 0.75 s.
    assert len(service.lines) <= 5 and len(client.connections) <= MAX_CONNECTIONS
    assert set(service.lines) == {"follow 4"}


def test_one_connection_that_receives_lines_is_enough(running_watch):
    service, client, _ = running_watch
    service.wait_for_lines(1)
    for index in range(5, 15):
        service.sockets[0].sendall(GROUP_PURGE_LINE % (index, 1))
        gevent.sleep(0.02)
    assert service.lines == ["follow 4"] and client.last_index == 14
