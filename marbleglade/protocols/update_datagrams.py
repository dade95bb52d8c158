"""Codec of the anti-entropy datagrams between fronts, without I/O: updates, and queries for updates.

A datagram consists of a version, a kind, a number and the fields of its kind; unknown kinds are ignored.
Updates only remove things: an update is a leaving upstream or a purge. Peers never announce new upstreams,
since an upstream may only be used if the discovery service listed it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from ..model.peer_update import PeerUpdate, UpstreamLeaving
from ..model.watch_event import Purge

MAX_DATAGRAM_BYTES = 256  # limit set by the protocol
VERSION = 1
HEADER = struct.Struct("!BBQ")  # version, kind, number
PURGE_FIELDS = struct.Struct("!QBQ")  # object_id, group, unix_ms
LEAVING_START = struct.Struct("!Q")  # started_ms
QUERY_FIELDS = struct.Struct("!I")  # span_ms
REPLY_PART = struct.Struct("!IBB")  # complete_age_ms, part, parts
LEAVING, PURGE, QUERY, REPLY = 1, 2, 3, 4
LEAVING_ENTRY_HEADER_BYTES = 2  # before a leaving upstream in a reply: the kind, and the length of the id
MAX_REPLY_PARTS = 8  # maximum number of datagrams in one reply


@dataclass(slots=True)
class UpdateQuery:
    """A query for the updates that the receiver received within the last `span_ms`, in milliseconds."""

    number: int
    span_ms: int


@dataclass(slots=True)
class UpdateReply:
    """One part of the reply to a query.

    Attributes:
        number: The number of the query.
        complete_age_ms: Age of the time up to which the sender has all updates, ms; it may lack newer ones.
        part: Index of this part, from 0.
        parts: Number of parts; 0 if the reply is incomplete.
        updates: The updates in this part.
    """

    number: int
    complete_age_ms: int
    part: int
    parts: int
    updates: list[PeerUpdate] = field(default_factory=list)


Message = PeerUpdate | UpdateQuery | UpdateReply


def split_into_datagrams(updates: list[PeerUpdate]) -> list[list[PeerUpdate]]:
    """Split updates into parts that fit one reply datagram each; return one empty part for no updates."""
    parts: list[list[PeerUpdate]] = [[]]
    capacity = MAX_DATAGRAM_BYTES - HEADER.size - REPLY_PART.size
    free = capacity
    for update in updates:
        size = len(_pack_entry(update))
        if size > free:
            parts.append([])
            free = capacity
        parts[-1].append(update)
        free -= size
    return parts


def encode(message: Message) -> bytes | None:
    """Return a message encoded as one datagram, or None if it does not fit."""
    match message:
        case Purge():
            return HEADER.pack(VERSION, PURGE, message.index) + _pack_purge(message)
        case UpdateQuery():
            return HEADER.pack(VERSION, QUERY, message.number) + QUERY_FIELDS.pack(message.span_ms)
        case UpdateReply():
            data = HEADER.pack(VERSION, REPLY, message.number)
            data += REPLY_PART.pack(message.complete_age_ms, message.part, message.parts)
            data += b"".join(map(_pack_entry, message.updates))
        case UpstreamLeaving():
            data = HEADER.pack(VERSION, LEAVING, message.index)
            data += LEAVING_START.pack(message.started_ms) + message.id.encode()
    return data if len(data) <= MAX_DATAGRAM_BYTES else None


def decode(data: bytes) -> Message | None:
    """Decode a datagram; return None if it is invalid or of another kind."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    version, kind, number = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if version != VERSION:
        return None
    if kind == PURGE and len(body) == PURGE_FIELDS.size:
        return Purge(number, *PURGE_FIELDS.unpack(body))
    if kind == QUERY and len(body) == QUERY_FIELDS.size:
        return UpdateQuery(number, *QUERY_FIELDS.unpack(body))
    if kind == REPLY and len(body) >= REPLY_PART.size:
        return _decode_reply(number, body)
    if kind == LEAVING and len(body) > LEAVING_START.size:
        (started_ms,) = LEAVING_START.unpack_from(body)
        return _decode_leaving(body[LEAVING_START.size :], started_ms, number)
    return None


def _pack_purge(purge: Purge) -> bytes:
    return PURGE_FIELDS.pack(purge.object_id, purge.group, purge.unix_ms)


def _pack_entry(update: PeerUpdate) -> bytes:
    """Pack an update as an entry of a reply."""
    if isinstance(update, Purge):
        return bytes([PURGE]) + _pack_purge(update)
    upstream_id = update.id.encode()
    return bytes([LEAVING, len(upstream_id)]) + LEAVING_START.pack(update.started_ms) + upstream_id


def _decode_reply(number: int, body: bytes) -> UpdateReply | None:
    complete_age_ms, part, parts = REPLY_PART.unpack_from(body)
    updates = _decode_entries(body[REPLY_PART.size :])
    is_bounded = parts <= MAX_REPLY_PARTS and part < (parts or MAX_REPLY_PARTS)
    if updates is None or not is_bounded:
        return None
    return UpdateReply(number, complete_age_ms, part, parts, updates)


def _decode_leaving(upstream_id: bytes, started_ms: int, index: int = 0) -> UpstreamLeaving | None:
    return UpstreamLeaving(index, upstream_id.decode(), started_ms) if upstream_id.isascii() else None


def _decode_entries(data: bytes) -> list[PeerUpdate] | None:
    """Decode the entries of a reply; return None if one of them is invalid."""
    updates: list[PeerUpdate] = []
    position = 0
    while position < len(data):
        decoded = _decode_entry(data, position)
        if decoded is None:
            return None
        update, position = decoded
        updates.append(update)
    return updates


def _decode_entry(data: bytes, position: int) -> tuple[PeerUpdate, int] | None:
    """Return the update at a position and the position after it; None if the update is invalid."""
    remaining = len(data) - position
    if data[position] == PURGE and remaining > PURGE_FIELDS.size:
        purge = Purge(0, *PURGE_FIELDS.unpack_from(data, position + 1))
        return purge, position + 1 + PURGE_FIELDS.size
    header_size = LEAVING_ENTRY_HEADER_BYTES + LEAVING_START.size
    if data[position] != LEAVING or remaining < header_size or not data[position + 1]:
        return None
    begin = position + header_size
    end = begin + data[position + 1]
    if end > len(data):
        return None
    (started_ms,) = LEAVING_START.unpack_from(data, position + LEAVING_ENTRY_HEADER_BYTES)
    leaving = _decode_leaving(data[begin:end], started_ms)
    return None if leaving is None else (leaving, end)
