"""Invalid messages on a link: only the connection on which they are received is closed."""

import time

import gevent
import pytest

from marbleglade.gateway.link import frames
from marbleglade.gateway.link.messages import (
    BodyChunk,
    CancelMessage,
    ConnectionRefused,
    CreditGrant,
    Heartbeat,
    Hello,
    PurgeMessage,
    PurgesComplete,
    ResponseHead,
    StatusQuery,
    StatusReply,
)
from marbleglade.protocols.cache_protocol import UpstreamRequest
from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.sockets import listening_socket
from tests.harness.link_peer import LINK_PORT, LinkPeer, hello_frame, request_frame
from tests.harness.region_requests import WEST, version_after_retries
from tests.harness.waiting import wait_until

HELLO = hello_frame()


@pytest.mark.parametrize(
    "hello, reason",
    [
        (hello_frame(region="south"), "no such gateway there"),
        (hello_frame(to_region="west"), "this is not west"),
        (hello_frame(gateway="east-2"), "no such gateway there"),
        (hello_frame(gateway="west-9"), "no such gateway there"),
    ],
)
def test_a_gateway_that_is_not_in_the_deployment_is_refused(west_gateways_stopped, hello, reason):
    peer = LinkPeer(west_gateways_stopped).send(hello, request_frame(1))
    assert peer.receive(ConnectionRefused).why == reason
    assert peer.is_closed()


@pytest.mark.parametrize(
    "data",
    [
        b"ASK 1",
        hello_frame(version=7),
        request_frame(1),
        HELLO * 2,
        HELLO + request_frame(1) * 2,
        HELLO + request_frame(5) + request_frame(4),
        HELLO + request_frame(1, passed=["south"]),
        HELLO + frames.encode(BodyChunk(number=9, data=b"a")),
        HELLO + request_frame(1, body=10) + frames.encode(BodyChunk(number=1, data=b"a" * 11)),
        HELLO + request_frame(1, body=10) + frames.encode(BodyChunk(number=1, at=3, data=b"a")),
        HELLO + frames.encode(CreditGrant(number=0, bytes=50)),  # acknowledges bytes that were never sent
        HELLO + frames.encode(PurgeMessage(index=1, thing=1, at_ms=1)),
        HELLO + frames.encode(PurgesComplete()),
        HELLO + b"\0\1\0\0",
        HELLO + b"\0\0\0\4abcd",
    ],
)
def test_invalid_data_closes_only_its_own_connection(west_gateways_stopped, data):
    other = LinkPeer(west_gateways_stopped).send(hello_frame(gateway="west-2"))
    assert other.receive(Hello).region == "east"
    assert LinkPeer(west_gateways_stopped).send(data).is_closed()
    assert other.send(request_frame(1)).receive(ResponseHead).word == ResponseHead.SETTLED


@pytest.mark.parametrize(
    "changes, word",
    [
        ({"passed": ["east", "west"]}, ResponseHead.LACKING),
        ({"profile": "odd"}, ResponseHead.BROKEN_OFF),
        ({"thing": WEST | 4}, ResponseHead.LACKING),  # no such object in the east
    ],
)
def test_a_request_that_cannot_be_served_gets_a_response_and_the_link_stays_up(
    west_gateways_stopped, changes, word
):
    peer = LinkPeer(west_gateways_stopped).send(HELLO)
    assert peer.send(request_frame(1, **changes)).receive(ResponseHead).word == word
    assert peer.send(request_frame(2)).receive(ResponseHead).word == ResponseHead.SETTLED


def test_a_new_connection_replaces_the_older_one_and_continues_its_requests(west_gateways_stopped):
    first = LinkPeer(west_gateways_stopped).send(HELLO, request_frame(1))
    assert first.receive(ResponseHead).number == 1
    second = LinkPeer(west_gateways_stopped).send(hello_frame(turn=2))
    assert first.is_closed()
    second.send_messages(StatusQuery(number=1))
    assert second.receive(StatusReply).state == StatusReply.ANSWERED
    assert second.receive(ResponseHead).number == 1
    second.send_messages(CancelMessage(number=1, had=True), StatusQuery(number=1))
    assert second.receive(StatusReply).state == StatusReply.NEVER


def test_a_request_after_its_status_never_received_closes_the_link(west_gateways_stopped):
    peer = LinkPeer(west_gateways_stopped).send(HELLO).send_messages(StatusQuery(number=7))
    assert peer.receive(StatusReply).state == StatusReply.NEVER
    assert peer.send(request_frame(7)).is_closed()


@pytest.mark.parametrize(
    "reply",
    [
        [hello_frame(region="south")],
        [hello_frame(gateway="west-2")],
        [HELLO, *[frames.encode(PurgeMessage(index=2, thing=1, at_ms=1))] * 2],
        [HELLO, frames.encode(BodyChunk(number=99, data=b"a"))],
        [HELLO, frames.encode(PurgesComplete(index=3)), frames.encode(PurgesComplete(index=2))],
        [HELLO, frames.encode(Heartbeat(sent_ns=1, echo_ns=1 << 63, came_ns=5))],
        [HELLO, request_frame(1)],
        [b"HTTP/1.1 400 Bad Request\r\n\r\n"],
    ],
)
def test_an_invalid_reply_closes_the_link_and_the_local_region_is_served(west_gateways_stopped, reply):
    """A stand-in replies on the address of a gateway that was stopped."""
    listener = listening_socket(("127.0.0.1", west_gateways_stopped.west.ports["west-1"][LINK_PORT]))
    closed = []

    def reply_to_all():
        while True:
            sock, _ = listener.accept()
            sock.sendall(b"".join(reply))
            while sock.recv(4096):
                pass
            closed.append(sock)

    replying = gevent.spawn(reply_to_all)
    wait_until(lambda: len(closed) > 1)
    assert not any(link.up for link in west_gateways_stopped.links())
    assert version_after_retries(west_gateways_stopped.client(), 8) == 1
    replying.kill()
    listener.close()


@pytest.mark.parametrize("body", [0, 10])
def test_the_deadline_of_a_forwarded_request_counts_from_its_arrival(
    west_gateways_stopped, monkeypatch, body
):
    """The process is blocked for 0.4 s before it reads the request, so the timeout is shortened by that."""
    timeouts_ms = []
    respond = StandInUpstream._respond

    def record_timeout(upstream, request):
        if isinstance(request, UpstreamRequest):
            timeouts_ms.append(request.timeout_ms)
        return respond(upstream, request)

    monkeypatch.setattr(StandInUpstream, "_respond", record_timeout)
    peer = LinkPeer(west_gateways_stopped).send(HELLO)
    peer.receive(Hello)
    gevent.sleep(0.1)
    peer.send(request_frame(1, thing=1 << 20 | 4, within_ms=2000, body=body))
    if body:
        peer.send_messages(BodyChunk(number=1, data=b"x" * body))
    time.sleep(0.4)
    assert peer.receive(ResponseHead).word in (
        ResponseHead.SETTLED,
        ResponseHead.SAME,
        ResponseHead.BROKEN_OFF,
        ResponseHead.LACKING,
    )
    assert timeouts_ms and max(timeouts_ms) <= 2000 - 400 + 150
