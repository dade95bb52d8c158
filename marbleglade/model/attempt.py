"""Attempts: each sends a request to one upstream once and has one result."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .request import Request
from .upstream import Upstream

if TYPE_CHECKING:
    from ..policy.link_model import LinkReservation


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1
    REJECTED = 2  # the upstream rejected it because of overload
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5  # the connection broke after the attempt was sent
    CANCELLED = 6
    NOT_STARTED = 7  # cancelled or dropped before the upstream started to process it
    MISS = 8  # the upstream does not hold the object and must not fetch it, or the origin does not have it


# Results which prove that the upstream never processed the request.
NEVER_RUN_RESULTS = frozenset(
    (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_STARTED, AttemptResult.MISS)
)


class ResponseSource(Enum):
    """Where a response came from, or why a fill failed, as reported by the upstream."""

    NOTHING = 0  # not reported
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4  # waited for a fill that another request had started
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to get the response to a request from one upstream.

    Attributes:
        request: The request that the attempt belongs to.
        upstream: The upstream that the attempt is sent to.
        fill_source: The source that the upstream fills a miss from; the upstream itself for no fill.
        sent_at: The time at which the policy ordered the attempt, ns.
        timeout: The longest time that the attempt may take, ns.
        cache_priority: Priority of the object in the upstream's cache; the highest is evicted last.
        result: The result; None while the attempt is in flight.
        response_source: The source of the response, as reported by the upstream.
        latency: Time from the start of the attempt to its end, ns.
        queueing_time: The part of `latency` that the upstream reports as queueing, ns; 0 if not reported.
        not_modified: The response has no body, because the client's own copy is current.
        not_written: The attempt ended before any byte of it was sent.
        link_reservations: The links on which the policy counts the attempt: first the upstream's own link,
            then the links of an expected fill in order, towards the origin.
    """

    request: Request
    upstream: Upstream
    fill_source: Upstream
    sent_at: int
    timeout: int
    cache_priority: int
    result: AttemptResult | None = None
    response_source: ResponseSource = ResponseSource.NOTHING
    latency: int = 0
    queueing_time: int = 0
    not_modified: bool = False
    not_written: bool = False
    link_reservations: list[LinkReservation] = field(default_factory=list)

    @property
    def expects_fill(self) -> bool:
        """True if the policy expects the upstream to miss and to fill the object from `fill_source`."""
        return len(self.link_reservations) > 1

    @property
    def may_have_run(self) -> bool:
        """True unless it is certain that the upstream never processed the attempt."""
        return self.result not in NEVER_RUN_RESULTS and not self.not_written
