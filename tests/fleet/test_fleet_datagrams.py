"""Encoding and decoding of the datagrams between fleet agents."""

import pytest

from marbleglade.fleet.gossip_messages import Ack, MemberStatus, MemberUpdate, Ping, PingRequest
from marbleglade.fleet.load_view import AggregatedView, FrontReport, LinkWork, OpenCircuit, ZoneLoad
from marbleglade.protocols import fleet_datagrams

MAX_DATAGRAM_BYTES = 256
MAX_U32 = 2**32 - 1
MESSAGES = [
    Ping(7, 3, [MemberUpdate(3, MemberStatus.SUSPECT, 2**40, 2, 9)]),
    Ping(7, 3, [MemberUpdate(number, MemberStatus.ALIVE, number, number, number) for number in range(11)]),
    Ack(MAX_U32),
    PingRequest(1, 65535),
    FrontReport(
        2**60,
        zone=3,
        load_ms=1000,
        first_requests=10,
        retry_cost=2,
        rejected=1,
        links={0: LinkWork(5, 9), 4: LinkWork(7, 8)},
        zone_loads={3: ZoneLoad(0.25, 90)},
        open_circuits=[1, 2],
        recovered=[3],
    ),
    AggregatedView(
        3,
        9,
        fronts=200,
        load_ms=10,
        first_requests=20,
        retry_cost=30,
        rejected=40,
        links={key: LinkWork(MAX_U32, key) for key in range(9)},
        zone_loads={zone: ZoneLoad(1.5, 65535, zone) for zone in range(6)},
        open_circuits={upstream: OpenCircuit(upstream, 65535) for upstream in range(8)},
        recovered=[*range(6)],
    ),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_a_message_round_trips_in_one_datagram(message):
    data = fleet_datagrams.encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert fleet_datagrams.decode(data) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_invalid_datagrams_are_ignored(message):
    data = fleet_datagrams.encode(message)
    other_version = b"\2" + data[1:]
    unknown_kind = data[:1] + b"\x63" + data[2:]
    for invalid in (data[:-1], data + b"\0", other_version, unknown_kind, b"", data * 9):
        assert fleet_datagrams.decode(invalid) is None
