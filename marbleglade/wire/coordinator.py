"""The connection to the coordinator: follows its events and starts anew where it falls silent."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from ..life.guard import Guard
from .coordlines import BadLine, Beat, Events, ListChange, Purge, encode_follow

CHUNK = 1 << 16
BEAT = 1.0          # seconds: the protocol promises a line as often
SILENT = 3 * BEAT


class Follower:
    def __init__(self, address: tuple[str, int], last: int, apply: Callable[[ListChange | Purge], None],
                 guard: Guard, silent: float = SILENT, pause: float = BEAT / 4) -> None:
        self.address, self.last, self.apply, self.guard = address, last, apply, guard
        self.counters, self.silent, self.pause = guard.counters, silent, pause

    def run(self) -> None:
        while True:
            try:
                self._follow()
            except (OSError, BadLine) as trouble:
                self.counters.add(f"coordinator.{type(trouble).__name__}")
            except Exception as trouble:
                self.guard.note("coordinator", trouble)
            gevent.sleep(self.pause)

    def _follow(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.silent)        # of each call: a silent one means to start anew
            sock.connect(self.address)
            sock.sendall(encode_follow(self.last))
            self.counters.add("coordinator.connected")
            events = Events()
            while data := sock.recv(CHUNK):
                for event in events.feed(data):
                    if isinstance(event, Beat):
                        if event.index > self.last:
                            raise BadLine("an event is missing")
                    elif event.index > self.last:
                        self.last = event.index
                        self.apply(event)
                        self.counters.add("coordinator.events")
        finally:
            sock.close()
