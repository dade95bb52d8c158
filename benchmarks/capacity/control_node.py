"""Processor time, traffic and memory of a control node by fronts and purges, without sockets.

Measured are the event log, the sessions and the confirmation of purges. Every front is connected and confirms
each purge before the next one: this is the most messages that a purge can cost. The scale run measures the
same with sockets and processes.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

from marbleglade.control.events.confirmation import MAX_RECENT_PURGES, ConfirmationTracker
from marbleglade.control.events.event_log import EventLog
from marbleglade.control.events.session import Session
from marbleglade.control.messages import EventsApplied, encode_request
from marbleglade.model.watch_event import Purge

from .fit import fit_slope, fit_slopes_by_name
from .hosted_front import NS_PER_S, nth_object_id
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only control"
ROLE = "control machine"
UNIX_MS = 1_800_000_000_000
CATCH_UP_BYTES_PER_S = 6144  # per front
PURGES_PER_RUN = 30
RUNS = 5
CONFIRMATIONS_PER_S = 10  # most confirmations that one front sends, since it coalesces them


class SocketlessNode:
    """The event log, sessions and confirmation of a control node with `fronts` connected fronts."""

    def __init__(self, fronts: int) -> None:
        self.log = EventLog("0" * 16)
        self.confirmation = ConfirmationTracker([f"f{number}" for number in range(fronts)])
        self.sessions: dict[str, Session] = {}
        for number, name in enumerate(self.confirmation.fronts, 1):
            self.confirmation.record_connected(name, UNIX_MS, number, 0)
            self.sessions[name] = Session(self.log, CATCH_UP_BYTES_PER_S)
            self.sessions[name].start_for_front(None)

    def purge(self, now: int) -> int:
        """Receive a new purge and return its index in the log."""
        purge = Purge(0, nth_object_id(self.log.last_index), 0, UNIX_MS + self.log.last_index)
        entry = self.log.append_purge(purge)
        if entry is None:
            raise RuntimeError(f"expected a new purge, but the log already has {purge}")
        self.confirmation.add_purge(entry.index, purge, now, UNIX_MS, True)
        return entry.index

    def send(self, now: int) -> int:
        """Write what is due to all sessions and return the number of bytes."""
        sent = 0
        for session in self.sessions.values():
            batch = session.next_batch(now)
            session.record_written(batch, len(batch))
            sent += len(batch)
        return sent

    def confirm(self, index: int, now: int) -> None:
        """Have every front confirm that it has applied the event of this index."""
        for number, (name, session) in enumerate(self.sessions.items(), 1):
            session.accept_applied(EventsApplied(index))
            self.confirmation.record_applied(name, number, index, now)


def measure_purge_time(fronts: int) -> Point:
    """Measure the processor time to receive a purge, send it to all fronts and handle all confirmations.

    Returns the least of the means of several runs.
    """
    node, means = SocketlessNode(fronts), []
    for _ in range(RUNS):
        started_at = time.process_time_ns()
        for number in range(PURGES_PER_RUN):
            now = number * NS_PER_S
            index = node.purge(now)
            node.send(now)
            node.confirm(index, now)
        means.append((time.process_time_ns() - started_at) / PURGES_PER_RUN / NS_PER_S)
    at = {"fronts": fronts}
    return Point("control node purge", ROLE, "processor time of a purge", "s", at, min(means), COMMAND)


def stream_bytes(purges: int) -> list[Point]:
    """Return the bytes a second that a node sends to and receives from one front at this purge rate."""
    node = SocketlessNode(1)
    sent_bytes = len(b"%d\n" % UNIX_MS)  # a heartbeat with a long number
    for _ in range(purges):
        node.purge(0)
    sent_bytes += node.send(0)
    received_bytes = min(purges, CONFIRMATIONS_PER_S) * len(encode_request(EventsApplied(UNIX_MS)))
    at = {"purges_per_s": purges}
    return [
        Point("control bytes to a front", ROLE, "bytes sent to one front", "B/s", at, sent_bytes, COMMAND),
        Point(
            "control bytes from a front",
            ROLE,
            "bytes received from one front",
            "B/s",
            at,
            received_bytes,
            COMMAND,
        ),
    ]


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes of memory that the object returned by `build` holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return used


def log_memory(purges: int) -> Point:
    """Measure the memory of a log with purges of this many different objects."""
    used, at = allocated_bytes(lambda: log_with_purges(purges)), {"retained_purges": purges}
    return Point("control log memory", ROLE, "memory of the log", "B", at, used, COMMAND)


def confirmation_memory(fronts: int) -> Point:
    """Measure the memory of sessions and confirmation with as many recent purges as are retained."""

    def build() -> SocketlessNode:
        node = SocketlessNode(fronts)
        for _ in range(MAX_RECENT_PURGES):
            index = node.purge(0)
            node.send(0)
            node.confirm(index, 0)
        return node

    at = {"fronts": fronts}
    used = allocated_bytes(build) - allocated_bytes(lambda: log_with_purges(MAX_RECENT_PURGES))
    return Point("control confirmation memory", ROLE, "memory of confirmation", "B", at, used, COMMAND)


def log_with_purges(purges: int) -> EventLog:
    """Return a log with this many purges."""
    log = EventLog("0" * 16)
    for number in range(purges):
        log.append_purge(Purge(0, nth_object_id(number), 0, UNIX_MS + number))
    return log


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Run all measurements of a control node and fit their slopes."""
    sizes = (50, 200) if quick else (50, 200, 730, 1460)
    times = [measure_purge_time(fronts) for fronts in sizes]
    memory = [confirmation_memory(fronts) for fronts in sizes]
    logs = [log_memory(purges) for purges in ((1024, 4096) if quick else (1024, 8192, 32_768, 65_536))]
    sent = [point for purges in ((0, 12) if quick else (0, 3, 6, 10)) for point in stream_bytes(purges)]
    slopes = [
        fit_slope(times, "fronts"),
        fit_slope(memory, "fronts"),
        fit_slope(logs, "retained_purges"),
        *fit_slopes_by_name(sent, "purges_per_s"),
    ]
    return [*times, *memory, *logs, *sent], slopes
