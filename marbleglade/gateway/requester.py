"""The asking side: links to the gateways of one region, and the carries that are out on them.

To the life of a retrieval these are what the connections to caches are: `fly` carries a launch out and blocks
until it has ended. Which gateway takes it and whether it goes again is not decided here.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import gevent
import xxhash
from gevent import socket
from google.protobuf.message import Message

from ..facade import Go
from ..interface import NEVER_RAN, Cache, Outcome, Retrieval
from ..life import clock
from ..life.guard import Guard
from ..memory.room import Room
from ..wire.cachelines import Answer
from ..wire.caches import Ending, oldest
from ..wire.coordlines import ListChange, Member, Purge
from ..wire.resp import Ask
from . import link_recovery
from .request_journal import Fate
from .connection import OPENING, WINDOW, Connection
from .frames import VERSION, InvalidFrameError
from .link_pb2 import Carry as CarryFrame
from .link_pb2 import Credit, Had, Hello, Leaving, Query, Undo
from .concurrency_limit import ConcurrencyLimit
from .partial_bodies import PartialBody, PartialBodies
from .purge_log import PurgeReceiver, PurgeMark
from .link_recovery import AwaitLink, FinalStatus
from .routes import AWAY
from .clock_offset import ClockOffset
from .flow_control import BodyReceiver

MS = 1_000_000
MOST_MARKS = 1 << 14


@dataclass(slots=True, eq=False)
class Carry:
    """A launch that is out at a far gateway."""

    number: int
    ask: Ask
    go: Go
    limit: int  # when its launch ends
    had: PartialBody | None  # what an earlier cut left, as the far side was told
    head: Message | None = None
    receiver: BodyReceiver | None = None
    held: int = 0  # room taken for its body
    wait_until: int = 0  # while its link is cut

    @property
    def retrieval(self) -> Retrieval:
        return self.go.launch.retrieval

    @property
    def key(self) -> tuple[int, int]:
        """The object's part."""
        return self.retrieval.object, self.ask.part


@dataclass(slots=True, eq=False)
class Link:
    """One gateway of the other region, whether it is connected or not."""

    name: str
    address: tuple[str, int]
    cache: Cache | None = None
    start_ms: int = 0  # of the far gateway, by its clock; 0: never heard
    index: int = 0  # of its purges, those up to this one are known
    turn: int = 0
    connection: Connection | None = None
    caught: Message | None = None  # it has told all purges
    up: bool = False  # carries may go
    leaving_start: int = 0  # the start of which it said that it leaves
    open: dict[int, Carry] = field(default_factory=dict)
    adrift: dict[int, Carry] = field(default_factory=dict)  # their fate is not known
    offset: ClockOffset = field(default_factory=lambda: ClockOffset(0))
    tries: int = 0


class Requester:
    """All links to one region. `front` is set once: the life of retrievals on this side, over these links."""

    def __init__(
        self,
        home: str,
        gateway: str,
        start_ms: int,
        region: str,
        peers: list[tuple[str, tuple[str, int]]],
        silent: int,
        drift_ppm: float,
        account: bool,
        room: Room,
        parts: PartialBodies,
        owed: ConcurrencyLimit,
        guard: Guard,
    ) -> None:
        self.home, self.gateway, self.start_ms, self.region = home, gateway, start_ms, region
        self.silent, self.account, self.room, self.parts, self.owed = silent, account, room, parts, owed
        self.guard, self.counters, self.log = guard, guard.counters, guard.log
        self.links = [Link(name, address, offset=ClockOffset(drift_ppm)) for name, address in peers]
        self.by_cache: dict[Cache, Link] = {}
        self.purge_receiver = PurgeReceiver(MOST_MARKS)
        self.aloft: Counter[Cache] = Counter()
        self.number = self.chances = 0
        self.front = None
        # Tell the rest of this gateway: of a purge, and that what was given out before counts as purged.
        self.purged: Callable[[Purge], None] = lambda purge: None
        self.forget: Callable[[int], None] = lambda before_ms: None
        self.hears = {
            "hello": self._hear_hello,
            "refused": self._hear_refused,
            "purge": self._hear_purge,
            "caught": self._hear_caught,
            "beat": self._hear_beat,
            "leaving": self._hear_leaving,
            "fate": self._hear_fate,
            "head": self._hear_head,
            "chunk": self._hear_chunk,
        }

    # What the life of a retrieval asks of it; see `wire.caches.Caches`.

    def fly(self, ask: Ask, go: Go) -> Ending:
        cache, launch = go.launch.cache, go.launch
        link = self.by_cache.get(cache)
        left = launch.sent + launch.within - clock.now()
        if link is None or not link.up or left <= 0:
            self.counters.add("carry.no_link")
            return Ending(Outcome.UNREACHED)
        if self.region in ask.passed or not self.owed.take():
            self.counters.add("carry.turned_away")
            return Ending(Outcome.FULL)
        self.aloft[cache] += 1
        carry = self._send(link, ask, go, left)
        ending: Ending | None = None
        try:
            with gevent.Timeout(left / 1e9, False):
                ending = go.ended.get() or Ending(Outcome.CALLED_OFF)
        finally:
            if not go.ended.ready():
                go.ended.set(None)
            elif ending is None:  # it came in the instant in which the time ran out
                ending = go.ended.get(block=False)
            self._release(carry, ending)
            self.aloft[cache] -= 1
            if not self.aloft[cache]:
                del self.aloft[cache]
        return ending or Ending(Outcome.TIMEOUT)

    def look(self, cache: Cache, within: int) -> dict[str, float]:
        """Far gateways are heard by their beats and are not probed."""
        return {}

    def drop(self, ending: Ending) -> None:
        if ending.answer and ending.answer.body:
            self.room.give(len(ending.answer.body))

    def outdated(self, caches: list[Cache]) -> None:
        """A far gateway that began anew is noticed by its links themselves."""

    def connections(self, cache: Cache) -> int:
        link = self.by_cache.get(cache)
        return int(bool(link and link.connection))

    def sweep(self) -> None:
        """Ends what waited long enough for its link to return, and forgets what nobody can use."""
        now = clock.now()
        for link in self.links:
            for carry in [one for one in link.adrift.values() if one.wait_until <= now]:
                link.adrift.pop(carry.number)
                self.counters.add("carry.not_returned")
                self._end(carry, Ending(Outcome.RESET))
        self.parts.expire(now)

    def _send(self, link: Link, ask: Ask, go: Go, left: int) -> Carry:
        self.number += 1  # one count for all links, rising on each
        part = self.parts.get((go.launch.retrieval.object, ask.part))
        carry = Carry(self.number, ask, go, clock.now() + left, part)
        link.open[carry.number] = carry
        frame = CarryFrame(
            number=carry.number,
            trace=ask.trace,
            profile=ask.profile_name,
            thing=int(ask.thing, 16),
            part=ask.part,
            group=ask.group,
            within_ms=max(1, left // MS),
            oldest_ms=self._oldest(link, ask, go),
            copy=ask.copy,
            again=ask.again,
            passed=[*ask.passed, self.home],
            body=len(ask.body),
            mark=ask.mark,
        )
        if part and self.account:
            frame.had.CopyFrom(Had(tag=part.tag, issued_ms=part.issued_ms, bytes=len(part.data)))
        self.counters.add("carry.sent")
        link.connection.say(carry=frame)
        if ask.body:
            link.connection.give(carry.number, ask.body)
        return carry

    def _oldest(self, link: Link, ask: Ask, go: Go) -> int:
        """The oldest copy that will do: as decisions and requester say, and none that the region purged."""
        asked, last = oldest(ask, go), self.purge_receiver.last(int(ask.thing, 16), ask.group)
        if not last:
            return asked
        since = max(1, link.offset.theirs(clock.unix_ns(), clock.unix_ns())[0] // MS - last - 1)
        usual = asked or ask.profile.fresh // MS or since
        return min(usual, since)

    # How a carry ends.

    def _release(self, carry: Carry, ending: Ending | None) -> None:
        """The launch is over for us; the far side is told, and what came of a body is kept for the next."""
        had = ending is not None and ending.answer is not None
        for link in self.links:
            if link.open.pop(carry.number, None) is not None and link.connection:
                link.connection.send_queue.drop(carry.number)
                say = link.connection.later if had else link.connection.say
                say(undo=Undo(number=carry.number, had=had))
            link.adrift.pop(carry.number, None)
        if not had:
            self._keep_part(carry)
            self.room.give(carry.held)
        else:
            self.parts.drop(carry.key)
        carry.held, carry.receiver = 0, None
        outcome = ending.outcome if ending else Outcome.TIMEOUT
        if outcome is Outcome.OK:
            self.owed.settled()
        else:
            self.owed.ended(outcome in (Outcome.FULL, Outcome.TIMEOUT), clock.now())

    def _keep_part(self, carry: Carry) -> None:
        if carry.receiver and carry.receiver.came and carry.head:
            # Whoever asks for the object next goes on from there: most often the same client again.
            until = clock.now() + carry.retrieval.profile.client_timeout
            self.parts.put(
                carry.key, PartialBody(carry.head.tag, carry.head.issued_ms, carry.receiver.data(), until)
            )

    def _end(self, carry: Carry, ending: Ending) -> None:
        if carry.go.ended.ready():
            return  # nobody takes it: its room is still the carry's
        if ending.answer:
            carry.held = 0  # the room goes along with the answer
        carry.go.ended.set(ending)

    # Connections.

    def chance(self) -> float:
        self.chances += 1
        return zlib.crc32(b"%d %d" % (self.start_ms, self.chances)) / 2**32

    def run(self, link: Link) -> None:
        """Keeps one link up, for as long as the gateway lives."""
        while True:
            self.guard.run("link", self._connect, link)
            # A spread that grows to the time of a silence: a region that returns is not stormed with dials.
            pause = min(self.silent, (self.silent >> 4) << min(link.tries, 5))
            gevent.sleep(pause * (0.5 + self.chance()) / 1e9)

    def _connect(self, link: Link) -> None:
        link.tries += 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.silent / 1e9)
            sock.connect(link.address)
        except OSError:
            sock.close()
            self.counters.add("link.unreached")
            return
        link.turn, link.caught = link.turn + 1, None
        link.connection = connection = Connection(
            sock, self.silent, self.guard, {kind: partial(hear, link) for kind, hear in self.hears.items()}
        )
        connection.say(
            hello=Hello(
                version=VERSION,
                region=self.home,
                gateway=self.gateway,
                start_ms=self.start_ms,
                to_region=self.region,
                turn=link.turn,
                known_start_ms=link.start_ms,
                known_index=link.index,
                opening=OPENING,
                window=WINDOW,
            )
        )
        connection.beat()
        try:
            connection.run()
        finally:
            connection.close("ended")
            self._cut(link, connection)

    def _cut(self, link: Link, connection: Connection) -> None:
        """What was open on it waits for its fate, or ends, as the module on returns says."""
        was_up, link.up, link.connection = link.up, False, None
        if was_up:
            self.log.say("link.cut", link=link.name, why=connection.why, open=len(link.open))
        for carry in list(link.open.values()):
            launch = carry.go.launch
            verdict = link_recovery.after_cut(
                launch.retrieval.profile, launch.sent, clock.now(), carry.limit, self.account
            )
            self.counters.add("carry.cut")
            if carry.receiver:
                self.counters.add("carry.cut_bytes", carry.receiver.came)
            if isinstance(verdict, AwaitLink):
                carry.wait_until = verdict.until
                link.adrift[carry.number] = carry
                del link.open[carry.number]
            else:
                self._end(carry, Ending(verdict))

    def beat(self) -> None:
        for link in self.links:
            if link.connection:
                link.connection.beat()
                link.connection.check()

    def leave(self) -> None:
        """This gateway stops: the other side is told."""
        for link in self.links:
            if link.connection:
                link.connection.say(leaving=Leaving())

    # What is heard.

    def _hear_refused(self, link: Link, message: Message) -> None:
        self.counters.add("link.refused")
        self.log.say("link.refused", link=link.name, why=message.why)
        link.connection.close("refused")

    def _hear_hello(self, link: Link, message: Message) -> None:
        if message.region != self.region or message.gateway != link.name or message.to_region != self.home:
            raise InvalidFrameError("not whom the deployment names")
        link.connection.agree(message)
        if message.start_ms != link.start_ms:
            # Another start knows nothing of what the one before took.
            for carry in list(link.adrift.values()):
                del link.adrift[carry.number]
                self._end(carry, Ending(link_recovery.after_start(carry.retrieval.profile)))
            link.start_ms, link.index, link.cache = message.start_ms, 0, None
            link.offset = ClockOffset(link.offset.drift * 1e6)

    def _hear_purge(self, link: Link, message: Message) -> None:
        if message.index <= link.index:
            raise InvalidFrameError("a purge out of turn")
        link.index = message.index
        self.purge_receiver.add(PurgeMark(message.index, message.thing, message.group, message.at_ms))
        self.counters.add("purge.across")
        # By our clock it was at the latest moment that the bounds allow. What asks goes by the region's own.
        at_ms = message.at_ms
        if link.offset.known:
            at_ms = link.offset.ours(at_ms * MS, clock.unix_ns())[1] // MS + 1
        else:
            at_ms = clock.unix_ns() // MS
        self.purged(Purge(message.index, message.thing, message.group, at_ms))

    def _hear_caught(self, link: Link, message: Message) -> None:
        if message.index < link.index:
            raise InvalidFrameError("less than what was told")
        link.index, link.caught = message.index, message

    def _hear_beat(self, link: Link, message: Message) -> None:
        if message.echo_ns and not link.offset.add(
            message.echo_ns, message.came_ns, message.sent_ns, clock.unix_ns()
        ):
            raise InvalidFrameError("an exchange that contradicts itself")
        if link.up and not message.deaf:
            self.purge_receiver.heard(message.sent_ns // MS, clock.now())
            self._move_on()
        elif not link.up and not message.deaf:
            self._maybe_up(link, message.sent_ns // MS)

    def _move_on(self) -> None:
        """One link was heard: what waits for another to return may not have to."""
        for link in self.links:
            for carry in list(link.adrift.values()) if not link.up else ():
                if outcome := link_recovery.after_others(carry.retrieval.profile):
                    del link.adrift[carry.number]
                    self._end(carry, Ending(outcome))

    def _maybe_up(self, link: Link, said_ms: int) -> None:
        """A link is up once its clock is known and all purges were told: nothing is carried before."""
        if not link.caught or not link.offset.known or not link.start_ms:
            return
        region_up = any(one.up for one in self.links)
        before = self.purge_receiver.before
        if not self.purge_receiver.caught_up(link.caught.since_ms, said_ms, clock.now()):
            self.counters.add("purge.may_be_missing")
        if self.purge_receiver.before > before:
            self.forget(link.offset.ours(self.purge_receiver.before * MS, clock.unix_ns())[1] // MS + 1)
        if not region_up:
            self.owed.returned(clock.now())
        link.up, link.tries = True, 0
        self.log.say(
            "link.up",
            link=link.name,
            start_ms=link.start_ms,
            adrift=len(link.adrift),
            offset_us=(link.offset.low + link.offset.high) // 2000,
            bound_us=(link.offset.high - link.offset.low) // 2000,
        )
        self._list(link, "active")
        self._move_on()
        for carry in list(link.adrift.values()):
            query = Query(number=carry.number)
            if carry.receiver and carry.receiver.came:
                query.had.CopyFrom(
                    Had(tag=carry.head.tag, issued_ms=carry.head.issued_ms, bytes=carry.receiver.came)
                )
            elif carry.had:
                query.had.CopyFrom(
                    Had(tag=carry.had.tag, issued_ms=carry.had.issued_ms, bytes=len(carry.had.data))
                )
            link.connection.say(query=query)

    def _list(self, link: Link, state: str) -> None:
        """Lists a far gateway as a place; a start that was listed as leaving stays so."""
        if state == "active" and link.leaving_start == link.start_ms:
            return
        if link.cache is None or state != "active":
            started = (
                link.offset.ours(link.start_ms * MS, clock.unix_ns())[0] // MS
                if link.cache is None
                else self.front.places.by_id[link.name].started_ms
            )
            self.front.apply(
                ListChange(0, False, [Member(link.name, link.address, AWAY, AWAY, 0, state, started)])
            )
        if place := self.front.places.by_id.get(link.name):
            link.cache = place.cache
            self.by_cache[link.cache] = link

    def _hear_leaving(self, link: Link, message: Message) -> None:
        if link.cache is not None and link.leaving_start != link.start_ms:
            self._list(link, "leaving")
        link.leaving_start = link.start_ms
        self.log.say("link.leaving", link=link.name)

    def _hear_fate(self, link: Link, message: Message) -> None:
        carry = link.adrift.pop(message.number, None)
        if carry is None:  # it ended while its fate was asked for
            link.connection.say(undo=Undo(number=message.number))
            return
        fate = Fate(message.state)
        self.counters.add(f"carry.fate_{fate.name.lower()}")
        outcome = link_recovery.after_fate(fate)
        if outcome is None:
            carry.wait_until = 0
            link.open[carry.number] = carry
        else:
            self._end(carry, Ending(outcome))

    def _hear_head(self, link: Link, message: Message) -> None:
        carry = link.open.get(message.number)
        if carry is None:
            self._unwanted(link, message.number)
            return
        word, profile = FinalStatus(message.word), carry.retrieval.profile
        outcome = link_recovery.after_word(word, message.ran, profile)
        self.counters.add(f"carry.{word.name.lower()}")
        if outcome is not Outcome.OK:
            if outcome not in NEVER_RAN and carry.had:
                self.parts.drop(carry.key)
            self._end(carry, Ending(outcome))
        elif word is FinalStatus.SAME:
            if not carry.ask.copy or message.tag != carry.ask.copy:
                raise InvalidFrameError("not the copy that its client holds")
            self._whole(link, carry, message, b"")
        else:
            self._body(link, carry, message)

    def _unwanted(self, link: Link, number: int) -> None:
        """Guards against answers to what was never asked; to what ended meanwhile they are usual."""
        if number > self.number:
            raise InvalidFrameError("an answer to a carry that never was")
        self.counters.add("carry.late")

    def _body(self, link: Link, carry: Carry, head: Message) -> None:
        """A body begins, where what came before a cut ended or anew."""
        old, data = carry.head, b""
        had, copy = (
            (carry.receiver.came, (old.tag, old.issued_ms))
            if carry.receiver
            else ((len(carry.had.data), (carry.had.tag, carry.had.issued_ms)) if carry.had else (0, None))
        )
        self.counters.add("carry.had_bytes", had)
        if head.at:
            if carry.receiver and old and (old.tag, old.issued_ms) == (head.tag, head.issued_ms):
                data = carry.receiver.data()
            elif carry.had and (carry.had.tag, carry.had.issued_ms) == (head.tag, head.issued_ms):
                data = carry.had.data
            if len(data) < head.at:
                raise InvalidFrameError("a body that goes on from what never came")
            self.counters.add("carry.resumed")
            self.counters.add("carry.resumed_bytes", head.at)
        else:
            # What is sent twice, and what could not be gone on from since the copy is another one.
            same = copy == (head.tag, head.issued_ms)
            self.counters.add("carry.again_bytes" if same else "carry.anew_bytes", had)
        self.room.give(carry.held)
        carry.head, carry.held = head, 0
        carry.receiver = BodyReceiver(head.size, head.at, OPENING, data)
        if carry.receiver.whole:
            self.room.overdraw(head.size)
            carry.held = head.size
            self._whole(link, carry, head, carry.receiver.data())
        elif head.size - head.at <= OPENING:
            self.room.overdraw(head.size)
            carry.held = head.size
        elif not self.room.short and head.size <= self.room.free:
            self.room.take(head.size)
            carry.held = head.size
            self._grant(link, carry)
        else:
            gevent.spawn(self.guard.run, "room", self._grant_later, link, carry, carry.receiver)

    def _grant(self, link: Link, carry: Carry) -> None:
        if (more := carry.receiver.grant()) and link.connection:
            link.connection.say(credit=Credit(number=carry.number, bytes=more))

    def _grant_later(self, link: Link, carry: Carry, receiver: BodyReceiver) -> None:
        """Asks for the rest of a body once there is room for it."""
        self.counters.add("carry.waited_for_room")
        with gevent.Timeout(max(0, carry.limit - clock.now()) / 1e9, False):
            self.room.take(receiver.size)
            if carry.receiver is receiver and link.open.get(carry.number) is carry:
                carry.held = receiver.size
                self._grant(link, carry)
            else:
                self.room.give(receiver.size)

    def _hear_chunk(self, link: Link, message: Message) -> None:
        carry = link.open.get(message.number)
        more = (
            carry is not None
            and carry.receiver is not None
            and (message.at + len(message.data) < carry.receiver.size)
        )
        link.connection.credited(len(message.data), more)
        if carry is None:
            self._unwanted(link, message.number)
            return
        if carry.receiver is None:
            raise InvalidFrameError("a chunk without its head")
        carry.receiver.put(message.at, message.data)
        self.counters.add("carry.bytes", len(message.data))
        if carry.receiver.whole:
            self._whole(link, carry, carry.head, carry.receiver.data())

    def _whole(self, link: Link, carry: Carry, head: Message, body: bytes) -> None:
        """An answer is here. It is passed on only if it is one copy, and younger than every purge known."""
        if head.word == head.SETTLED and xxhash.xxh3_64_intdigest(body) != head.check:
            self.counters.add("carry.spoilt")
            carry.receiver = None
            raise InvalidFrameError("a body that is not its copy")
        ask = carry.ask
        early, _ = link.offset.ours(head.issued_ms * MS, clock.unix_ns())
        at_home = self.front.purges.latest(carry.retrieval.object, ask.group)
        if self.purge_receiver.purged(carry.retrieval.object, ask.group, head.issued_ms) or (
            at_home and clock.from_unix_ms(early // MS) <= at_home + MS
        ):
            self.counters.add("carry.purged")
            carry.receiver = None
            self._end(carry, Ending(Outcome.CALLED_OFF))
            return
        fields = {"entity": head.tag, "issued": str(max(0, early // MS))}
        answer = Answer(ask.trace, "VALID" if head.word == head.SAME else "HIT", fields, body)
        self._end(carry, Ending(Outcome.OK, answer))

    def survey(self) -> list[dict[str, object]]:
        """What is believed of each link."""
        now = clock.now()
        return [
            {
                "link": one.name,
                "region": self.region,
                "up": one.up,
                "start_ms": one.start_ms,
                "open": len(one.open),
                "adrift": len(one.adrift),
                "purges": one.index,
                "offset_us": (one.offset.low + one.offset.high) // 2000 if one.offset.known else None,
                "heard_ms": (now - one.connection.heard) // MS if one.connection else None,
                "owed": self.owed.open,
                "may_be_owed": int(self.owed.allowed),
            }
            for one in self.links
        ]
