"""Codec of the fleet agents' datagrams, without I/O: membership gossip, load reports and aggregated views.

`update_datagrams` defines the header. Fronts without a fleet agent ignore the kinds of this module. Sums
and loads are capped to the width of their fields, lists have a maximum length, and invalid datagrams are
ignored.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from ..fleet.gossip_messages import Ack, Gossip, MemberStatus, MemberUpdate, Ping, PingRequest
from ..fleet.load_view import (
    MAX_LINKS,
    MAX_OPEN_CIRCUITS,
    MAX_RECOVERED,
    MAX_ZONE_LOADS,
    AggregatedView,
    FrontReport,
    LinkWork,
    OpenCircuit,
    ZoneLoad,
)
from ..fleet.member_table import MAX_UPDATES_PER_DATAGRAM
from ..fleet.messages import FleetMessage
from .datagram_fields import (
    MAX_U16,
    MAX_U32,
    DatagramReader,
    InvalidMessageError,
    pack_list,
    read_message,
)
from .update_datagrams import HEADER, MAX_DATAGRAM_BYTES, VERSION

PING, ACK, PING_REQUEST, REPORT, VIEW = range(5, 10)
TARGET = struct.Struct("!H")
UPDATE = struct.Struct("!HBQHH")  # number, status, started_ms, incarnation, source
REPORT_SUMS = struct.Struct("!BIHHH")  # zone, load_ms, first_requests, retry_cost, rejected
VIEW_SUMS = struct.Struct("!IHIIII")  # term, fronts, load_ms, first_requests, retry_cost, rejected
LINK = struct.Struct("!BII")  # key, work, duration
ZONE_LOAD = struct.Struct("!BHHH")  # zone, load, age_ms, prober
OPEN_CIRCUIT = struct.Struct("!IHH")  # upstream, reporters, prober
UPSTREAM = struct.Struct("!I")
LOAD_UNIT = 1000  # loads are sent in units of 1/1000


def encode(message: FleetMessage) -> bytes:
    """Return a message encoded as one datagram."""
    if isinstance(message, FrontReport):
        return _check_size(_encode_report(message))
    if isinstance(message, AggregatedView):
        return _check_size(_encode_view(message))
    return _encode_gossip(message)


def decode(data: bytes) -> FleetMessage | None:
    """Decode a datagram; return None if it is invalid or of another kind."""
    return read_message(data, _parse)


def _encode_report(report: FrontReport) -> bytes:
    return b"".join(
        (
            HEADER.pack(VERSION, REPORT, report.sequence),
            REPORT_SUMS.pack(
                report.zone,
                min(report.load_ms, MAX_U32),
                min(report.first_requests, MAX_U16),
                min(report.retry_cost, MAX_U16),
                min(report.rejected, MAX_U16),
            ),
            _pack_links(report.links),
            _pack_zone_loads(report.zone_loads),
            _pack_upstreams(report.open_circuits),
            _pack_upstreams(report.recovered),
        )
    )


def _encode_view(view: AggregatedView) -> bytes:
    circuits = (
        (upstream, min(circuit.reporters, MAX_U16), circuit.prober)
        for upstream, circuit in view.open_circuits.items()
    )
    return b"".join(
        (
            HEADER.pack(VERSION, VIEW, view.sequence),
            VIEW_SUMS.pack(
                view.term,
                view.fronts,
                min(view.load_ms, MAX_U32),
                min(view.first_requests, MAX_U32),
                min(view.retry_cost, MAX_U32),
                min(view.rejected, MAX_U32),
            ),
            _pack_links(view.links),
            _pack_zone_loads(view.zone_loads),
            pack_list(OPEN_CIRCUIT, circuits),
            _pack_upstreams(view.recovered),
        )
    )


def _encode_gossip(message: Gossip) -> bytes:
    updates = pack_list(
        UPDATE,
        (
            (update.number, update.status, update.started_ms, update.incarnation, update.source)
            for update in message.updates
        ),
    )
    if isinstance(message, Ack):
        return HEADER.pack(VERSION, ACK, message.sequence) + updates
    kind = PING if isinstance(message, Ping) else PING_REQUEST
    return HEADER.pack(VERSION, kind, message.sequence) + TARGET.pack(message.target) + updates


def _check_size(data: bytes) -> bytes:
    assert len(data) <= MAX_DATAGRAM_BYTES, len(data)
    return data


def _pack_links(links: dict[int, LinkWork]) -> bytes:
    rows = ((key, min(link.work_ms, MAX_U32), min(link.duration_ms, MAX_U32)) for key, link in links.items())
    return pack_list(LINK, list(rows)[:MAX_LINKS])


def _pack_zone_loads(loads: dict[int, ZoneLoad]) -> bytes:
    rows = (
        (zone, min(int(load.value * LOAD_UNIT), MAX_U16), min(load.age_ms, MAX_U16), load.prober)
        for zone, load in loads.items()
    )
    return pack_list(ZONE_LOAD, rows)


def _pack_upstreams(upstreams: Iterable[int]) -> bytes:
    return pack_list(UPSTREAM, ((upstream,) for upstream in upstreams))


def _parse(kind: int, number: int, reader: DatagramReader) -> FleetMessage:
    if kind == REPORT:
        return _parse_report(number, reader)
    if kind == VIEW:
        return _parse_view(number, reader)
    return _parse_gossip(kind, number, reader)


def _parse_report(sequence: int, reader: DatagramReader) -> FrontReport:
    zone, load_ms, first_requests, retry_cost, rejected = reader.read(REPORT_SUMS)
    return FrontReport(
        sequence,
        zone,
        load_ms,
        first_requests,
        retry_cost,
        rejected,
        links=_read_links(reader),
        zone_loads=_read_zone_loads(reader),
        open_circuits=_read_upstreams(reader, MAX_OPEN_CIRCUITS),
        recovered=_read_upstreams(reader, MAX_RECOVERED),
    )


def _parse_view(sequence: int, reader: DatagramReader) -> AggregatedView:
    term, fronts, load_ms, first_requests, retry_cost, rejected = reader.read(VIEW_SUMS)
    return AggregatedView(
        term,
        sequence,
        fronts,
        load_ms,
        first_requests,
        retry_cost,
        rejected,
        links=_read_links(reader),
        zone_loads=_read_zone_loads(reader),
        open_circuits={
            upstream: OpenCircuit(reporters, prober)
            for upstream, reporters, prober in reader.read_list(OPEN_CIRCUIT, MAX_OPEN_CIRCUITS)
        },
        recovered=_read_upstreams(reader, MAX_RECOVERED),
    )


def _parse_gossip(kind: int, sequence: int, reader: DatagramReader) -> Gossip:
    if kind not in (PING, ACK, PING_REQUEST) or sequence > MAX_U32:
        raise InvalidMessageError
    target = reader.read(TARGET)[0] if kind != ACK else 0
    updates = [
        MemberUpdate(number, MemberStatus(status), started_ms, incarnation, source)
        for number, status, started_ms, incarnation, source in reader.read_list(
            UPDATE, MAX_UPDATES_PER_DATAGRAM + 1
        )
    ]
    if kind == ACK:
        return Ack(sequence, updates)
    if kind == PING:
        return Ping(sequence, target, updates)
    return PingRequest(sequence, target, updates)


def _read_links(reader: DatagramReader) -> dict[int, LinkWork]:
    return {key: LinkWork(work, duration) for key, work, duration in reader.read_list(LINK, MAX_LINKS)}


def _read_zone_loads(reader: DatagramReader) -> dict[int, ZoneLoad]:
    return {
        zone: ZoneLoad(load / LOAD_UNIT, age_ms, prober)
        for zone, load, age_ms, prober in reader.read_list(ZONE_LOAD, MAX_ZONE_LOADS)
    }


def _read_upstreams(reader: DatagramReader, max_count: int) -> list[int]:
    return [upstream for (upstream,) in reader.read_list(UPSTREAM, max_count)]
