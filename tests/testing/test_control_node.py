"""The stand-in control node conforms to the control protocol."""

import gevent
import pytest
from gevent import socket

from marbleglade.control.messages import Greeting, decode_stream_line
from marbleglade.model.watch_event import Heartbeat
from marbleglade.testing.control_node import StandInControlNode

TWO_HEARTBEATS_SECONDS = 1.2  # long enough for two heartbeats of the stand-in


@pytest.fixture
def node():
    node = StandInControlNode("c1", "d", "s1")
    yield node
    node.close()


def connect(node):
    connection = socket.create_connection(node.address, timeout=5)
    return connection, connection.makefile("rb")


def test_no_heartbeat_is_sent_to_a_front_before_its_greeting(node):
    connection, received = connect(node)
    gevent.sleep(TWO_HEARTBEATS_SECONDS)
    connection.sendall(b"front f1 1 -\nfollow 0\n")
    assert isinstance(decode_stream_line(received.readline()), Greeting)
    assert decode_stream_line(received.readline()) == Heartbeat(0)
    assert decode_stream_line(received.readline()) == Heartbeat(0)


def test_an_event_published_before_the_follow_line_is_sent_once_after_the_greeting(node):
    connection, received = connect(node)
    gevent.sleep(0.1)  # lets the node accept the connection
    assert node.purge(7, 0, 100) == 1
    connection.sendall(b"front f1 1 -\nfollow 0\n")
    assert isinstance(decode_stream_line(received.readline()), Greeting)
    assert decode_stream_line(received.readline()).index == 1
    assert decode_stream_line(received.readline()) == Heartbeat(1)
