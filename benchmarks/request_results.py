"""Results of the requests of a benchmark."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_NOTES = 20
LATE_WEIGHT = 0.2  # weight of a request that was served after its latency objective; 1 if in time


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, including its retries.

    Attributes:
        sent_at: Time of the first attempt in monotonic seconds.
        target: Name of the front or gateway.
        is_local: The object belongs to the client's own region.
        status: Status of the last response; "" if there was none, "lost" if the connection ended before it,
            "closed" if no connection could be opened.
        latency_s: Latency of the last attempt in seconds.
        attempts: Number of attempts.
        served: Whether the correct object was received, in time or late.
        late: Whether it was served after its latency objective, which counts from the first attempt.
        excused: Whether the target was down or shutting down; such a request does not count.
    """

    sent_at: float
    target: str
    is_local: bool
    status: str = ""
    latency_s: float = 0.0
    attempts: int = 1
    served: bool = False
    late: bool = False
    excused: bool = False


class ServedVersion(NamedTuple):
    """A served version of an object, with the time (monotonic seconds) and the target of the attempt."""

    sent_at: float
    target: str
    object_id: int
    version: int


@dataclass(slots=True)
class RequestResults:
    """All requests of some streams, and their violations of the rules of a benchmark.

    Attributes:
        records: The requests in sending order.
        lost: Number of attempts without a response in time.
        duplicates: Number of malformed responses, and of responses beyond the first of an attempt.
        stale: Number of served versions that were too old.
        corrupted: Number of bodies with wrong bytes.
        worst_staleness_s: Longest time from the deadline of a purge to an attempt that was nevertheless
            served an older version.
        notes: Descriptions of the first violations, at most `MAX_NOTES`.
        served_versions: All served versions, for the check of purges.
    """

    records: list[RequestRecord] = field(default_factory=list)
    lost: int = 0
    duplicates: int = 0
    stale: int = 0
    corrupted: int = 0
    worst_staleness_s: float = float("-inf")
    notes: list[str] = field(default_factory=list)
    served_versions: list[ServedVersion] = field(default_factory=list)

    def add_note(self, text: str) -> None:
        """Add the description of a violation, up to `MAX_NOTES` of them."""
        if len(self.notes) < MAX_NOTES:
            self.notes.append(text)

    def _between(self, start: float, end: float) -> list[RequestRecord]:
        return [one for one in self.records if start <= one.sent_at < end and not one.excused]

    def weighted_share(self, start: float, end: float) -> float:
        """Return the share of served requests, where a late one counts a fifth; 1 without requests."""
        records = self._between(start, end)
        weights = [(LATE_WEIGHT if one.late else 1.0) if one.served else 0.0 for one in records]
        return sum(weights) / len(weights) if weights else 1.0

    def served_share(
        self, start: float, end: float, is_local: bool | None = None, max_attempts: int = 9
    ) -> float:
        """Return the share of requests that were served within `max_attempts`; 1 without requests.

        Args:
            start: Earliest time of the first attempt, in monotonic seconds.
            end: Time before which the first attempt was sent, in monotonic seconds.
            is_local: Consider only requests with this `is_local`; None: all.
            max_attempts: A request that took more attempts does not count as served.
        """
        records = [one for one in self._between(start, end) if is_local is None or one.is_local is is_local]
        served = [one.served and one.attempts <= max_attempts for one in records]
        return sum(served) / len(served) if served else 1.0
