"""Anti-entropy between fronts: a front that may have missed discovery events queries a peer for them.

Every front watches the discovery service itself, so no front pushes events to its peers. A front that has
received nothing from the service for over an interval queries a peer for the updates that the peer received
in that time. It repeats this, each time with other peers, until the service sends again. Any other front
queries at long intervals, in case it receives less than its peers. A reply states the time up to which it is
complete, so no period is queried twice. Only purges and removals of upstreams are exchanged.

This module does no I/O, reads no clock and has no randomness: times are integer nanoseconds of the caller's
monotonic clock. Messages contain only ages, so the fronts' clocks need not agree.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.peer_update import PeerUpdate
from ..model.watch_event import Purge
from ..protocols.update_datagrams import (
    MAX_REPLY_PARTS,
    UpdateQuery,
    UpdateReply,
    split_into_datagrams,
)
from ..runtime.units import MILLISECOND_NS

MAX_STORED_UPDATES = 512  # kept at one front; beyond this number, the oldest update is dropped first
MAX_PENDING_QUERIES = 8
MAX_FAST_ROUNDS = 16  # unanswered rounds in a row after which the interval between rounds grows
PEERS_PER_ROUND = 3  # peers queried in a round after two unanswered rounds; before that, one peer
# Ratios to the discovery service's interval.
SILENCE_THRESHOLD = 1.25  # time without a line from the service after which a front queries peers
RETRY_INTERVAL = 0.25  # between rounds while the last round is unanswered
FOLLOW_UP_INTERVAL = 0.5  # between rounds after an answered round, or after too many unanswered ones
ROUTINE_INTERVAL = 2.5  # while the service sends; well below the longest delay of a discovery service
MAX_SPAN_MS = 0xFFFF_FFFF


class PurgeKey(NamedTuple):
    """Identifies a purge."""

    object_id: int
    group: int
    unix_ms: int


class LeavingKey(NamedTuple):
    """Identifies the removal of an upstream."""

    upstream_id: str
    started_ms: int


UpdateKey = PurgeKey | LeavingKey


def _update_key(update: PeerUpdate) -> UpdateKey:
    if isinstance(update, Purge):
        return PurgeKey(update.object_id, update.group, update.unix_ms)
    return LeavingKey(update.id, update.started_ms)


class RecordedUpdate(NamedTuple):
    """An update, and the time at which this front received it, ns."""

    received_at: int
    update: PeerUpdate


@dataclass(slots=True)
class PendingQuery:
    """The time at which a query was sent, ns, and the parts of its reply received so far."""

    sent_at: int
    parts: dict[int, UpdateReply] = field(default_factory=dict)


class AntiEntropy:
    """The updates that a front received recently, and the period for which it has all of them.

    Args:
        interval: Nanoseconds between two lines of the discovery service.
        retention: Nanoseconds for which a peer may need an update.
        now: The current time, ns.
    """

    def __init__(self, interval: int, retention: int, now: int) -> None:
        self.interval = interval
        self.retention = retention
        self.updates: OrderedDict[UpdateKey, RecordedUpdate] = OrderedDict()
        self.complete_from = now  # no update received at or after this time was dropped, ns
        self.complete_until = now  # all updates up to this time were received, ns
        self.last_contact_at = now
        self.pending_queries: OrderedDict[int, PendingQuery] = OrderedDict()
        self.last_query_number = 0
        self.queried_at = now
        self.unanswered_rounds = 0

    def record_contact(self, now: int) -> None:
        """Record a line of the discovery service: all updates that it sent until now were received."""
        self.last_contact_at = now
        self.complete_until = max(self.complete_until, now)

    def discovery_is_silent(self, now: int) -> bool:
        """Return whether the discovery service is silent for so long that events may have been missed."""
        return now - self.last_contact_at > self.interval * SILENCE_THRESHOLD

    def record(self, update: PeerUpdate, now: int) -> bool:
        """Store an update for replies to peers; false if it is already stored."""
        key = _update_key(update)
        if key in self.updates:
            return False
        self.updates[key] = RecordedUpdate(now, update)
        while len(self.updates) > MAX_STORED_UPDATES or self._oldest_received_at() < now - self.retention:
            _, dropped = self.updates.popitem(last=False)
            self.complete_from = max(self.complete_from, dropped.received_at + 1)
        return True

    def retract(self, upstream_id: str) -> None:
        """Discard the removal of an upstream that the discovery service lists again."""
        leaving = [
            key for key in self.updates if isinstance(key, LeavingKey) and key.upstream_id == upstream_id
        ]
        for key in leaving:
            del self.updates[key]

    def next_queries(self, now: int) -> list[UpdateQuery]:
        """Return the queries that are due; the caller sends each to a peer of its choice."""
        is_silent = self.discovery_is_silent(now)
        if now - self.queried_at < self.interval * self._query_interval(is_silent):
            return []
        # The span begins one interval early, because an update can reach a peer before it would reach this
        # front.
        since = (self.complete_until if is_silent else self.queried_at) - self.interval
        span_ms = min((now - since) // MILLISECOND_NS, MAX_SPAN_MS)
        peer_count = PEERS_PER_ROUND if is_silent and self.unanswered_rounds > 1 else 1
        numbers = range(self.last_query_number + 1, self.last_query_number + 1 + peer_count)
        self.queried_at = now
        self.last_query_number = numbers[-1]
        self.unanswered_rounds = self.unanswered_rounds + 1 if is_silent else 0
        for number in numbers:
            self.pending_queries[number] = PendingQuery(now)
        while len(self.pending_queries) > MAX_PENDING_QUERIES:
            self.pending_queries.popitem(last=False)
        return [UpdateQuery(number, span_ms) for number in numbers]

    def apply_reply(self, reply: UpdateReply, now: int) -> list[PeerUpdate]:
        """Store the updates of a reply and return the new ones, oldest first.

        A reply that belongs to no pending query is ignored.
        """
        query = self.pending_queries.get(reply.number)
        if query is None:
            return []
        query.parts[reply.part] = reply
        if reply.parts and len(query.parts) >= reply.parts:
            del self.pending_queries[reply.number]
            self.unanswered_rounds = 0
            age_ms = max(part.complete_age_ms for part in query.parts.values())
            self.complete_until = max(self.complete_until, query.sent_at - age_ms * MILLISECOND_NS)
        return [update for update in reply.updates if self.record(update, now)]

    def answer(self, query: UpdateQuery, now: int) -> list[UpdateReply]:
        """Return the parts of the reply to a peer: the updates received here within the span of its query."""
        since = now - query.span_ms * MILLISECOND_NS
        updates = [recorded.update for recorded in self.updates.values() if recorded.received_at >= since]
        age_ms = min(max(0, now - self.complete_until) // MILLISECOND_NS + 1, MAX_SPAN_MS)
        parts = split_into_datagrams(updates)
        is_complete = since >= self.complete_from and len(parts) <= MAX_REPLY_PARTS
        part_count = len(parts) if is_complete else 0
        return [
            UpdateReply(query.number, age_ms, position, part_count, part)
            for position, part in enumerate(parts[-MAX_REPLY_PARTS:])
        ]

    def _oldest_received_at(self) -> int:
        return next(iter(self.updates.values())).received_at

    def _query_interval(self, is_silent: bool) -> float:
        if not is_silent:
            return ROUTINE_INTERVAL
        if 0 < self.unanswered_rounds <= MAX_FAST_ROUNDS:
            return RETRY_INTERVAL
        return FOLLOW_UP_INTERVAL
