"""Input at the listeners for fronts and clients: it is answered, or its connection is closed if invalid."""

import pytest
from gevent import socket

from tests.harness.waiting import TIMEOUT_SECONDS

CLIENTS_PORT, CACHE_SERVER_PORT = 0, 1  # indices in a gateway's list of ports
EAST_PAGE = b"do a1 profile=menu-pages,thing=0000000000000008,nth=0,max=900"


def connect(regions, port):
    sock = socket.create_connection(("127.0.0.1", regions.east.ports["east-1"][port]))
    sock.settimeout(TIMEOUT_SECONDS)
    return sock


def receive_up_to(sock, size):
    """Returns the received bytes once there are at least `size` of them or the connection is closed."""
    received = b""
    while len(received) < size:
        data = sock.recv(65536)
        if not data:
            break
        received += data
    return received


@pytest.mark.parametrize(
    "data, response",
    [
        (EAST_PAGE + b" 0\r\n\r\n", b"a1 HIT entity="),
        (EAST_PAGE + b",f=have-only 0\r\n\r\n", b"a1 NONE - 0"),
        (b"do a1 profile=odd,thing=0000000000000008,nth=0,max=900 0\r\n\r\n", b"a1 FAULT - 0"),
        (b"do a1 profile=menu-pages,thing=8,nth=0,max=900 0\r\n\r\n", b"a1 FAULT - 0"),
        (b"do a1 profile=menu-pages,thing=0000000000000008,nth=0,max=0 0\r\n\r\n", b"a1 FAULT - 0"),
        (EAST_PAGE + b",f=odd 0\r\n\r\n", b"a1 FAULT - 0"),
        (b"do a1 profile=menu-pages,thing=8000000000000008,nth=0,max=900 0\r\n\r\n", b"a1 HIT entity="),
        (
            b"do a1 profile=menu-pages,thing=0800000000000008,nth=0,max=900,within=5 0\r\n\r\n",
            b"a1 HIT entity=",
        ),
        (b"ping x\r\n", b"x PONG - 0"),
        (b"top x\r\n", b"x PONG report=inflight:0 0"),
        (b"undo never\r\nping x\r\n", b"x PONG - 0"),
    ],
)
def test_a_command_of_a_front_is_answered(two_regions, data, response):
    with connect(two_regions, CACHE_SERVER_PORT) as sock:
        sock.sendall(data)
        assert receive_up_to(sock, len(response)).startswith(response)


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n",
        b"do a1 - 9999999\r\n",
        b"do a1 - -1\r\n",
        b"ping\r\n",
        b"do a1 a=1,a=2 0\r\n\r\n",
        b"do a1 - 2\r\nabc\r\n",
        b"x" * 5000,
        b"\xff\xfe\r\n",
        b"do a1 profile 0\r\n\r\n",
    ],
)
def test_invalid_input_of_a_front_closes_its_connection_without_an_answer(two_regions, data):
    with connect(two_regions, CACHE_SERVER_PORT) as sock:
        sock.sendall(data)
        assert sock.recv(10) == b""


@pytest.mark.parametrize(
    "data, word",
    [
        (b"*2\r\n$6\r\nSTATUS\r\n$1\r\n8\r\n", b"yes"),
        (b"*4\r\n$3\r\nASK\r\n$1\r\n7\r\n$3\r\nodd\r\n$1\r\nx\r\n", b"fault"),
    ],
)
def test_a_command_of_a_client_is_answered(two_regions, data, word):
    with connect(two_regions, CLIENTS_PORT) as sock:
        sock.sendall(data)
        assert word in sock.recv(4096)


def test_invalid_input_of_a_client_closes_its_connection(two_regions):
    with connect(two_regions, CLIENTS_PORT) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert sock.recv(4096) == b""
