"""Records the status of forwarded requests, which the requesting gateways query after a disconnection.

A request is identified by the requesting gateway, that gateway's incarnation, and a number that increases
with each request. A number is accepted only if it exceeds all numbers received or reported as never received.
Acknowledged and cancelled requests are removed, so only running and unacknowledged requests are stored.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..state.decisions import Response
from .link_pb2 import Had
from .routed_request import RoutedRequest

MAX_SESSIONS = 256


class RequestStatus(Enum):
    """The status of a forwarded request."""

    NOT_RECEIVED = 1  # the request has no entry and has not expired; it is rejected if it arrives later
    RUNNING = 2
    COMPLETED = 3  # the response is stored
    LOST = 4  # the request ran or may have run, and its response is not stored


class ObjectPart(NamedTuple):
    """Identifies one part of an object; the key of stored responses."""

    object_id: int
    part: int


@dataclass(slots=True, eq=False)
class PendingRequest:
    """The state of a forwarded request that has no response yet.

    Attributes:
        partial_body: The part of the response's body that the requester already has; None if it has none.
        object_part: The object and part that are requested.
        arrived_at: The time from which the request's timeout counts, ns.
        routed_request: The request in the router; None until it starts.
    """

    partial_body: Had | None
    object_part: ObjectPart
    arrived_at: int
    routed_request: RoutedRequest | None = None


@dataclass(slots=True, eq=False)
class JournalEntry:
    """One forwarded request.

    Attributes:
        number: The request's number.
        expires_at: The time after which the entry is removed, ns.
        pending: The state of the request until its response is stored; None afterwards.
        response: The stored response; None until it is stored and after it is evicted.
        response_bytes: The size of the stored response's body, bytes.
        object_part: The object and part in the response's body; None if the response has no body.
        response_evicted: True if the response was removed to keep the bound on memory.
    """

    number: int
    expires_at: int
    pending: PendingRequest | None = None
    response: Response | None = None
    response_bytes: int = 0
    object_part: ObjectPart | None = None
    response_evicted: bool = False


@dataclass(slots=True, eq=False)
class PeerSession:
    """The forwarded requests of one incarnation of a gateway.

    Attributes:
        gateway: The gateway's name.
        start_ms: The gateway's incarnation: its start time by its own clock, Unix milliseconds.
        connection_number: The number of the gateway's latest connection.
        last_number: The highest request number used so far; only higher numbers are accepted.
        expired_up_to: The highest request number that has expired. A request up to this number that is not
            in `entries` may have expired.
        entries: The requests by number.
    """

    gateway: str
    start_ms: int
    connection_number: int = 0
    last_number: int = 0
    expired_up_to: int = 0
    entries: OrderedDict[int, JournalEntry] = field(default_factory=OrderedDict)


class RequestJournal:
    """The forwarded requests of all sessions, bounded in number and memory.

    Args:
        max_entries: The number of entries at which the journal is full; callers open no more then.
        max_bytes: The maximum size of all stored responses, bytes; see `store_response` for evictions.
        max_sessions: The maximum number of sessions; the least recently connected is closed.

    Attributes:
        sessions: The session of each gateway, by name, in the order of their latest connections.
        entry_by_object: The latest entry with a stored response for each object part.
        entry_count: The number of entries of all sessions.
        stored_bytes: The size of all stored responses, bytes.
    """

    def __init__(self, max_entries: int, max_bytes: int, max_sessions: int = MAX_SESSIONS) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.max_sessions = max_sessions
        self.sessions: OrderedDict[str, PeerSession] = OrderedDict()
        self.entry_by_object: dict[ObjectPart, JournalEntry] = {}
        self.entry_count = 0
        self.stored_bytes = 0

    # Sessions.

    def open_session(
        self, gateway: str, start_ms: int, connection_number: int, is_connected: bool
    ) -> tuple[PeerSession | None, list[JournalEntry]]:
        """Open a session for a gateway's new connection, or continue its existing session.

        An incarnation earlier than that of the existing session is accepted if the gateway has no other
        connection, since the gateway's clock must have been set back.

        Args:
            gateway: The gateway's name.
            start_ms: The gateway's incarnation.
            connection_number: The number of the new connection.
            is_connected: True if the gateway has another open connection.

        Returns:
            The session, or None if a later incarnation or connection was seen; and the entries of the
            sessions that were closed, whose requests are to be cancelled.
        """
        session = self.sessions.get(gateway)
        if session and _is_outdated(session, start_ms, connection_number, is_connected):
            return None, []
        ended: list[JournalEntry] = []
        if session is None or session.start_ms != start_ms:
            ended = self._close_session(gateway)
            while len(self.sessions) >= self.max_sessions:
                ended += self._close_session(next(iter(self.sessions)))
            session = PeerSession(gateway, start_ms)
        session.connection_number = connection_number
        self.sessions[gateway] = session
        self.sessions.move_to_end(gateway)
        return session, ended

    def _close_session(self, gateway: str) -> list[JournalEntry]:
        session = self.sessions.pop(gateway, None)
        if session is None:
            return []
        entries = list(session.entries.values())
        for entry in entries:
            self.remove(session, entry.number)
        return entries

    # Entries.

    @property
    def full(self) -> bool:
        """True if the number of entries has reached its bound, so that new requests are to be rejected."""
        return self.entry_count >= self.max_entries

    def open_entry(self, session: PeerSession, number: int, expires_at: int) -> JournalEntry | None:
        """Open an entry for a request; return None if its number is not above the last one used."""
        if not self.consume_number(session, number):
            return None
        entry = JournalEntry(number, expires_at)
        session.entries[number] = entry
        self.entry_count += 1
        return entry

    def consume_number(self, session: PeerSession, number: int) -> bool:
        """Mark a request number as used; return False if it is not above the last one used."""
        if number <= session.last_number:
            return False
        session.last_number = number
        return True

    def status_of(self, session: PeerSession, number: int) -> tuple[RequestStatus, JournalEntry | None]:
        """Return the status of a request, and its entry if there is one.

        If the request was never received, its number and all lower ones are rejected from now on.
        """
        entry = session.entries.get(number)
        if entry is None:
            if number <= session.expired_up_to:
                return RequestStatus.LOST, None
            session.last_number = max(session.last_number, number)
            return RequestStatus.NOT_RECEIVED, None
        if entry.response_evicted:
            return RequestStatus.LOST, entry
        return (RequestStatus.RUNNING if entry.response is None else RequestStatus.COMPLETED), entry

    def remove(self, session: PeerSession, number: int) -> JournalEntry | None:
        """Remove and return the entry of a request; return None if there is none."""
        entry = session.entries.pop(number, None)
        if entry:
            self.entry_count -= 1
            self.stored_bytes -= entry.response_bytes
            self._remove_from_index(entry)
        return entry

    def expire(self, now: int) -> list[JournalEntry]:
        """Remove and return the entries that expired before `now`, ns."""
        expired: list[JournalEntry] = []
        for session in self.sessions.values():
            overdue = [entry for entry in session.entries.values() if entry.expires_at < now]
            for entry in overdue:
                session.expired_up_to = max(session.expired_up_to, entry.number)
                self.remove(session, entry.number)
            expired += overdue
        return expired

    # Responses.

    def store_response(
        self,
        session: PeerSession,
        entry: JournalEntry,
        response: Response,
        size: int,
        object_part: ObjectPart | None = None,
    ) -> None:
        """Store a response until it is acknowledged; do nothing if the entry was removed.

        Above `max_bytes`, responses are evicted, first those of the least recently connected gateway. The
        status of their requests becomes LOST.

        Args:
            session: The session of the entry.
            entry: The entry of the request.
            response: The response.
            size: The size of the response's body, bytes.
            object_part: The object and part in the response's body; None if it has no body.
        """
        if session.entries.get(entry.number) is not entry:
            return
        entry.pending = None
        entry.response = response
        entry.response_bytes = size
        entry.object_part = object_part
        if object_part is not None:
            self.entry_by_object[object_part] = entry
        self.stored_bytes += size
        if self.stored_bytes > self.max_bytes:
            self._evict_responses()

    def stored_response(self, object_part: ObjectPart) -> Response | None:
        """Return the latest stored response that contains an object part, if there is one."""
        entry = self.entry_by_object.get(object_part)
        return entry.response if entry else None

    def _evict_responses(self) -> None:
        """Evict responses until `max_bytes` is kept, first those of the least recently connected gateway."""
        for session in self.sessions.values():
            for entry in session.entries.values():
                if self.stored_bytes <= self.max_bytes:
                    return
                if entry.response is None:
                    continue
                self.stored_bytes -= entry.response_bytes
                entry.response = None
                entry.response_bytes = 0
                entry.response_evicted = True
                self._remove_from_index(entry)

    def _remove_from_index(self, entry: JournalEntry) -> None:
        object_part = entry.object_part
        if object_part is not None and self.entry_by_object.get(object_part) is entry:
            del self.entry_by_object[object_part]


def _is_outdated(session: PeerSession, start_ms: int, connection_number: int, is_connected: bool) -> bool:
    """Return whether a connection is older than the latest one of its gateway's session."""
    if start_ms == session.start_ms:
        return connection_number <= session.connection_number
    return start_ms < session.start_ms and is_connected
