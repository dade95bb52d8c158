"""Connections from clients."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.lock import Semaphore

from ..facade import End
from ..front import Front, Reply
from ..interface import Retrieval
from ..life.guard import Guard
from ..memory.traces import Traces
from .resp import Ask, BadFrame, Frames, Nevermind, Status, decode, encode
from .sockets import SCRATCH, send_now

MOST_OPEN = 32      # the protocol's bound on one connection
# The protocol's clients close what is idle after 4 s. One that says nothing, or does not finish what it
# began, is let go in half of that: the operators ask for an answer or a close within 3 s of connecting.
IDLE = 4_000_000_000
UNFINISHED = IDLE // 2
TURN = MOST_OPEN    # messages of one connection that are looked at before others get their turn
WORDS = {End.SETTLED: b"ok", End.PUSHED_BACK: b"full", End.BROKEN_OFF: b"fault"}


class Client:
    """One connection: its open retrievals by their tags, and its turn to write."""

    def __init__(self, sock: socket.socket, clock: Callable[[], int]) -> None:
        self.sock, self.frames = sock, Frames()
        self.open: dict[int, Retrieval] = {}
        self.turn = Semaphore()         # to write
        self.due = bytearray()          # answers of the door, written together
        self.born = self.last = self.began = clock()    # `began`: the frame under way; 0: none is
        self.whole = self.asked = False     # it has sent a whole message; a retrieval
        self.turned_away = 0                # messages that could not be used or taken
        self.buffered = 0       # bytes of a frame that is not whole yet
        self.ended = self.closed = False    # the client sends no more; nothing can be written any more


class Clients:
    def __init__(self, front: Front, most: int, most_buffered: int, slack: int,
                 ready: Callable[[], bool], clock: Callable[[], int], guard: Guard) -> None:
        self.most_buffered, self.buffered = most_buffered, 0    # parts of frames, bodies, answers that wait
        self.front, self.most, self.slack = front, most, slack
        self.ready, self.clock, self.guard, self.counters = ready, clock, guard, guard.counters
        self.profiles = front.profiles
        self.traces = Traces(max(one.client_timeout for one in self.profiles.values()))
        self.clients: dict[Client, None] = {}

    def accept(self, listener: socket.socket) -> None:
        for count in itertools.count(1):
            if not count % TURN:        # hundreds at once must not hold up who is served
                gevent.sleep(0)
            try:
                sock, _ = listener.accept()
            except OSError:
                self.counters.add("client.accept_failed")
                gevent.sleep(self.front.resolution / 1e9)
                continue
            self.guard.run("accept", self._accepted, sock)

    def _accepted(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(sock, self.clock)
        self.clients[client] = None
        self.counters.add("client.accepted")
        gevent.spawn(self._read, client)
        if len(self.clients) > self.most:
            # Over the clients' share: who never sent anything whole makes room, then who never asked, then
            # who was idle longest, and only then who has just come and had no time to ask.
            idle = (one for one in self.clients if not one.open)
            self.counters.add("client.over_share")
            just = self.clock() - UNFINISHED // 8
            self._close(min(idle, default=client, key=lambda one: (
                not one.whole and one.born > just, one.whole, one.asked, one.last)))

    def sweep(self) -> None:
        """Closes who says nothing, does not finish what it began, or is idle longer than clients are."""
        now = self.clock()
        for client in [one for one in self.clients if not one.open]:
            if client.began and now - client.began > UNFINISHED:
                self.counters.add("client.unfinished")
                self._close(client)
            elif now - client.last > IDLE * 5 // 4:
                self.counters.add("client.idle")
                self._close(client)

    def _read(self, client: Client) -> None:
        try:
            while size := client.sock.recv_into(SCRATCH):
                client.last = self.clock()
                frames = client.frames.feed(SCRATCH[:size])
                if frames:
                    client.whole, client.began = True, 0
                if client.frames.amid:
                    client.began = client.began or client.last
                for start in range(0, len(frames), TURN):
                    if start:       # a flood from one must not hold up the others
                        gevent.sleep(0)
                    for words in frames[start:start + TURN]:
                        if client.closed:
                            return
                        self._heard(client, words)
                        if len(client.due) > len(SCRATCH):
                            self._flush(client)
                    self._flush(client)
                self.buffered += len(client.frames.buffer) - client.buffered
                client.buffered = len(client.frames.buffer)
                if self.buffered > self.most_buffered:
                    self.counters.add("client.no_room")
                    self._close(client)
        except BadFrame:
            self.counters.add("client.bad_frame")
            self._flush(client)
            self._close(client)
        except OSError:
            self._close(client)
        except Exception as trouble:
            self.guard.note("client", trouble)
            self._close(client)
        else:
            # It sends no more but may still read: what it asked for is answered first.
            client.ended = True
            if not client.open:
                self._close(client)

    def _heard(self, client: Client, words: list[bytes]) -> None:
        message = decode(words, self.profiles)
        if isinstance(message, Ask):
            if message.tag in client.open:
                raise BadFrame("a tag that is open already")
            if not self.traces.new(message.trace, client.last):
                self.counters.add("retrieval.repeated_trace")
                self._turn_away(client, message.tag, b"fault")
                return
            client.asked = True
            if (len(client.open) >= MOST_OPEN or self.front.refuse()
                    or self.buffered + len(message.body) > self.most_buffered):
                self.counters.add("retrieval.refused_at_door")
                self._turn_away(client, message.tag, b"full")
                return
            retrieval = client.open[message.tag] = self.front.take(message)
            if reply := self.front.answer_now(message, retrieval):
                del client.open[message.tag]
                client.due += self._encode(message.tag, reply)
            else:
                gevent.spawn_raw(self.guard.run, "answer", self._serve, client, message, retrieval)
        elif isinstance(message, Nevermind):
            if (retrieval := client.open.pop(message.tag, None)) is not None:
                self.counters.add("retrieval.nevermind")
                self.guard.run("leave", self.front.leave, retrieval)
        elif isinstance(message, Status):
            self._at_door(client, message.tag, b"yes" if self.ready() else b"no")
        else:
            self.counters.add("client.unusable")
            self._turn_away(client, message.tag, b"fault")

    def _turn_away(self, client: Client, tag: int, word: bytes) -> None:
        """Guards against who sends ever more of what gets nothing; usual ones never come near the bound."""
        client.turned_away += 1
        self._at_door(client, tag, word)
        if client.turned_away > MOST_OPEN:
            raise BadFrame("nothing but what can't be taken")

    def _serve(self, client: Client, ask: Ask, retrieval: Retrieval) -> None:
        self.buffered += len(ask.body)
        try:
            self.front.serve(ask, retrieval, lambda reply: self._answer(client, ask.tag, retrieval, reply))
        finally:
            self.buffered -= len(ask.body)

    def _answer(self, client: Client, tag: int, retrieval: Retrieval, reply: Reply) -> None:
        left = retrieval.until + self.slack - self.clock()
        if self._write(client, self._encode(tag, reply), left, lambda: client.open.get(tag) is retrieval):
            client.open.pop(tag, None)
        if client.ended and not client.open:
            self._close(client)

    def _encode(self, tag: int, reply: Reply) -> bytes:
        fields, word = b"", WORDS[reply.end]
        if reply.end is End.PUSHED_BACK and reply.retry_after:
            fields = b"pause=%d" % max(1, reply.retry_after // 1_000_000)
        elif reply.same:
            fields = b"keep=1"
        self.counters.add("answer.bytes", len(reply.body))
        return self._counted(tag, word, fields, reply.body)

    def _counted(self, tag: int, word: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
        self.counters.add(f"answer.{word.decode()}")
        return encode(tag, word, fields, body)

    def _at_door(self, client: Client, tag: int, word: bytes) -> None:
        client.due += self._counted(tag, word)

    def _flush(self, client: Client) -> None:
        """Writes the door's answers. Nothing more is read of a client that does not take them."""
        if client.due:
            data, client.due = client.due, bytearray()
            self._write(client, data, UNFINISHED)

    def _write(self, client: Client, data: bytes, left: int,
               wanted: Callable[[], bool] = lambda: True) -> bool:
        """True once all is written. A client that does not take it in time is closed; so it can tell."""
        due, sent = self.clock() + left, 0
        if client.turn.acquire(timeout=max(left, 0) / 1e9):
            try:
                if client.closed or not wanted():       # it left meanwhile and gets nothing more
                    return False
                sent = send_now(client.sock, data)
                if sent < len(data) and self.buffered + len(data) <= self.most_buffered:
                    self.buffered += len(data)      # it waits for its reader
                    try:
                        with gevent.Timeout(max(due - self.clock(), 0) / 1e9, False):
                            client.sock.sendall(memoryview(data)[sent:])
                            sent = len(data)
                    finally:
                        self.buffered -= len(data)
            except OSError:
                self.counters.add("client.write_failed")
                self._close(client)
                return False
            finally:
                client.turn.release()
        if sent < len(data):
            self.counters.add("client.slow_reader")
            self._close(client)
            return False
        client.last = self.clock()
        return True

    def _close(self, client: Client) -> None:
        if client.closed:
            return
        client.closed = True
        self.clients.pop(client, None)
        self.buffered -= client.buffered
        client.buffered = 0
        client.sock.close()
        self.counters.add("client.closed")
        for tag in list(client.open):
            self.counters.add("retrieval.connection_lost")
            self.guard.run("leave", self.front.leave, client.open.pop(tag))
