"""A raw connection to a gateway's link listener, on which a test sends any frames."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from gevent import socket

from marbleglade.gateway.link import frames
from marbleglade.gateway.link.flow_control import MAX_CHUNK_BYTES
from marbleglade.gateway.link.messages import Hello, LinkMessage, RequestMessage
from tests.harness.regions import TwoRegions
from tests.harness.waiting import TIMEOUT_SECONDS

LINK_PORT = 2  # index of the link port in the ports of a gateway


def hello_frame(**changes: object) -> bytes:
    """The hello frame of gateway west-1 to region east; `changes` replaces fields."""
    fields: dict[str, Any] = {
        "version": 1,
        "region": "west",
        "gateway": "west-1",
        "start_ms": 1 << 40,
        "to_region": "east",
        "turn": 1,
        "opening": MAX_CHUNK_BYTES,
        "window": MAX_CHUNK_BYTES,
    }
    return frames.encode(Hello(**(fields | changes)))


def request_frame(number: int, **changes: object) -> bytes:
    """A forwarded request for a page of region east; `changes` replaces fields."""
    fields: dict[str, Any] = {
        "number": number,
        "trace": "t",
        "profile": "menu-pages",
        "thing": 8,
        "within_ms": 500,
        "passed": ["west"],
    }
    return frames.encode(RequestMessage(**(fields | changes)))


class LinkPeer:
    """A connection to the link listener of a gateway in region east."""

    def __init__(self, regions: TwoRegions, name: str = "east-1") -> None:
        self.sock = socket.create_connection(("127.0.0.1", regions.east.ports[name][LINK_PORT]))
        self.sock.settimeout(TIMEOUT_SECONDS)
        self.decoder = frames.LinkFrameDecoder()
        self.received: list[LinkMessage] = []

    def send(self, *data: bytes) -> LinkPeer:
        """Sends bytes, and returns this peer."""
        self.sock.sendall(b"".join(data))
        return self

    def send_messages(self, *messages: LinkMessage) -> LinkPeer:
        """Sends messages, and returns this peer."""
        return self.send(*map(frames.encode, messages))

    def receive(self, kind: type[LinkMessage]) -> LinkMessage:
        """Receives the next message of a type, and skips messages of other types before it."""
        while True:
            while self.received:
                message = self.received.pop(0)
                if isinstance(message, kind):
                    return message
            data = self.sock.recv(65536)
            assert data, f"gateway closed the connection before it sent a {kind.__name__}"
            self.received += self.decoder.feed(data)

    def is_closed(self) -> bool:
        """Waits until the gateway closes the connection; raises TimeoutError if it stays open."""
        with suppress(ConnectionError):
            while self.sock.recv(65536):
                pass
        return True
