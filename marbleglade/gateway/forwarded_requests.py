"""Handles requests forwarded by gateways of other regions: runs each at most once and sends its response."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import gevent

from ..protocols.client_protocol import ClientRequest
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from ..runtime.units import MILLISECOND_NS
from ..state.decisions import RequestOutcome, Response
from ..transport.arrival import arrival_time
from .link import recovery
from .link.connection import INITIAL_CREDIT_BYTES
from .link.flow_control import BodyReceiver
from .link.frames import InvalidLinkFrameError
from .link.messages import (
    BodyChunk,
    CancelMessage,
    CreditGrant,
    ReceivedPart,
    RequestMessage,
    ResponseHead,
    StatusQuery,
    client_request,
    response_head,
    status_reply,
)
from .peer_connection import IncomingRequest, PeerConnection
from .region_router import RegionRouter
from .request_journal import (
    JournalEntry,
    ObjectPart,
    PeerSession,
    PendingRequest,
    RequestJournal,
    RequestStatus,
)

ENTRY_LIFETIME_FACTOR = 2  # a journal entry expires after this many times the request's timeout


class ForwardedRequests:
    """Admits forwarded requests, runs them in the router, and records their status in the journal.

    Args:
        router: Serves the requests.
        journal: Records the status of each request.
        connected_peer: Returns the connection on which responses of a session are sent; None if the
            session's gateway is not connected.
        is_draining: Returns whether this gateway rejects all new forwarded requests.
        guard: Records exceptions, and gives access to the counters.
    """

    def __init__(
        self,
        router: RegionRouter,
        journal: RequestJournal,
        connected_peer: Callable[[PeerSession], PeerConnection | None],
        is_draining: Callable[[], bool],
        guard: ErrorGuard,
    ) -> None:
        self._router = router
        self.journal = journal
        self._connected_peer = connected_peer
        self._is_draining = is_draining
        self._guard = guard
        self._counters = guard.counters

    # Admission.

    def on_request(self, peer: PeerConnection, message: RequestMessage) -> None:
        """Admit or reject a request; one with a body starts once its last chunk is received."""
        self._counters.add("forwarded.received")
        if message.passed[-1] != peer.region:
            raise InvalidLinkFrameError(
                f"request {message.number}: forwarded by {message.passed[-1]}, expected {peer.region}"
            )
        if not self._may_admit(message):
            self._reject(peer, message)
            return
        lifetime = ENTRY_LIFETIME_FACTOR * message.within_ms * MILLISECOND_NS
        entry = self.journal.open_entry(peer.session, message.number, clock.now() + lifetime)
        if entry is None:
            raise InvalidLinkFrameError(
                f"request number {message.number} already used, expected one above {peer.session.last_number}"
            )
        entry.pending = PendingRequest(
            message.had if message.HasField("had") else None,
            ObjectPart(message.thing, message.part),
            arrival_time(peer.connection.earliest_arrival, clock.now()),
        )
        if not message.body:
            self._start(peer.session, entry, entry.pending, message, b"")
            return
        receiver = BodyReceiver(message.body, 0, INITIAL_CREDIT_BYTES)
        peer.incoming[message.number] = IncomingRequest(message, receiver)
        if granted := receiver.grant_remaining():
            peer.connection.send(CreditGrant(number=message.number, bytes=granted))

    def _may_admit(self, message: RequestMessage) -> bool:
        return not (
            self._is_draining()
            or self.journal.full
            or self._router.over_capacity()
            or message.profile not in self._router.request_classes
        )

    def _reject(self, peer: PeerConnection, message: RequestMessage) -> None:
        if not self.journal.consume_number(peer.session, message.number):
            raise InvalidLinkFrameError(
                f"request number {message.number} already used, expected one above {peer.session.last_number}"
            )
        self._counters.add("forwarded.rejected_at_admission")
        known_class = message.profile in self._router.request_classes
        outcome = RequestOutcome.REJECTED if known_class else RequestOutcome.FAILED
        peer.connection.send(response_head(message.number, Response(outcome)))

    def on_chunk(self, peer: PeerConnection, message: BodyChunk) -> None:
        """Append a chunk to a request's body, and start the request once the body is complete."""
        peer.connection.grant_credit_for(len(message.data), True)
        incoming = peer.incoming.get(message.number)
        if incoming is None:
            if message.number > peer.session.last_number:
                raise InvalidLinkFrameError(
                    f"body chunk of request {message.number}, which was never received"
                )
            return  # the request was cancelled or rejected while its body was sent
        incoming.receiver.add_chunk(message.at, message.data)
        if not incoming.receiver.complete:
            return
        del peer.incoming[message.number]
        entry = peer.session.entries.get(message.number)
        if entry and entry.pending:
            self._start(peer.session, entry, entry.pending, incoming.message, incoming.receiver.data())

    def drop_incomplete(self, peer: PeerConnection) -> None:
        """Remove the requests with incomplete bodies of a closed connection; none of them has started."""
        while peer.incoming:
            number, _ = peer.incoming.popitem()
            self.journal.remove(peer.session, number)

    # Running.

    def _start(
        self,
        session: PeerSession,
        entry: JournalEntry,
        pending: PendingRequest,
        message: RequestMessage,
        body: bytes,
    ) -> None:
        request_class = self._router.request_classes[message.profile]
        request = client_request(message, request_class, body, pending.arrived_at)
        respond = partial(self._store_and_send, session, entry)
        if pending.partial_body and (
            stored := self._reusable_response(message, pending.partial_body, request)
        ):
            self._counters.add("forwarded.served_from_journal")
            respond(stored)
            return
        routed = self._router.admit(request)
        pending.routed_request = routed
        response = self._router.answer_immediately(request, routed)
        if response:
            respond(response)
        else:
            gevent.spawn_raw(self._guard.call, "forwarded", self._router.run, request, routed, respond)

    def _reusable_response(
        self, message: RequestMessage, part: ReceivedPart, request: ClientRequest
    ) -> Response | None:
        """Return the stored response that the requester's partial body belongs to, if it may be reused."""
        response = self.journal.stored_response(ObjectPart(message.thing, message.part))
        if response is None or (response.entity_tag, response.issued_ms) != (part.tag, part.issued_ms):
            return None
        purged_at = self._router.local_handler.purge_history.latest(message.thing, message.group)
        may_reuse = recovery.may_reuse_response(
            issued_ms=response.issued_ms,
            now_ms=clock.unix_ns() // MILLISECOND_NS,
            purged_ms=clock.to_unix_ms(purged_at) if purged_at else 0,
            max_age_ms=message.oldest_ms,
            request_class=request.request_class,
        )
        return response if may_reuse else None

    def cancel(self, entry: JournalEntry) -> None:
        """Cancel the request of a removed journal entry if it has started."""
        if entry.pending and entry.pending.routed_request:
            self._guard.call(
                "client_disconnected", self._router.client_disconnected, entry.pending.routed_request
            )

    def expire(self) -> None:
        """Remove the expired journal entries and cancel their requests."""
        for entry in self.journal.expire(clock.now()):
            self.cancel(entry)

    # Responses.

    def _store_and_send(self, session: PeerSession, entry: JournalEntry, response: Response) -> None:
        """Store a response. Send it now if the requester is connected, else in reply to its status query."""
        pending = entry.pending
        if pending is None or session.entries.get(entry.number) is not entry:
            return
        object_part = pending.object_part if response.body else None
        self.journal.store_response(session, entry, response, len(response.body), object_part)
        if peer := self._connected_peer(session):
            self._send_response(peer, entry.number, response, pending.partial_body)

    def _send_response(
        self, peer: PeerConnection, number: int, response: Response, part: ReceivedPart | None
    ) -> None:
        """Send a response; skip the first bytes of its body if the requester already has them."""
        self._counters.add(f"forwarded.{response.outcome.name.lower()}")
        has_body = response.outcome is RequestOutcome.SERVED and not response.not_modified
        offset = recovery.resume_offset(part, response) if has_body and part else 0
        head: ResponseHead = response_head(number, response, offset)
        peer.connection.send(head)
        if has_body:
            peer.connection.send_body(number, response.body, offset)

    def on_cancel(self, peer: PeerConnection, message: CancelMessage) -> None:
        """Remove a request whose requester acknowledges the response or cancels the request."""
        peer.connection.send_queue.remove_body(message.number)
        peer.incoming.pop(message.number, None)
        if entry := self.journal.remove(peer.session, message.number):
            self._counters.add("forwarded.acknowledged" if message.had else "forwarded.cancel_received")
            self.cancel(entry)

    def on_status_query(self, peer: PeerConnection, message: StatusQuery) -> None:
        """Reply with the status of a request, and resend its response if it is stored.

        For a running request, record the part of the body that the requester has, to send only the rest.
        """
        status, entry = self.journal.status_of(peer.session, message.number)
        self._counters.add(f"forwarded.status_{status.name.lower()}")
        peer.connection.send(status_reply(message.number, status))
        part = message.had if message.HasField("had") else None
        if entry is None:
            return
        if status is RequestStatus.RUNNING and part and entry.pending:
            entry.pending.partial_body = part
        elif status is RequestStatus.COMPLETED and entry.response:
            self._send_response(peer, entry.number, entry.response, part)
