"""One connection of a link: frames in, what waits in its outbox out, and an end when it falls silent."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event
from google.protobuf.message import Message

from ..life import clock
from ..life.guard import Guard
from ..wire.sockets import SCRATCH
from .frames import BadFrame, Frames, encode
from .link_pb2 import Beat, Chunk, Credit
from .windows import CHUNK, Outbox, Overrun

UNSENT = 4 * CHUNK      # bytes that the machine may hold unsent, so that what is urgent is not behind them
WINDOW = 16 * CHUNK     # bytes of bodies under way on one connection
OPENING = CHUNK         # of one body, before it is asked for more


class Connection:
    """`hear` is called with each message; what it raises ends the connection.

    `silent` is in nanoseconds: without a byte for so long it is over, as it is where nothing can be written.
    """

    def __init__(self, sock: socket.socket, silent: int, guard: Guard,
                 hear: Callable[[str, Message], None]) -> None:
        self.sock, self.silent, self.guard, self.hear = sock, silent, guard, hear
        self.counters = guard.counters
        self.frames, self.outbox = Frames(), Outbox(WINDOW, OPENING, silent // 4)
        self.heard = clock.now()
        self.wake, self.closed = Event(), False
        self.why = ""
        self.unacked = 0        # bytes of bodies that came and were not credited yet
        self.echo = (0, 0)      # the other side's last beat: when it was sent, when it came
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT)
        self.writer = gevent.spawn(self._write)

    # What is said.

    def say(self, **kind: Message) -> None:
        """Queues a frame; a connection that is over takes nothing."""
        if self.closed:
            return
        try:
            self.outbox.say(encode(**kind))
        except Overrun:
            self.close("overrun")
        self.wake.set()

    def give(self, number: int, body: bytes, at: int = 0) -> None:
        self.outbox.give(number, body, at)
        self.wake.set()

    def beat(self, deaf: bool = False) -> None:
        sent, came = self.echo
        self.say(beat=Beat(sent_ns=clock.unix_ns(), echo_ns=sent, came_ns=came, deaf=deaf))

    def credited(self, size: int) -> None:
        """Bytes of a body were taken in."""
        self.unacked += size
        if self.unacked >= CHUNK // 4:
            self.say(credit=Credit(number=0, bytes=self.unacked))
            self.unacked = 0

    def _write(self) -> None:
        try:
            while not self.closed:
                data = self._gather()
                if not data:
                    self.wake.clear()
                    self.wake.wait()
                    continue
                with gevent.Timeout(self.silent / 1e9, TimeoutError("nothing can be written")):
                    self.sock.sendall(data)
        except OSError as trouble:
            self.close("write" if not isinstance(trouble, TimeoutError) else "stuck")
        except Exception as trouble:
            self.guard.note("link", trouble)
            self.close("trouble")

    def _gather(self) -> bytes:
        """What goes out in one write."""
        parts, size = [], 0
        while size < UNSENT and (one := self.outbox.next(clock.now())):
            if isinstance(one, tuple):
                number, at, data = one
                one = encode(chunk=Chunk(number=number, at=at, data=bytes(data)))
                self.counters.add("link.chunks")
            parts.append(one)
            size += len(one)
        return b"".join(parts)

    # What is heard.

    def run(self) -> None:
        """Reads until the end; says in `why` what that was."""
        try:
            while not self.closed:
                self.sock.settimeout(self.silent / 1e9)
                size = self.sock.recv_into(SCRATCH)
                if not size:
                    self.close("closed")
                    return
                self.heard = clock.now()
                for kind, message in self.frames.feed(SCRATCH[:size]):
                    if kind == "credit":
                        self.outbox.credit(message.number, message.bytes, self.heard)
                        self.wake.set()
                    elif kind == "beat":
                        self.echo = message.sent_ns, clock.unix_ns()
                        self.hear(kind, message)
                    else:
                        self.hear(kind, message)
                    if self.closed:
                        return
        except (BadFrame, Overrun) as trouble:
            self.close(f"bad: {trouble}")
        except TimeoutError:
            self.close("silent")
        except OSError:
            self.close("reset")
        except Exception as trouble:
            self.guard.note("link", trouble)
            self.close("trouble")

    def close(self, why: str) -> None:
        """Ends the connection, once."""
        if self.closed:
            return
        self.closed, self.why = True, why
        self.counters.add(f"link.{why.partition(':')[0]}")
        self.sock.close()
        self.wake.set()

    def finish(self) -> None:
        """Ends it once what waits was written, or can't be within the time of a silence."""
        def last() -> None:
            with gevent.Timeout(self.silent / 1e9, False):
                while not self.closed and (self.outbox.first or self.outbox.bodies):
                    gevent.sleep(self.silent / 1e9 / 32)
                gevent.sleep(self.silent / 1e9 / 32)    # the writer may hold what it took out last
            self.close("ended")
        gevent.spawn(last)
