"""Codec of the maintenance datagrams, without I/O: lease quorum, exchange of plans, and table queries.

`update_datagrams` defines the header. Lists have a maximum length, and invalid datagrams are ignored.
"""

from __future__ import annotations

import struct

from ..maintenance.messages import (
    PART_BYTES,
    MaintenanceMessage,
    PlanOffer,
    PlanPart,
    PlanPartRequest,
)
from ..maintenance.plan import MAX_OUT_OF_SERVICE
from ..maintenance.quorum_messages import (
    NO_LEADER,
    Append,
    AppendReply,
    TableEntry,
    TableVersion,
    Vote,
    VoteRequest,
)
from ..maintenance.table_query import TableQuery, TableReply
from .datagram_fields import MAX_U32, DatagramReader, InvalidMessageError, pack_list, read_message
from .update_datagrams import HEADER, MAX_DATAGRAM_BYTES, VERSION

VOTE_REQUEST, VOTE, APPEND, APPEND_REPLY, OFFER, PART_REQUEST, PART, TABLE_QUERY, TABLE_REPLY = range(16, 25)
TABLE_VERSION = struct.Struct("!IHI")  # term, leader, version
APPEND_FIELDS = struct.Struct("!IIII")  # term, version, committed, echo
APPEND_REPLY_FIELDS = struct.Struct("!III")  # term, version, own_stamp
ENTRY = struct.Struct("!IQIIB")  # machine, started_ms, granted_version, age_ms, revoked
OFFER_FIELDS = struct.Struct("!QII")  # created_ms, digest, size
PART_FIELDS = struct.Struct("!IB")  # digest, part
WIRE_NO_LEADER = 0xFFFF


def encode(message: MaintenanceMessage) -> bytes:
    """Return a message encoded as one datagram."""
    kind, number, body = _encode_fields(message)
    data = HEADER.pack(VERSION, kind, number) + body
    assert len(data) <= MAX_DATAGRAM_BYTES, len(data)
    return data


def decode(data: bytes) -> MaintenanceMessage | None:
    """Decode a datagram; return None if it is invalid or of another kind."""
    return read_message(data, _parse)


def _encode_fields(message: MaintenanceMessage) -> tuple[int, int, bytes]:
    """Return the kind and the number for the header, and the packed fields."""
    match message:
        case VoteRequest():
            return VOTE_REQUEST, message.term, b""
        case Vote():
            return VOTE, message.term, _pack_table_version(message) + _pack_entries(message.entries)
        case Append():
            return APPEND, message.stamp, _pack_append(message)
        case AppendReply():
            fields = APPEND_REPLY_FIELDS.pack(message.term, message.version, message.own_stamp)
            return APPEND_REPLY, message.answered_stamp, fields
        case PlanOffer():
            return OFFER, 0, OFFER_FIELDS.pack(message.created_ms, message.digest, message.size)
        case PlanPartRequest():
            return PART_REQUEST, 0, PART_FIELDS.pack(message.digest, message.part)
        case PlanPart():
            return PART, 0, PART_FIELDS.pack(message.digest, message.part) + message.data
        case TableQuery():
            return TABLE_QUERY, 0, b""
        case TableReply():
            return TABLE_REPLY, 0, _pack_entries(message.entries)


def _pack_table_version(vote: Vote) -> bytes:
    term, leader, version = vote.table_version
    return TABLE_VERSION.pack(term, leader if leader >= 0 else WIRE_NO_LEADER, version)


def _pack_append(append: Append) -> bytes:
    fields = APPEND_FIELDS.pack(append.term, append.version, append.committed, append.echo)
    return fields if append.entries is None else fields + _pack_entries(append.entries)


def _pack_entries(entries: tuple[TableEntry, ...]) -> bytes:
    rows = (
        (
            entry.machine,
            entry.started_ms,
            entry.granted_version,
            min(entry.age_ms, MAX_U32),
            entry.revoked,
        )
        for entry in entries
    )
    return pack_list(ENTRY, rows)


def _parse(kind: int, number: int, reader: DatagramReader) -> MaintenanceMessage:
    if kind in (VOTE_REQUEST, VOTE, APPEND, APPEND_REPLY) and number > MAX_U32:
        raise InvalidMessageError
    if kind == VOTE_REQUEST:
        return VoteRequest(number)
    if kind == VOTE:
        return Vote(number, _read_table_version(reader), _read_entries(reader))
    if kind == APPEND:
        return _parse_append(number, reader)
    if kind == APPEND_REPLY:
        term, version, own_stamp = reader.read(APPEND_REPLY_FIELDS)
        return AppendReply(term, version, answered_stamp=number, own_stamp=own_stamp)
    if kind == TABLE_QUERY:
        return TableQuery()
    if kind == TABLE_REPLY:
        return TableReply(_read_entries(reader))
    return _parse_plan_message(kind, reader)


def _parse_plan_message(kind: int, reader: DatagramReader) -> PlanOffer | PlanPartRequest | PlanPart:
    if kind == OFFER:
        created_ms, digest, size = reader.read(OFFER_FIELDS)
        return PlanOffer(created_ms, digest, size)
    if kind == PART_REQUEST:
        digest, part = reader.read(PART_FIELDS)
        return PlanPartRequest(digest, part)
    if kind == PART:
        digest, part = reader.read(PART_FIELDS)
        return PlanPart(digest, part, reader.read_remaining(PART_BYTES))
    raise InvalidMessageError


def _parse_append(stamp: int, reader: DatagramReader) -> Append:
    term, version, committed, echo = reader.read(APPEND_FIELDS)
    entries = _read_entries(reader) if reader.remaining else None
    return Append(term, version, committed, stamp, echo, entries)


def _read_table_version(reader: DatagramReader) -> TableVersion:
    term, leader, version = reader.read(TABLE_VERSION)
    return TableVersion(term, NO_LEADER if leader == WIRE_NO_LEADER else leader, version)


def _read_entries(reader: DatagramReader) -> tuple[TableEntry, ...]:
    entries = tuple(
        TableEntry(machine, started_ms, granted_version, age_ms, _read_flag(revoked))
        for machine, started_ms, granted_version, age_ms, revoked in reader.read_list(
            ENTRY, MAX_OUT_OF_SERVICE
        )
    )
    if len({entry.machine for entry in entries}) < len(entries):
        raise InvalidMessageError
    return entries


def _read_flag(value: int) -> bool:
    if value > 1:
        raise InvalidMessageError
    return bool(value)
