"""Tests of the update datagrams between fronts, as tables of cases."""

import pytest

from marbleglade.model.peer_update import UpstreamLeaving
from marbleglade.model.watch_event import Purge
from marbleglade.protocols.update_datagrams import MAX_DATAGRAM_BYTES, decode, encode

UPDATES = [
    UpstreamLeaving(41, "s-00c41f7a", 5),
    Purge(42, 1 << 63, 0, 1764576000123),
    Purge(43, 0, 17, 1764576000480),
]


@pytest.mark.parametrize("update", UPDATES)
def test_an_update_is_decoded_as_it_was_encoded(update):
    data = encode(update)
    assert len(data) <= MAX_DATAGRAM_BYTES and decode(data) == update


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x01",
        b"\x02" + encode(UPDATES[0])[1:],
        encode(UPDATES[1])[:-1],
        b"\x01\x09" + encode(UPDATES[0])[2:],
        encode(UPDATES[0]) + b"\xff",
        b"\x01\x01" + b"s" * 300,
    ],
)
def test_an_invalid_datagram_is_ignored(data):
    assert decode(data) is None


def test_an_id_too_long_for_a_datagram_is_not_encoded():
    assert encode(UpstreamLeaving(1, "s" * 250, 0)) is None
