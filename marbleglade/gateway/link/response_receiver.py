"""Receives responses from the gateways of another region: assembles bodies, discards purged objects."""

from __future__ import annotations

import gevent
import xxhash

from ...model.attempt import NEVER_RUN_RESULTS, AttemptResult
from ...protocols.cache_protocol import CacheStatus, UpstreamResponse
from ...runtime import clock
from ...runtime.units import MILLISECOND_NS, SECOND_NS
from ...transport.upstream_connection import UpstreamResult
from . import recovery
from .connection import INITIAL_CREDIT_BYTES, MessageHandlers
from .flow_control import BodyReceiver
from .frames import InvalidLinkFrameError
from .links import ForwardedRequest, Link, RegionLinks
from .messages import BodyChunk, CreditGrant, ReceivedPart, ResponseHead, received_part_message
from .recovery import ResponseStatus


class ResponseReceiver:
    """Handles the heads of responses and the chunks of their bodies.

    Args:
        region_links: The links to the region.

    Attributes:
        handlers: The handlers by type of message; each is called with the link and the message.
    """

    def __init__(self, region_links: RegionLinks) -> None:
        self._region_links = region_links
        self._counters = region_links.counters
        self._body_budget = region_links.body_budget
        self.handlers: MessageHandlers = {ResponseHead: self._on_head, BodyChunk: self._on_chunk}

    def _on_head(self, link: Link, head: ResponseHead) -> None:
        forwarded = link.in_flight.get(head.number)
        if forwarded is None:
            self._check_unexpected(head.number)
            return
        status = ResponseStatus(head.word)
        result = recovery.result_of_response(status, head.ran, forwarded.request.request_class)
        self._counters.add(f"forward.{status.name.lower()}")
        if result is not AttemptResult.OK:
            if result not in NEVER_RUN_RESULTS and forwarded.partial_body:
                self._region_links.partial_bodies.remove(forwarded.object_key)
            self._region_links.complete(forwarded, UpstreamResult(result))
        elif status is ResponseStatus.NOT_MODIFIED:
            cached_etag = forwarded.client_request.cached_etag
            if not cached_etag or head.tag != cached_etag:
                raise InvalidLinkFrameError(
                    f"tag {head.tag} not modified, but the client has {cached_etag!r}"
                )
            self._complete(link, forwarded, head, b"")
        else:
            self._start_body(link, forwarded, head)

    def _check_unexpected(self, number: int) -> None:
        """Count a message about a request that is not in flight as late.

        Raises:
            InvalidLinkFrameError: The request was never sent.
        """
        if number > self._region_links.last_number:
            raise InvalidLinkFrameError(f"response to request {number}, which was never sent")
        self._counters.add("forward.late_response")

    # Bodies

    def _start_body(self, link: Link, forwarded: ForwardedRequest, head: ResponseHead) -> None:
        """Begin to receive a body, from its start or from where a disconnection cut it off."""
        received = self._resumed_data(forwarded, head)
        self._body_budget.release(forwarded.reserved_bytes)
        forwarded.reserved_bytes = 0
        forwarded.response_head = head
        receiver = BodyReceiver(head.size, head.at, INITIAL_CREDIT_BYTES, received)
        forwarded.body_receiver = receiver
        if receiver.complete or head.size - head.at <= INITIAL_CREDIT_BYTES:
            # The body is complete already, or the initial credit covers the rest of it.
            self._body_budget.reserve_unconditionally(head.size)
            forwarded.reserved_bytes = head.size
            if receiver.complete:
                self._complete(link, forwarded, head, receiver.data())
        elif not self._body_budget.has_waiters and head.size <= self._body_budget.free_bytes:
            self._body_budget.reserve(head.size)
            forwarded.reserved_bytes = head.size
            self._grant_credit(link, forwarded, receiver)
        else:
            guard = self._region_links.guard
            gevent.spawn(guard.call, "body_budget", self._grant_when_budget_allows, link, forwarded, receiver)

    def _resumed_data(self, forwarded: ForwardedRequest, head: ResponseHead) -> bytes:
        """Return the received bytes of the body that `head` announces; empty if it is sent from its start.

        Raises:
            InvalidLinkFrameError: The body resumes beyond the bytes that were received.
        """
        part = self._previously_received_part(forwarded)
        received_bytes = part.bytes if part else 0
        same_object = part is not None and (part.tag, part.issued_ms) == (head.tag, head.issued_ms)
        self._counters.add("forward.partial_bytes", received_bytes)
        if not head.at:
            self._counters.add(
                "forward.resent_bytes" if same_object else "forward.discarded_bytes", received_bytes
            )
            return b""
        data = self._received_data(forwarded, head)
        if len(data) < head.at:
            raise InvalidLinkFrameError(
                f"body of request {head.number} resumes at {head.at}, but {len(data)} bytes were received"
            )
        self._counters.add("forward.resumed")
        self._counters.add("forward.resumed_bytes", head.at)
        return data

    @staticmethod
    def _previously_received_part(forwarded: ForwardedRequest) -> ReceivedPart | None:
        """Return the part of the body received before its present head; None if there was no such part."""
        receiver, head = forwarded.body_receiver, forwarded.response_head
        if receiver and head:
            return received_part_message(head.tag, head.issued_ms, receiver.received_bytes)
        return forwarded.received_part

    @staticmethod
    def _received_data(forwarded: ForwardedRequest, head: ResponseHead) -> bytes:
        """Return the received bytes of the version of the object that `head` identifies."""
        version = head.tag, head.issued_ms
        earlier = forwarded.response_head
        if forwarded.body_receiver and earlier and (earlier.tag, earlier.issued_ms) == version:
            return forwarded.body_receiver.data()
        partial = forwarded.partial_body
        if partial and (partial.tag, partial.issued_ms) == version:
            return partial.data
        return b""

    @staticmethod
    def _grant_credit(link: Link, forwarded: ForwardedRequest, receiver: BodyReceiver) -> None:
        granted = receiver.grant_remaining()
        if granted and link.connection:
            link.connection.send(CreditGrant(number=forwarded.number, bytes=granted))

    def _grant_when_budget_allows(
        self, link: Link, forwarded: ForwardedRequest, receiver: BodyReceiver
    ) -> None:
        """Grant credit for the rest of a body once the body budget has room for it."""
        self._counters.add("forward.waited_for_budget")
        with gevent.Timeout(max(0, forwarded.deadline - clock.now()) / SECOND_NS, False):
            self._body_budget.reserve(receiver.size)
            still_wanted = (
                forwarded.body_receiver is receiver and link.in_flight.get(forwarded.number) is forwarded
            )
            if still_wanted:
                forwarded.reserved_bytes = receiver.size
                self._grant_credit(link, forwarded, receiver)
            else:
                self._body_budget.release(receiver.size)

    def _on_chunk(self, link: Link, chunk: BodyChunk) -> None:
        forwarded = link.in_flight.get(chunk.number)
        receiver = forwarded.body_receiver if forwarded else None
        more_expected = receiver is not None and chunk.at + len(chunk.data) < receiver.size
        link.connected().grant_credit_for(len(chunk.data), more_expected)
        if forwarded is None:
            self._check_unexpected(chunk.number)
            return
        if receiver is None or forwarded.response_head is None:
            raise InvalidLinkFrameError(f"chunk of request {chunk.number} received before the response head")
        receiver.add_chunk(chunk.at, chunk.data)
        self._counters.add("forward.bytes", len(chunk.data))
        if receiver.complete:
            self._complete(link, forwarded, forwarded.response_head, receiver.data())

    # Complete responses

    def _complete(self, link: Link, forwarded: ForwardedRequest, head: ResponseHead, body: bytes) -> None:
        """Report a complete response as the result, unless its body is corrupt or the object was purged."""
        has_body = head.word == ResponseHead.SETTLED
        if has_body and xxhash.xxh3_64_intdigest(body) != head.check:
            self._counters.add("forward.corrupt_body")
            forwarded.body_receiver = None
            raise InvalidLinkFrameError(f"body of request {head.number} does not match its checksum")
        issued_earliest = link.clock_offset.to_local(
            head.issued_ms * MILLISECOND_NS, clock.unix_ns()
        ).earliest
        issued_ms = issued_earliest // MILLISECOND_NS
        if self._is_purged(forwarded, head, issued_ms):
            self._counters.add("forward.purged")
            forwarded.body_receiver = None
            self._region_links.complete(forwarded, UpstreamResult(AttemptResult.CANCELLED))
            return
        fields = {"entity": head.tag, "issued": str(max(0, issued_ms))}
        status = CacheStatus.SERVED if has_body else CacheStatus.NOT_MODIFIED
        response = UpstreamResponse(forwarded.client_request.trace_id, status, fields, body)
        self._region_links.complete(forwarded, UpstreamResult(AttemptResult.OK, response))

    def _is_purged(self, forwarded: ForwardedRequest, head: ResponseHead, issued_ms: int) -> bool:
        """Return whether the object was purged in either region; `issued_ms` is by this region's clock."""
        object_id = forwarded.request.object_id
        group = forwarded.client_request.group
        if self._region_links.purge_receiver.is_purged(object_id, group, head.issued_ms):
            return True
        purged_at = self._region_links.purge_history.latest(object_id, group)
        return bool(purged_at) and clock.from_unix_ms(issued_ms) <= purged_at + MILLISECOND_NS
