"""Decides how a forwarded request continues after a disconnection or a response. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ...model.attempt import AttemptResult
from ...model.request import Idempotency, RequestClass
from ...runtime.units import MILLISECOND_NS
from ...state.decisions import Response
from ..request_journal import RequestStatus
from .messages import ReceivedPart


@dataclass(frozen=True, slots=True)
class AwaitLink:
    """The request stays open, and its status is queried once the link is up.

    Attributes:
        deadline: The time until which the request waits for the link, ns.
    """

    deadline: int


def result_after_disconnect(
    request_class: RequestClass, sent_at: int, now: int, attempt_deadline: int, peer_keeps_journal: bool
) -> AttemptResult | AwaitLink:
    """Return the result of a request whose link was disconnected, or the deadline of its wait for the link.

    An idempotent request waits as long as its latency objective allows. The objective grows with the transfer
    time, which is not known yet: the time since the request was sent is used instead. Any other request waits
    until its attempt times out, since a retry is safe only if its status proves that it did not run.

    Args:
        request_class: The class of the request.
        sent_at: When the attempt was sent, ns.
        now: When the link was disconnected, ns.
        attempt_deadline: When the attempt times out, ns.
        peer_keeps_journal: The other gateway keeps a request journal, so it answers status queries.
    """
    if not peer_keeps_journal:
        return AttemptResult.RESET
    if request_class.idempotency is not Idempotency.IDEMPOTENT:
        return AwaitLink(attempt_deadline)
    extension = int(request_class.objective_stretch * max(0, now - sent_at))
    objective_at = sent_at + request_class.latency_objective + extension
    return AwaitLink(min(attempt_deadline, objective_at))


def result_while_sibling_is_up(request_class: RequestClass) -> AttemptResult | None:
    """Return the result of a detached request if a sibling link is up; None: it keeps waiting.

    A detached request was sent on an earlier connection, and its status is unknown. A sibling link is another
    link to the same region. Only an idempotent request ends, since it may be retried there at once.
    """
    return AttemptResult.RESET if request_class.idempotency is Idempotency.IDEMPOTENT else None


def result_after_peer_restart() -> AttemptResult:
    """Return the result of a request whose gateway restarted: its status is lost, and it may have run."""
    return AttemptResult.RESET


def result_of_status(status: RequestStatus) -> AttemptResult | None:
    """Return the result of a request with this status; None: it stays open, since a response follows."""
    return {
        RequestStatus.NOT_RECEIVED: AttemptResult.CONNECT_FAILED,
        RequestStatus.LOST: AttemptResult.RESET,
    }.get(status)


class ResponseStatus(Enum):
    """Outcome of a request at the other gateway. The values are those of `Head.Word` in `link.proto`."""

    SERVED = 1
    NOT_MODIFIED = 2
    REJECTED = 3
    FAILED = 4
    OBJECT_MISSING = 5


def result_of_response(
    status: ResponseStatus, may_have_run: bool, request_class: RequestClass
) -> AttemptResult:
    """Return the result of an attempt from the status of its response.

    `MISS` and `REJECTED` imply that a retry is safe. They are returned only if the other gateway reports that
    nothing ran, or if the class is idempotent.
    """
    if status in (ResponseStatus.SERVED, ResponseStatus.NOT_MODIFIED):
        return AttemptResult.OK
    if status is ResponseStatus.FAILED:
        return AttemptResult.ERROR
    if may_have_run and request_class.idempotency is not Idempotency.IDEMPOTENT:
        return AttemptResult.ERROR
    return AttemptResult.MISS if status is ResponseStatus.OBJECT_MISSING else AttemptResult.REJECTED


def resume_offset(received: ReceivedPart, response: Response) -> int:
    """Return the offset in a response's body from which it has to be sent.

    Args:
        received: The part of a response's body that the requester has received.
        response: The response, with its body.

    Returns:
        The number of bytes received, if they are of the same version of the object; else 0.
    """
    same_version = (received.tag, received.issued_ms) == (response.entity_tag, response.issued_ms)
    if not received.tag or not same_version or received.bytes > len(response.body):
        return 0
    return received.bytes


def may_reuse_response(
    issued_ms: int, now_ms: int, purged_ms: int, max_age_ms: int, request_class: RequestClass
) -> bool:
    """Return whether the stored response of an earlier request may resume the partial body of another one.

    Args:
        issued_ms: When the object in the response was issued, Unix milliseconds.
        now_ms: The present time by the same clock, Unix milliseconds.
        purged_ms: When the object was last purged, Unix milliseconds; 0: never.
        max_age_ms: Greatest age of the response, ms; 0: the freshness lifetime, or no limit if that is 0 too.
        request_class: The class of the other request, which has to be idempotent.
    """
    limit = max_age_ms or request_class.freshness_lifetime // MILLISECOND_NS
    return (
        request_class.idempotency is Idempotency.IDEMPOTENT
        and issued_ms > purged_ms
        and (not limit or now_ms - issued_ms <= limit)
    )
