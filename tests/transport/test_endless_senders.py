"""Peers that send without a pause: reads that find bytes never block, yet other greenlets must run."""

import gevent
import pytest

from marbleglade.gateway.link.connection import LinkConnection
from marbleglade.runtime import clock
from marbleglade.transport import discovery_watch
from marbleglade.transport.arrival import ArrivalBound
from marbleglade.transport.client_connection import ClientConnection
from marbleglade.transport.discovery_watch import WatchClient
from marbleglade.transport.event_sequence import WatchCallbacks
from marbleglade.transport.peer_datagrams import PeerSocket
from marbleglade.transport.sockets import CALLS_PER_TURN
from marbleglade.transport.upstream_connection import EndpointPool, UpstreamConnection
from marbleglade.transport.watch_connection import WatchConnection
from tests.harness.waiting import TIMEOUT_SECONDS


class EndlessSocket:
    """A socket on which each of `reads` reads finds the same bytes; then the stream ends.

    Attributes:
        data: The bytes that each read finds.
        reads_left: The number of reads until the end.
        longest_turn: The most reads between two turns of another greenlet.
    """

    def __init__(self, data: bytes = b"x", reads: int = 1000) -> None:
        self.data = data
        self.reads_left = reads
        self.longest_turn = 0
        self._reads_in_turn = 0
        gevent.spawn(self._take_turns)

    def _take_turns(self) -> None:
        while self.reads_left > 0:
            self._reads_in_turn = 0
            gevent.sleep(0)

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        self.reads_left -= 1
        self._reads_in_turn += 1
        self.longest_turn = max(self.longest_turn, self._reads_in_turn)
        if self.reads_left <= 0:
            return 0
        buffer[: len(self.data)] = self.data
        return len(self.data)

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        if not self.recv_into(bytearray(size)):
            raise gevent.GreenletExit
        return self.data, ("127.0.0.1", 9)

    def sendall(self, data: object) -> None:
        pass

    settimeout = connect = sendall

    def setsockopt(self, level: int, option: int, value: int) -> None:
        pass

    def close(self) -> None:
        pass


def read_client(front, sock, input_ended):
    client = ClientConnection(sock, clock.now, ArrivalBound(front.loop_monitor, clock.now()), {})
    client.input_ended = input_ended
    front.client_listener.reader.run(client)


def read_invalid_frames(front, sock):
    read_client(front, sock, input_ended=True)


def read_partial_frame(front, sock):
    front.client_listener.reader._decode_and_dispatch = lambda _client, _data, _earliest_arrival: None
    read_client(front, sock, input_ended=False)


def read_upstream(front, sock):
    upstream = front.upstreams.by_id["s1"].upstream
    pool = front.upstream_client.pool.by_upstream.setdefault(upstream, EndpointPool())
    front.upstream_client.reader.run(UpstreamConnection(sock, pool))


def read_peers(front, sock):
    peers = PeerSocket(("127.0.0.1", 0), [], 7, None, None, None, front.guard)
    peers.sock.close()
    peers.sock = sock
    gevent.spawn(peers.run).join(TIMEOUT_SECONDS)


def read_link(front, sock):
    connection = LinkConnection(sock, TIMEOUT_SECONDS * 1_000_000_000, front.guard, front.loop_monitor)
    connection.frames.feed = lambda _data: []
    connection.read_until_closed({})


@pytest.mark.parametrize(
    ("read", "data"),
    [
        (read_invalid_frames, b"x"),
        (read_partial_frame, b"$"),
        (read_upstream, b"t9 SHED - 0\r\n\r\n"),
        (read_peers, b"x"),
        (read_link, b"x"),
    ],
)
def test_other_greenlets_run_while_a_peer_sends_without_a_pause(front, read, data):
    sock = EndlessSocket(data)
    gevent.sleep(0)
    read(front, sock)
    assert sock.reads_left <= 0 and sock.longest_turn <= CALLS_PER_TURN


@pytest.mark.parametrize("line", [b"3\n", b"x"])
def test_a_discovery_service_that_sends_without_a_pause_but_nothing_new_counts_as_silent(
    front, monkeypatch, line
):
    """No read on its connection ever blocks, so the time-out of a read never expires."""
    sock = EndlessSocket(line, 300_000)  # lasts for some seconds
    socket_module = type(
        "SocketModule", (), {"AF_INET": 0, "SOCK_STREAM": 0, "socket": lambda _self, *_: sock}
    )
    monkeypatch.setattr(discovery_watch, "socket", socket_module())
    callbacks = WatchCallbacks(front.request_handler.events.apply_and_publish)
    client = WatchClient(("127.0.0.1", 9), 4, callbacks, front.guard, silence_timeout_s=0.1)
    with pytest.raises(TimeoutError):
        client._follow(WatchConnection(sock, client._loop))
    sock.reads_left = 0
