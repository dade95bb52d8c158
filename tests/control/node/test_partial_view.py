"""The codec of partial load views between control nodes: exact bytes, and rejection of invalid lines."""

import json

import pytest
from hypothesis import given

from marbleglade.control.messages import InvalidLineError
from marbleglade.control.node.partial_view import MAX_LINE_BYTES, decode_partial_view, encode_partial_view
from marbleglade.fleet.load_view import AggregatedView, LinkWork, OpenCircuit, ZoneLoad
from marbleglade.fleet.load_view_aggregation import NODE_TERM
from tests.fleet.partial_view_strategies import partial_views

LINE = (
    b'{"partial_view":{"seq":1,"fronts":2,"load":3,"firsts":4,"furthers":5,"pushed":6,'
    b'"links":[[7,8,9]],"zones":[[1,0.5,20,3]],"shut":[[11,2,4]],"answered":[12,13]}}\n'
)
VIEW = AggregatedView(
    NODE_TERM,
    sequence=1,
    fronts=2,
    load_ms=3,
    first_requests=4,
    retry_cost=5,
    rejected=6,
    links={7: LinkWork(8, 9)},
    zone_loads={1: ZoneLoad(0.5, 20, 3)},
    open_circuits={11: OpenCircuit(2, 4)},
    recovered=[12, 13],
)


def test_a_partial_view_is_encoded_as_the_exact_line():
    assert encode_partial_view(VIEW) == LINE
    assert decode_partial_view(LINE) == VIEW


@pytest.mark.parametrize("key", json.loads(LINE)["partial_view"])
def test_a_partial_view_without_one_of_its_keys_is_rejected(key):
    content = json.loads(LINE)["partial_view"]
    del content[key]
    with pytest.raises(InvalidLineError):
        decode_partial_view(json.dumps({"partial_view": content}).encode())


@given(partial_views)
def test_a_partial_view_is_decoded_as_it_was_encoded(view):
    line = encode_partial_view(view)
    assert len(line) <= MAX_LINE_BYTES
    assert decode_partial_view(line) == view


@pytest.mark.parametrize(
    "valid, invalid",
    [
        (b'"seq":1', b'"seq":-1'),
        (b'"seq":1', b'"seq":true'),
        (b'"fronts":2', b'"fronts":"2"'),
        (b'"load":3,', b""),
        (b"[7,8,9]", b"[7,8]"),
        (b"[7,8,9]", b"[256,8,9]"),
        (b"[1,0.5,20,3]", b"[1,-0.5,20,3]"),
        (b"[1,0.5,20,3]", b"[1,0.5,20,65536]"),
        (b'"answered":[12,13]', b'"answered":[1,2,3,4,5,6,7]'),
        (b'"answered":[12,13]', b'"answered":{}'),
        (b'"partial_view"', b'"view"'),
        (b"}", b""),
    ],
)
def test_an_invalid_line_is_rejected(valid, invalid):
    assert valid in LINE
    with pytest.raises(InvalidLineError):
        decode_partial_view(LINE.replace(valid, invalid, 1))
