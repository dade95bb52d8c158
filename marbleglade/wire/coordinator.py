"""The connection to the coordinator: follows its events and starts anew where it falls silent or is moved."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from gevent import socket
from gevent.event import Event as Signal

from ..runtime import clock
from ..runtime.guard import Guard
from .coordlines import (
    Beat,
    Event,
    Events,
    GarbledLineError,
    InvalidLineError,
    ListChange,
    Other,
    Purge,
    encode_follow,
)
from .sockets import chunks

BEAT = 1.0  # seconds: the protocol promises a line as often
SILENT = 2 * BEAT  # of whole lines: bytes alone are no sign of life


class Follower:
    def __init__(
        self,
        address: tuple[str, int],
        last: int,
        apply: Callable[[ListChange | Purge], None],
        guard: Guard,
        silent: float = SILENT,
        pause: float = BEAT / 4,
        anew: bool = False,
        complete: Callable[[], None] | None = None,
    ) -> None:
        self.address, self.last, self.apply, self.guard = address, last, apply, guard
        self.counters, self.silent, self.pause = guard.counters, silent, pause
        self.sock: socket.socket | None = None
        self.moved = Signal()
        self.complete = complete  # called at each heartbeat up to whose number all was taken in
        self.wanted = Signal()
        self.wanted.set()
        self.anew = anew  # a coordinator may begin anew, and count from 1 again
        self.heard_at = 0  # when it last said something; 0: never
        self.gap = -1  # the last number after which one was found to be missing
        self.garbled = -1  # the last number after which a line could not be read
        self.failed = -1  # the number of an event that could not be taken in

    def run(self) -> None:
        while True:
            self.wanted.wait()
            self.moved.clear()
            try:
                self._follow()
            except (OSError, InvalidLineError) as trouble:
                self.counters.add(f"coordinator.{type(trouble).__name__}")
            except Exception as trouble:
                self.guard.note("coordinator", trouble)
            self.moved.wait(self.pause)

    def move(self, address: tuple[str, int]) -> None:
        """Follows another address, from the last number and at once, whatever is being waited for."""
        self.address = address
        self.moved.set()
        if self.sock:
            self.sock.close()

    def stand_by(self) -> None:
        """Ends the connection and waits for `resume`; the last number is kept."""
        self.wanted.clear()
        if self.sock:
            self.sock.close()

    def resume(self) -> None:
        """Follows again from the last number, at once."""
        self.wanted.set()
        self.moved.set()

    def catch_up(self, events: Iterable[Event]) -> None:
        """Events told another way, by a new configuration; only what follows on is taken."""
        for event in events:
            if event.index == self.last + 1:
                with suppress(InvalidLineError):  # it comes again from the coordinator
                    self._heard(event)

    def _follow(self) -> None:
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.silent / 2)
            sock.connect(self.address)
            sock.sendall(encode_follow(self.last))
            self.counters.add("coordinator.connected")
            events, heard = Events(), clock.now()
            sock.settimeout(self.silent)
            for data in chunks(sock):
                for event in self._read(events, data):
                    self._heard(event)
                    if event.index >= self.last:  # who tells old numbers alone has fallen behind
                        heard = self.heard_at = clock.now()
                # Guards against bytes that come all the time and say nothing, on which no read ever waits.
                if (left := self.silent - (clock.now() - heard) / 1e9) <= 0:
                    raise TimeoutError("nothing but old numbers, or no whole line")
                sock.settimeout(left)
        finally:
            self.sock = None
            sock.close()

    def _read(self, events: Events, data: bytes | memoryview) -> Iterator[Event]:
        """A line that can't be read is asked for anew, but only once: the same may come again for ever, and
        what stands behind it would never be heard."""
        while True:
            try:
                yield from events.feed(data)
                return
            except GarbledLineError:
                if self.garbled != self.last:
                    self.garbled = self.last
                    raise
                self.counters.add("coordinator.passed_over")
                data = b""

    def _heard(self, event: Event) -> None:
        """Each number once and in turn. A gap is asked for anew, but only once: it may be all there is."""
        beat = isinstance(event, Beat)
        if beat and self.anew and event.index < self.last:
            self.counters.add("coordinator.anew")
            self.last, self.gap = 0, -1
            self.moved.set()  # asked for at once
            raise InvalidLineError("its numbers began anew")
        if event.index > (self.last if beat else self.last + 1) and self.gap != self.last:
            self.gap = self.last
            raise InvalidLineError("an event is missing")
        if beat or event.index <= self.last:
            self.counters.add("coordinator.doubled", not beat)
            if beat and self.complete and event.index == self.last:
                self.complete()
            return
        if isinstance(event, Other):
            self.counters.add("coordinator.unknown")
        else:
            try:
                self.apply(event)
            except Exception as trouble:
                # It is asked for once more before its number is used up: a drain may stand in it.
                self.guard.note("event", trouble)
                if self.failed != event.index:
                    self.failed = event.index
                    raise InvalidLineError("an event could not be taken in") from trouble
        self.last = event.index
        self.counters.add("coordinator.events")
