"""The link's messages: requests, responses, statuses and purges are received as they were transferred."""

import pytest

from marbleglade.gateway.link.messages import (
    STATE_BY_STATUS,
    Frame,
    RequestMessage,
    ResponseHead,
    StatusReply,
    client_request,
    purge_message,
    region_purge,
    request_message,
    request_status,
    response_head,
    status_reply,
)
from marbleglade.gateway.link.recovery import ResponseStatus
from marbleglade.gateway.partial_bodies import PartialBody
from marbleglade.gateway.purge_log import RegionPurge
from marbleglade.gateway.request_journal import RequestStatus
from marbleglade.model.request import RequestClass
from marbleglade.protocols.client_protocol import ClientRequest
from marbleglade.state.decisions import RequestOutcome, Response
from tests.harness.units import NS_PER_MS as MS

REQUEST_CLASS = RequestClass(300 * MS, 2, 2000 * MS)
REQUEST = ClientRequest(
    tag=3,
    request_class=REQUEST_CLASS,
    class_name="page",
    trace_id="1" * 16,
    timeout_ns=900 * MS,
    is_client_retry=True,
    object_id="f00000000000000a",
    part=2,
    group=7,
    cached_etag="2" * 16,
    body=b"body",
    max_age_ns=400 * MS,
    via_regions=("south",),
    idempotency_key="key",
)


def transferred(message):
    """Return a message after it was serialized and parsed."""
    return type(message).FromString(message.SerializeToString())


def transferred_request(time_left=600 * MS, partial=None):
    return transferred(request_message(5, REQUEST, time_left, 400, "east", partial))


def test_a_forwarded_request_has_its_number_its_region_and_the_time_left():
    received = client_request(transferred_request(), REQUEST_CLASS, b"body", 123)
    assert (received.tag, received.via_regions) == (5, ("south", "east"))
    assert (received.timeout_ns, received.received_at) == (600 * MS, 123)
    for field in (
        "request_class",
        "class_name",
        "trace_id",
        "is_client_retry",
        "object_id",
        "part",
        "group",
        "cached_etag",
        "body",
        "max_age_ns",
        "idempotency_key",
    ):
        assert getattr(received, field) == getattr(REQUEST, field), field


def test_the_timeout_of_a_forwarded_request_is_limited_by_its_class():
    received = client_request(transferred_request(time_left=9000 * MS), REQUEST_CLASS, b"", 0)
    assert received.timeout_ns == REQUEST_CLASS.client_timeout


def test_the_time_left_is_sent_as_at_least_one_millisecond():
    assert transferred_request(time_left=1).within_ms == 1


def test_a_partial_body_is_identified_by_its_object_and_size():
    part = transferred_request(partial=PartialBody("3" * 16, 50, b"12345", 0)).had
    assert (part.tag, part.issued_ms, part.bytes) == ("3" * 16, 50, 5)
    assert not transferred_request().HasField("had")


@pytest.mark.parametrize(
    "response, status",
    [
        (Response(RequestOutcome.SERVED, body=b"b", entity_tag="t", issued_ms=5), ResponseStatus.SERVED),
        (
            Response(RequestOutcome.SERVED, not_modified=True, entity_tag="t", issued_ms=5),
            ResponseStatus.NOT_MODIFIED,
        ),
        (Response(RequestOutcome.REJECTED, retry_after=30 * MS), ResponseStatus.REJECTED),
        (Response(RequestOutcome.FAILED, may_have_run=True), ResponseStatus.FAILED),
        (Response(RequestOutcome.REJECTED, object_missing=True), ResponseStatus.OBJECT_MISSING),
    ],
)
def test_the_head_of_a_response_has_the_outcome_of_the_request(response, status):
    head = transferred(response_head(5, response))
    assert head.number == 5
    assert ResponseStatus(head.word) is status
    assert (head.tag, head.issued_ms) == (response.entity_tag, response.issued_ms)
    assert (head.size, head.at) == (len(response.body), 0)
    assert (head.ran, head.pause_ms) == (response.may_have_run, response.retry_after // MS)


@pytest.mark.parametrize("status", RequestStatus)
def test_the_status_of_a_request_is_received_as_it_was_sent(status):
    reply = transferred(status_reply(5, status))
    assert (reply.number, request_status(reply)) == (5, status)


def test_a_purge_is_received_as_it_was_sent():
    purge = RegionPurge(index=3, object_id=1 << 63, group=7, purged_at_ms=1 << 41)
    assert region_purge(transferred(purge_message(purge))) == purge


def test_the_values_on_the_wire_do_not_change():
    assert [STATE_BY_STATUS[status] for status in RequestStatus] == [1, 2, 3, 4]
    assert [ResponseHead.SETTLED, ResponseHead.SAME, ResponseHead.PUSHED_BACK] == [1, 2, 3]
    assert [ResponseHead.BROKEN_OFF, ResponseHead.LACKING] == [4, 5]
    assert [StatusReply.NEVER, StatusReply.RUNNING, StatusReply.ANSWERED, StatusReply.LOST] == [1, 2, 3, 4]
    assert Frame(carry=RequestMessage(number=1)).SerializeToString() == b"\x12\x02\x08\x01"
