"""Receives the partial load views of another control node."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from ...fleet.load_view import AggregatedView
from ...runtime.error_guard import ErrorGuard
from ...runtime.units import SECOND_NS
from ...transport.sockets import READ_BUFFER
from ..front_client.connection import CONNECT_TIMEOUT_S, NotAControlNodeError, check_greeting
from ..line_buffer import LineBuffer
from ..messages import InvalidLineError, PartialViewsQuery, decode_stream_line, encode_request
from ..settings import NodeSettings
from .partial_view import MAX_LINE_BYTES, decode_partial_view

MAX_SILENT_PERIODS = 6  # view periods without data after which the connection is replaced
RETRY_PAUSE_S = 1.0  # delay before a reconnect


class PartialViewReader:
    """Receives the partial load views of one other node, with reconnects, until its greenlet is killed.

    Args:
        node: The node to connect to.
        deployment: The deployment that the node must name in its greeting.
        period_ns: Interval of the partial views, in nanoseconds.
        on_view: Called with each partial view.
        guard: Counts lost connections and records unexpected errors.
    """

    def __init__(
        self,
        node: NodeSettings,
        deployment: str,
        period_ns: int,
        on_view: Callable[[AggregatedView], None],
        guard: ErrorGuard,
    ) -> None:
        self.node = node
        self.deployment = deployment
        self.on_view = on_view
        self.guard = guard
        self.max_silence_s = MAX_SILENT_PERIODS * period_ns / SECOND_NS

    def run(self) -> None:
        """Connect and read partial views; reconnect whenever the connection ends."""
        while True:
            try:
                self._read_connection()
            except (OSError, InvalidLineError, NotAControlNodeError) as error:
                self.guard.counters.add(f"control.partial_views_lost.{type(error).__name__}")
            except Exception as error:
                self.guard.record("partial_views", error)
            gevent.sleep(RETRY_PAUSE_S)

    def _read_connection(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect(self.node.address)
            sock.sendall(encode_request(PartialViewsQuery()))
            sock.settimeout(max(self.max_silence_s, CONNECT_TIMEOUT_S))
            self._read_views(sock)

    def _read_views(self, sock: socket.socket) -> None:
        lines = LineBuffer(MAX_LINE_BYTES)
        greeted = False
        while size := sock.recv_into(READ_BUFFER):
            for line in lines.split(bytes(READ_BUFFER[:size])):
                if greeted:
                    self.on_view(decode_partial_view(line))
                else:
                    check_greeting(decode_stream_line(line), self.deployment, self.node.name)
                    greeted = True
        raise ConnectionResetError("the other control node closed the connection")
