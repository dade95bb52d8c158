"""Tables of how a request continues after a disconnection, and of the result that a response implies."""

import pytest

from marbleglade.gateway.link import recovery
from marbleglade.gateway.link.messages import received_part_message
from marbleglade.gateway.link.recovery import AwaitLink, ResponseStatus
from marbleglade.model.attempt import AttemptResult
from marbleglade.model.request import Idempotency, RequestClass
from marbleglade.state.decisions import RequestOutcome, Response
from tests.harness.units import NS_PER_MS as MS

IDEMPOTENT, IDEMPOTENT_BY_KEY, NON_IDEMPOTENT = (
    RequestClass(300 * MS, 2, 2000 * MS, idempotency, deduplication_window=5000 * MS)
    for idempotency in Idempotency
)
FRESH_FOR_499_MS = RequestClass(1, 1, 1, freshness_lifetime=499 * MS)


@pytest.mark.parametrize(
    "request_class, peer_keeps_journal, decision, while_sibling_is_up",
    [
        (IDEMPOTENT, True, AwaitLink(410 * MS), AttemptResult.RESET),
        (IDEMPOTENT, False, AttemptResult.RESET, AttemptResult.RESET),
        (NON_IDEMPOTENT, True, AwaitLink(1500 * MS), None),
        (NON_IDEMPOTENT, False, AttemptResult.RESET, None),
        (IDEMPOTENT_BY_KEY, True, AwaitLink(1500 * MS), None),
    ],
)
def test_a_request_waits_for_its_link_as_its_class_allows(
    request_class, peer_keeps_journal, decision, while_sibling_is_up
):
    found = recovery.result_after_disconnect(request_class, 10 * MS, 60 * MS, 1500 * MS, peer_keeps_journal)
    assert found == decision
    assert recovery.result_while_sibling_is_up(request_class) is while_sibling_is_up


@pytest.mark.parametrize(
    "status, may_have_run, request_class, result",
    [
        (ResponseStatus.SERVED, True, NON_IDEMPOTENT, AttemptResult.OK),
        (ResponseStatus.NOT_MODIFIED, False, IDEMPOTENT, AttemptResult.OK),
        (ResponseStatus.REJECTED, False, NON_IDEMPOTENT, AttemptResult.REJECTED),
        (ResponseStatus.REJECTED, True, NON_IDEMPOTENT, AttemptResult.ERROR),
        (ResponseStatus.REJECTED, True, IDEMPOTENT, AttemptResult.REJECTED),
        (ResponseStatus.OBJECT_MISSING, False, IDEMPOTENT_BY_KEY, AttemptResult.MISS),
        (ResponseStatus.OBJECT_MISSING, True, IDEMPOTENT_BY_KEY, AttemptResult.ERROR),
        (ResponseStatus.FAILED, False, IDEMPOTENT, AttemptResult.ERROR),
    ],
)
def test_the_result_of_a_response_depends_on_what_may_have_run(status, may_have_run, request_class, result):
    assert recovery.result_of_response(status, may_have_run, request_class) is result


@pytest.mark.parametrize(
    "received, sent, offset",
    [
        (("a", 5, 100), ("a", 5, 200), 100),
        (("a", 5, 100), ("a", 6, 200), 0),
        (("a", 5, 100), ("b", 5, 200), 0),
        (("", 0, 100), ("", 0, 200), 0),
        (("a", 5, 300), ("a", 5, 200), 0),
        (("a", 5, 200), ("a", 5, 200), 200),
    ],
)
def test_a_body_is_resumed_only_within_the_same_version_of_the_object(received, sent, offset):
    """`received` and `sent` are each an entity tag, a time of issue in ms, and a size in bytes."""
    tag, issued_ms, size = sent
    response = Response(RequestOutcome.SERVED, entity_tag=tag, issued_ms=issued_ms, body=bytes(size))
    assert recovery.resume_offset(received_part_message(*received), response) == offset


@pytest.mark.parametrize(
    "issued_ms, purged_ms, max_age_ms, request_class, reusable",
    [
        (500, 0, 0, IDEMPOTENT, True),
        (500, 499, 0, IDEMPOTENT, True),
        (500, 500, 0, IDEMPOTENT, False),
        (500, 0, 400, IDEMPOTENT, False),
        (500, 0, 500, IDEMPOTENT, True),
        (500, 0, 0, NON_IDEMPOTENT, False),
        (500, 0, 0, IDEMPOTENT_BY_KEY, False),
        (500, 0, 0, FRESH_FOR_499_MS, False),
        (500, 0, 600, FRESH_FOR_499_MS, True),
    ],
)
def test_a_stored_response_is_reused_only_while_it_is_fresh_and_not_purged(
    issued_ms, purged_ms, max_age_ms, request_class, reusable
):
    found = recovery.may_reuse_response(issued_ms, 1000, purged_ms, max_age_ms, request_class)
    assert found is reusable
