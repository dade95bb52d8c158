"""Anti-entropy between fronts on simulated time: queries, replies, and updates that reach all in time."""

from dataclasses import dataclass

import pytest

from marbleglade.fleet.anti_entropy import MAX_PENDING_QUERIES, MAX_STORED_UPDATES, AntiEntropy
from marbleglade.fleet.seeded_random import seeded_fraction
from marbleglade.model.peer_update import PeerUpdate, UpstreamLeaving
from marbleglade.model.watch_event import Purge
from marbleglade.protocols.update_datagrams import (
    MAX_DATAGRAM_BYTES,
    MAX_REPLY_PARTS,
    UpdateQuery,
    UpdateReply,
    decode,
    encode,
)
from tests.harness.units import NS_PER_MS, START_NS

INTERVAL_NS = 1000 * NS_PER_MS  # between two lines of the discovery service
RETENTION_NS = 14_000 * NS_PER_MS


def create_front(started_at: int = START_NS) -> AntiEntropy:
    return AntiEntropy(INTERVAL_NS, RETENTION_NS, started_at)


@pytest.mark.parametrize(
    "silent_for_ms, unqueried_for_ms, is_due",
    [
        (0, 2000, False),
        (0, 2600, True),  # a routine query
        (1200, 1200, False),
        (1300, 1300, True),  # no line for over 1.25 intervals
        (9000, 200, False),
        (9000, 300, True),  # a retry after a quarter of an interval
    ],
)
def test_queries_are_frequent_while_discovery_is_silent_and_rare_otherwise(
    silent_for_ms, unqueried_for_ms, is_due
):
    front = create_front(START_NS - 20_000 * NS_PER_MS)
    front.last_contact_at = START_NS - silent_for_ms * NS_PER_MS
    front.queried_at = START_NS - unqueried_for_ms * NS_PER_MS
    front.unanswered_rounds = 1
    assert bool(front.next_queries(START_NS)) is is_due


def test_unanswered_queries_go_to_more_peers_and_then_slow_down():
    front = create_front()
    tick_ms = 250
    counts = [len(front.next_queries(START_NS + tick * tick_ms * NS_PER_MS)) for tick in range(80)]
    assert counts[:9] == [0] * 6 + [1, 1, 3]
    assert set(counts[10:20]) == {3}
    assert sorted(counts[-6:]) == [0] * 3 + [3] * 3


def test_after_a_reply_a_front_queries_half_as_often_and_for_a_shorter_span():
    front, peer = create_front(), create_front(START_NS - 9000 * NS_PER_MS)
    now = START_NS + 2000 * NS_PER_MS
    peer.record_contact(now)
    (first,) = front.next_queries(now)
    for reply in peer.answer(first, now):
        front.apply_reply(reply, now + NS_PER_MS)
    assert not front.pending_queries
    assert not front.next_queries(now + 400 * NS_PER_MS)
    (second,) = front.next_queries(now + 600 * NS_PER_MS)
    assert first.span_ms == 3000
    assert second.span_ms < 1700  # the time since which no reply was complete, and one interval of margin


def test_a_reply_about_the_time_before_the_replier_started_is_incomplete():
    front, restarted_peer = create_front(), create_front(START_NS + 5000 * NS_PER_MS)
    now = START_NS + 5001 * NS_PER_MS
    restarted_peer.record_contact(now)
    (query,) = front.next_queries(now)
    (reply,) = restarted_peer.answer(query, now)
    assert reply.parts == 0
    front.apply_reply(reply, now)
    assert front.complete_until == START_NS
    assert front.pending_queries


def test_the_removal_of_an_upstream_that_is_listed_again_is_discarded():
    front = create_front()
    front.record(UpstreamLeaving(1, "s1", 5), START_NS)
    front.record(UpstreamLeaving(1, "s2", 5), START_NS)
    front.retract("s1")
    replies = front.answer(UpdateQuery(1, 1000), START_NS + NS_PER_MS)
    assert [update.id for reply in replies for update in reply.updates] == ["s2"]


def test_a_reply_without_a_query_is_ignored():
    front = create_front()
    reply = UpdateReply(7, 0, 0, 1, [UpstreamLeaving(1, "s1", 5)])
    assert front.apply_reply(reply, START_NS) == []
    assert not front.updates


def test_updates_queries_and_replies_are_bounded():
    front = create_front()
    for number in range(MAX_STORED_UPDATES * 2):
        front.record(UpstreamLeaving(0, f"s-{number:08x}", number), START_NS + number)
    for number in range(MAX_PENDING_QUERIES * 2):
        assert front.next_queries(START_NS + (number + 2) * 3000 * NS_PER_MS)
    assert len(front.updates) == MAX_STORED_UPDATES
    assert len(front.pending_queries) == MAX_PENDING_QUERIES
    replies = front.answer(UpdateQuery(1, 100_000), START_NS + 10_000 * NS_PER_MS)
    assert len(replies) == MAX_REPLY_PARTS
    assert {reply.parts for reply in replies} == {0}
    for reply in replies:
        assert len(encode(reply)) <= MAX_DATAGRAM_BYTES
        assert decode(encode(reply)) == reply


@dataclass
class Datagram:
    """A query or a reply in flight."""

    due_at: int
    sender: int
    receiver: int
    message: UpdateQuery | UpdateReply


class SimulatedFronts:
    """Fronts of which the first four receive nothing from the discovery service.

    Datagrams are lost, duplicated and delayed; the seed determines which.
    """

    COUNT = 20
    UNINFORMED = range(4)
    INFORMED = range(4, COUNT)
    TICK_MS = 50
    TICKS_PER_QUERY_CHECK = 5
    TICKS_PER_LINE = 20  # of the discovery service
    DUPLICATION_RATE = 0.1
    MAX_REPLY_DELAY_MS = 200

    def __init__(self, seed: int, loss_rate: float) -> None:
        self.seed = seed
        self.loss_rate = loss_rate
        self.tick = 0
        self.fronts = [create_front() for _ in range(self.COUNT)]
        self.in_flight: list[Datagram] = []
        self.sent_at_tick: dict[int, PeerUpdate] = {}  # updates sent by the discovery service, by tick
        self.datagram_count = 0

    @property
    def now(self) -> int:
        return START_NS + self.tick * self.TICK_MS * NS_PER_MS

    def send_update(self, update: PeerUpdate) -> None:
        """Have the discovery service send an update to the informed fronts."""
        for number in self.INFORMED:
            self.fronts[number].record(update, self.now)
        self.sent_at_tick[self.tick] = update

    def run_tick(self) -> None:
        """Run the fronts' timers, and deliver the datagrams that are due."""
        if self.tick % self.TICKS_PER_LINE == 0:
            for number in self.INFORMED:
                self.fronts[number].record_contact(self.now)
        if self.tick % self.TICKS_PER_QUERY_CHECK == 0:
            for number, front in enumerate(self.fronts):
                self._send_queries(number, front)
        arriving = [datagram for datagram in self.in_flight if datagram.due_at <= self.now]
        self.in_flight = [datagram for datagram in self.in_flight if datagram.due_at > self.now]
        for position, datagram in enumerate(arriving):
            self.datagram_count += 1
            if self._draw("lost", self.tick, position) >= self.loss_rate:
                self._deliver(datagram, position)
        self.tick += 1

    def missing_updates(self, age_ms: int) -> list[PeerUpdate]:
        """Return the updates of at least `age_ms` that some uninformed front has not received."""
        return [
            update
            for tick, update in self.sent_at_tick.items()
            if (self.tick - tick) * self.TICK_MS >= age_ms
            for number in self.UNINFORMED
            if update not in [recorded.update for recorded in self.fronts[number].updates.values()]
        ]

    def _draw(self, *labels: object) -> float:
        return seeded_fraction(" ".join(map(str, (self.seed, *labels))).encode())

    def _send_queries(self, sender: int, front: AntiEntropy) -> None:
        for query in front.next_queries(self.now):
            receiver = int(self._draw("to", self.tick, sender, query.number) * self.COUNT)
            self.in_flight.append(Datagram(self.now, sender, receiver, query))

    def _deliver(self, datagram: Datagram, position: int) -> None:
        message = decode(encode(datagram.message))
        receiver = self.fronts[datagram.receiver]
        is_duplicated = self._draw("doubled", self.tick, position) < self.DUPLICATION_RATE
        for _ in range(2 if is_duplicated else 1):
            if isinstance(message, UpdateReply):
                receiver.apply_reply(message, self.now)
                continue
            delay_ms = int(self._draw("late", self.tick, position) * self.MAX_REPLY_DELAY_MS)
            due_at = self.now + delay_ms * NS_PER_MS
            self.in_flight += [
                Datagram(due_at, datagram.receiver, datagram.sender, reply)
                for reply in receiver.answer(message, self.now)
            ]


@pytest.mark.parametrize("loss_rate", [0, 0.1, 0.3, 0.6])
@pytest.mark.parametrize("seed", range(4))
def test_fronts_without_discovery_receive_each_update_within_seven_seconds(seed, loss_rate):
    simulation = SimulatedFronts(seed, loss_rate)
    for tick in range(240):
        if tick % 10 == 0 and tick < 90:
            purge, removal = Purge(0, 1 + tick, 0, tick), UpstreamLeaving(0, f"s{tick}", 1)
            simulation.send_update(purge if tick % 20 else removal)
        simulation.run_tick()
        assert not simulation.missing_updates(age_ms=7000 + simulation.TICK_MS)
    seconds = 240 * simulation.TICK_MS / 1000
    assert simulation.datagram_count < 4 * simulation.COUNT * seconds  # fewer than four per second and front
