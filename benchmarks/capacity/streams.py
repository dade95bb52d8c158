"""Bytes of a front's discovery watch and of its anti-entropy messages by purges a second.

Lines of the watch are those of the stand-in discovery service. Points and slopes named "hints" are of
anti-entropy messages: the real protocol code of two fronts exchanges them on simulated time, without losses.
Each front queries the other instead of a random peer.
"""

from __future__ import annotations

import orjson

from marbleglade.fleet.anti_entropy import AntiEntropy
from marbleglade.model.watch_event import Purge
from marbleglade.protocols.update_datagrams import UpdateQuery, UpdateReply, encode

from .fit import fit_slopes_by_name
from .hosted_front import nth_object_id
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only streams"
NS_PER_S = 1_000_000_000
TICK = NS_PER_S // 4
RETENTION = 12 * NS_PER_S  # time for which an update may be needed, by the stand-ins' settings
MEASURED_SECONDS = 60
EVENT_INDEX = 1_000_000  # index of an event after a day of purges
UNIX_MS = 1_800_000_000_000


def purge_line(number: int) -> bytes:
    """Return the line that the discovery service sends for a purge of one object."""
    purge = {"ref": f"{nth_object_id(number):016x}", "unix_ms": UNIX_MS}
    return orjson.dumps({"index": number, "evict": purge}, option=orjson.OPT_APPEND_NEWLINE)


def watch_bytes(purges: int) -> float:
    """Return the bytes a second on one watch: a heartbeat and the purges."""
    return len(b"%d\n" % EVENT_INDEX) + purges * len(purge_line(EVENT_INDEX))


def anti_entropy_bytes(purges: int) -> float:
    """Return the bytes a second of queries and replies that one front sends at this rate of purges."""
    first, second = (AntiEntropy(NS_PER_S, RETENTION, 0) for _ in range(2))
    sent, purged = 0, 0
    for now in range(TICK, MEASURED_SECONDS * NS_PER_S, TICK):
        while purged < now * purges // NS_PER_S:
            purged += 1
            for front in (first, second):
                front.record(Purge(purged, nth_object_id(purged), 0, UNIX_MS + purged), now)
        for querying, answering in ((first, second), (second, first)):
            querying.record_contact(now)
            for query in querying.next_queries(now):
                sent += _exchange(querying, answering, query, now)
    return sent / 2 / MEASURED_SECONDS


def _exchange(querying: AntiEntropy, answering: AntiEntropy, query: UpdateQuery, now: int) -> int:
    """Deliver one query and its replies, and return their total bytes."""
    replies = answering.answer(query, now)
    for reply in replies:
        querying.apply_reply(reply, now)
    return _datagram_bytes(query) + sum(map(_datagram_bytes, replies))


def _datagram_bytes(message: UpdateQuery | UpdateReply) -> int:
    data = encode(message)
    if data is None:
        raise ValueError(f"the message is too long for a datagram: {message}")
    return len(data)


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure watch and anti-entropy at all rates and fit the slopes by purges a second."""
    points = []
    for purges in (0, 12) if quick else (0, 3, 6, 12, 24):
        at = {"purges_per_s": purges}
        points += [
            Point("watch", "front", "bytes received", "B/s", at, watch_bytes(purges), COMMAND),
            Point("hints", "front", "bytes sent", "B/s", at, anti_entropy_bytes(purges), COMMAND),
        ]
    return points, fit_slopes_by_name(points, "purges_per_s")
