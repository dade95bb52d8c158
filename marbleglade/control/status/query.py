"""Queries the status of all control nodes concurrently."""

from __future__ import annotations

import gevent
from gevent import socket

from ..messages import StatusQuery, encode_request
from ..settings import ControlSettings, NodeSettings
from .merge import NodeAnswer
from .node_status import MAX_STATUS_BYTES, InvalidStatusError, decode_status


def query_all(settings: ControlSettings, timeout: float) -> list[NodeAnswer]:
    """Query all nodes, each with a timeout in seconds; the answers have the order of the settings."""
    greenlets = [gevent.spawn(_query, node, timeout) for node in settings.nodes]
    gevent.joinall(greenlets)
    return [greenlet.value for greenlet in greenlets]


def _query(node: NodeSettings, timeout: float) -> NodeAnswer:
    try:
        with gevent.Timeout(timeout, TimeoutError(f"no answer within {timeout:g} s")):
            return NodeAnswer(node.name, decode_status(_fetch_status_line(node.address)))
    except (OSError, InvalidStatusError) as error:
        return NodeAnswer(node.name, None, str(error))


def _fetch_status_line(address: tuple[str, int]) -> bytes:
    with socket.create_connection(address) as sock:
        sock.sendall(encode_request(StatusQuery()))
        answer = bytearray()
        while not answer.endswith(b"\n"):
            data = sock.recv(1 << 16)
            if not data:
                raise InvalidStatusError("the connection ended before the status line was complete")
            answer += data
            if len(answer) > MAX_STATUS_BYTES:
                raise InvalidStatusError(f"the status line is longer than {MAX_STATUS_BYTES} bytes")
        return bytes(answer)
