"""The messages of a link, and their conversion from and to the gateway's own types.

The classes generated from the schema, `link.proto`, are imported here under descriptive names. Their fields
keep the names of the schema, which describes each of them. Those that handlers use directly are:

- `number`: the forwarded request; `thing`, `part`, `group`: the object; `profile`: the request class.
- `within_ms`: the time until the requester's timeout; `oldest_ms`: the greatest age of a cached response;
  `passed`: the regions that forwarded the request.
- `had`: the part of a response's body that the requester has received; in a `CancelMessage`, whether it has
  received the whole response.
- `word`: the outcome of a request; `ran`: an upstream may have run it; `at`: an offset in a body; `check`:
  the checksum of a body.
- `turn`: the number of a connection; `opening`: the initial credit; `window`: the most bytes in flight.
- `deaf`: the sender's discovery service is silent, so purges may be missing.
"""

from __future__ import annotations

import xxhash

from ...model.request import RequestClass
from ...protocols.client_protocol import ClientRequest
from ...runtime.units import MILLISECOND_NS
from ...state.decisions import RequestOutcome, Response
from ..link_pb2 import Beat as Heartbeat
from ..link_pb2 import Carry as RequestMessage
from ..link_pb2 import Caught as PurgesComplete
from ..link_pb2 import Chunk as BodyChunk
from ..link_pb2 import Credit as CreditGrant
from ..link_pb2 import Fate as StatusReply
from ..link_pb2 import Frame, Hello
from ..link_pb2 import Had as ReceivedPart
from ..link_pb2 import Head as ResponseHead
from ..link_pb2 import Leaving as DrainNotice
from ..link_pb2 import Purge as PurgeMessage
from ..link_pb2 import Query as StatusQuery
from ..link_pb2 import Refused as ConnectionRefused
from ..link_pb2 import Undo as CancelMessage
from ..partial_bodies import PartialBody
from ..purge_log import RegionPurge
from ..request_journal import RequestStatus

__all__ = [
    "FRAME_FIELDS",
    "BodyChunk",
    "CancelMessage",
    "ConnectionRefused",
    "CreditGrant",
    "DrainNotice",
    "Frame",
    "Heartbeat",
    "Hello",
    "LinkMessage",
    "PurgeMessage",
    "PurgesComplete",
    "ReceivedPart",
    "RequestMessage",
    "ResponseHead",
    "StatusQuery",
    "StatusReply",
    "client_request",
    "purge_message",
    "received_part_message",
    "region_purge",
    "request_message",
    "request_status",
    "response_head",
    "status_reply",
]

LinkMessage = (
    Hello
    | RequestMessage
    | BodyChunk
    | CreditGrant
    | ResponseHead
    | CancelMessage
    | StatusQuery
    | StatusReply
    | PurgeMessage
    | PurgesComplete
    | Heartbeat
    | DrainNotice
    | ConnectionRefused
)
# The field of `Frame` that holds each type of message.
FRAME_FIELDS: dict[type[LinkMessage], str] = {
    Hello: "hello",
    RequestMessage: "carry",
    BodyChunk: "chunk",
    CreditGrant: "credit",
    ResponseHead: "head",
    CancelMessage: "undo",
    StatusQuery: "query",
    StatusReply: "fate",
    PurgeMessage: "purge",
    PurgesComplete: "caught",
    Heartbeat: "beat",
    DrainNotice: "leaving",
    ConnectionRefused: "refused",
}
HEAD_STATUS_BY_OUTCOME = {
    RequestOutcome.REJECTED: ResponseHead.PUSHED_BACK,
    RequestOutcome.FAILED: ResponseHead.BROKEN_OFF,
}

STATE_BY_STATUS = {
    RequestStatus.NOT_RECEIVED: StatusReply.NEVER,
    RequestStatus.RUNNING: StatusReply.RUNNING,
    RequestStatus.COMPLETED: StatusReply.ANSWERED,
    RequestStatus.LOST: StatusReply.LOST,
}
STATUS_BY_STATE = {state: status for status, state in STATE_BY_STATUS.items()}


def request_message(
    number: int,
    request: ClientRequest,
    time_left: int,
    max_age_ms: int,
    region: str,
    partial: PartialBody | None,
) -> RequestMessage:
    """Return the message that forwards a request.

    Args:
        number: The number of the forwarded request; each number is greater than the one before.
        request: The client's request; its body follows in chunks.
        time_left: Time until the attempt times out, ns.
        max_age_ms: Greatest age of a cached response, ms; 0 is `DEFAULT_MAX_AGE`.
        region: The region that forwards the request.
        partial: The part of the response that was received before a disconnection; None: nothing to resume.
    """
    message = RequestMessage(
        number=number,
        trace=request.trace_id,
        profile=request.class_name,
        thing=int(request.object_id, 16),
        part=request.part,
        group=request.group,
        within_ms=max(1, time_left // MILLISECOND_NS),
        oldest_ms=max_age_ms,
        copy=request.cached_etag,
        again=request.is_client_retry,
        passed=[*request.via_regions, region],
        body=len(request.body),
        mark=request.idempotency_key,
    )
    if partial:
        message.had.CopyFrom(received_part_message(partial.tag, partial.issued_ms, len(partial.data)))
    return message


def client_request(
    message: RequestMessage, request_class: RequestClass, body: bytes, received_at: int
) -> ClientRequest:
    """Convert the message of a forwarded request to the request type of the gateway's handlers.

    Args:
        message: The message that forwarded the request.
        request_class: The request class named by `message.profile`.
        body: The complete body of the request.
        received_at: The time from which the request's timeout is counted, ns of the monotonic clock.
    """
    return ClientRequest(
        tag=message.number,
        request_class=request_class,
        class_name=message.profile,
        trace_id=message.trace,
        timeout_ns=min(message.within_ms * MILLISECOND_NS, request_class.client_timeout),
        is_client_retry=message.again,
        object_id=f"{message.thing:016x}",
        part=message.part,
        group=message.group,
        cached_etag=message.copy,
        body=body,
        max_age_ns=message.oldest_ms * MILLISECOND_NS,
        via_regions=tuple(message.passed),
        idempotency_key=message.mark,
        received_at=received_at,
    )


def received_part_message(tag: str, issued_ms: int, size: int) -> ReceivedPart:
    """Return the message that identifies the `size` bytes of a response's body received so far."""
    return ReceivedPart(tag=tag, issued_ms=issued_ms, bytes=size)


def response_head(number: int, response: Response, offset: int = 0) -> ResponseHead:
    """Return the message that precedes the body of a response, which is sent from `offset` on."""
    if response.outcome is not RequestOutcome.SERVED:
        missing = response.object_missing
        return ResponseHead(
            number=number,
            word=ResponseHead.LACKING if missing else HEAD_STATUS_BY_OUTCOME[response.outcome],
            ran=response.may_have_run,
            pause_ms=response.retry_after // MILLISECOND_NS,
        )
    if response.not_modified:
        return ResponseHead(
            number=number,
            word=ResponseHead.SAME,
            tag=response.entity_tag,
            issued_ms=response.issued_ms,
        )
    return ResponseHead(
        number=number,
        word=ResponseHead.SETTLED,
        tag=response.entity_tag,
        issued_ms=response.issued_ms,
        size=len(response.body),
        at=offset,
        check=xxhash.xxh3_64_intdigest(response.body),
    )


def purge_message(purge: RegionPurge) -> PurgeMessage:
    """Return the message that sends a purge to another region."""
    return PurgeMessage(index=purge.index, thing=purge.object_id, group=purge.group, at_ms=purge.purged_at_ms)


def region_purge(message: PurgeMessage) -> RegionPurge:
    """Return the purge of another region from its message."""
    return RegionPurge(message.index, message.thing, message.group, message.at_ms)


def status_reply(number: int, status: RequestStatus) -> StatusReply:
    """Return the message that reports the status of a request."""
    return StatusReply(number=number, state=STATE_BY_STATUS[status])


def request_status(message: StatusReply) -> RequestStatus:
    """Return the status of a request from its message."""
    return STATUS_BY_STATE[message.state]
