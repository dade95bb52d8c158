"""Socket calls: retries after transient errors, writes with a time limit, accepting after an exception."""

import errno
import time

import gevent
import pytest
from gevent import socket

from marbleglade.fleet.anti_entropy import AntiEntropy
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.runtime.timeouts import TimeLimit
from marbleglade.transport import half_close, sockets
from marbleglade.transport.peer_datagrams import PeerSocket
from marbleglade.transport.timed_write import send_within
from tests.harness.servers import bound_socket
from tests.harness.stalled_loop import FakeLoopMonitor
from tests.harness.waiting import wait_until


class FailingSocket:
    """A socket whose first `failures` reads fail with the error number `error`."""

    def __init__(self, error: int, failures: int) -> None:
        self.error, self.failures_left, self.calls = error, failures, 0

    def recv_into(self, buffer: memoryview) -> int:
        self.calls += 1
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(self.error, "failed")
        return 1

    def recv(self, size: int, flags: int) -> bytes:
        return bytes(self.recv_into(memoryview(b"")))

    def gettimeout(self) -> None:
        return None

    def settimeout(self, seconds: float | None) -> None:
        pass


@pytest.mark.parametrize(
    ("error", "failures", "calls"),
    [
        (errno.ENOMEM, 3, 4),
        (errno.ENOBUFS, 10_000, sockets.MAX_RETRIES + 1),  # gives up after `MAX_RETRIES` retries
        (errno.ECONNRESET, 1, 1),
    ],
)
def test_a_call_with_a_transient_error_is_retried_up_to_a_limit(monkeypatch, error, failures, calls):
    monkeypatch.setattr(sockets, "RETRY_PAUSE_S", 0)
    sock = FailingSocket(error, failures)
    if calls == failures + 1:
        assert sockets.receive_into(sock, memoryview(bytearray(1))) == 1
    else:
        with pytest.raises(OSError) as raised:
            sockets.receive_into(sock, memoryview(bytearray(1)))
        assert raised.value.errno == error
    assert sock.calls == calls


def test_a_write_to_a_peer_that_reads_nothing_ends_at_its_limit():
    ours, theirs = socket.socketpair()
    loop = FakeLoopMonitor()
    loop.now = time.monotonic_ns
    started_at = time.monotonic()
    assert not send_within(ours, bytes(1 << 24), TimeLimit(loop, loop.now() + 100_000_000))
    assert 0.1 <= time.monotonic() - started_at < 1.0
    theirs.close()
    with pytest.raises(OSError):
        send_within(ours, b"x", TimeLimit(loop, loop.now() + 100_000_000))
    ours.close()


def test_an_exception_in_handling_a_connection_does_not_end_accepting():
    accepted, listener = [], bound_socket()
    guard = ErrorGuard(Counters(), Log("t", Counters(), sink=2))

    def handle(sock: socket.socket) -> None:
        accepted.append(sock)
        if len(accepted) == 1:
            raise ZeroDivisionError

    serving = gevent.spawn(sockets.accept_forever, listener, 0.01, lambda: None, guard, handle)
    first, second = (socket.create_connection(listener.getsockname()) for _ in range(2))
    wait_until(lambda: len(accepted) == 2)
    assert first.recv(1) == b"" and guard.counters.counts["exception.accept"] == 1
    serving.kill()
    for sock in (first, second, *accepted, listener):
        sock.close()


def test_datagrams_wait_until_their_address_is_free(front):
    """A front starts without datagrams while their address is in use, and binds it once it is free."""
    reserved = bound_socket(socket.SOCK_DGRAM)
    other = bound_socket(socket.SOCK_DGRAM)
    anti_entropy = AntiEntropy(1_000_000_000, 1_000_000_000, time.monotonic_ns())
    addresses = reserved.getsockname(), [reserved.getsockname(), other.getsockname()], 7, anti_entropy
    peers = PeerSocket(*addresses, lambda _update: None, lambda: 0, front.guard)
    running = gevent.spawn(peers.run)
    peers.send_data(b"x", other.getsockname())
    assert front.counters.counts["peer.not_sent"] == 1  # its peer would ignore any other sender address
    reserved.close()
    wait_until(lambda: peers.is_bound)
    peers.send_data(b"y", other.getsockname())
    assert other.recvfrom(10) == (b"y", addresses[0])
    running.kill()
    other.close()


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOBUFS])
def test_a_transient_error_of_peek_proves_neither_the_end_nor_an_empty_socket(error):
    """Otherwise a connection in use could be taken for one that has ended or has no unread bytes."""
    sock = FailingSocket(error, 10)
    assert sockets.receive_available(sock) is None
    assert sockets.peek(sock) is None
    assert not sockets.has_ended(sock) and sockets.has_unread_bytes(sock)


def test_a_transient_error_of_poll_does_not_count_as_the_end(monkeypatch):
    class FailingPoll:
        def register(self, *arguments: int) -> None:
            pass

        def poll(self, timeout: int) -> list:
            raise OSError(errno.ENOMEM, "failed")

    monkeypatch.setattr(half_close.select, "poll", FailingPoll)
    ours, theirs = socket.socketpair()
    assert half_close.unread_input(ours) == half_close.UnreadInput(ended=False, readable=True)
    ours.close()
    theirs.close()
