"""Tests of the caches' protocol, client side, as tables of cases."""

import pytest

from marbleglade.protocols.cache_protocol import (
    InvalidLineError,
    ResponseDecoder,
    UpstreamRequest,
    UpstreamResponse,
    encode_cancel,
    encode_health_check,
)
from tests.protocols.byte_streams import ANY_BYTES, decode_all_splits


@pytest.mark.parametrize(
    "fields, encoded",
    [
        ({}, b"do ab profile=p,thing=cd,nth=2,max=900 0\r\n\r\n"),
        (
            {
                "fill_source": "s-1",
                "priority": 3,
                "max_age_ms": 40,
                "join_fill": True,
                "only_if_cached": True,
                "refresh": True,
                "pass_through": True,
                "cached_etag": "ef",
                "body": b"\r\n",
                "idempotency_key": "9f",
            },
            b"do ab profile=p,thing=cd,nth=2,max=900,miss=s-1,prio=3,within=40,"
            b"f=ride+have-only+through+update,mine=ef,replay=9f 2\r\n\r\n\r\n",
        ),
    ],
)
def test_a_request_is_encoded(fields, encoded):
    assert UpstreamRequest("ab", "p", "cd", 2, 900, **fields).encode() == encoded


def test_cancels_and_health_checks_are_encoded():
    lines = (
        encode_cancel("ab"),
        encode_health_check("t1"),
        encode_health_check("t1", False),
    )
    assert lines == (b"undo ab\r\n", b"top t1\r\n", b"ping t1\r\n")


def test_responses_are_the_same_however_the_bytes_are_split():
    data = (
        b"ab HIT entity=4be0,issued=1764576000123 %d\r\n%b\r\n"
        % (len(ANY_BYTES), ANY_BYTES)
        + b"cd SHED - 0\r\n\r\n"
        b"t1 PONG report=inflight:7;util:0.61 0\r\n\r\n"
    )
    expected = [
        UpstreamResponse("ab", "HIT", {"entity": "4be0", "issued": "1764576000123"}, ANY_BYTES),
        UpstreamResponse("cd", "SHED", {}, b""),
        UpstreamResponse("t1", "PONG", {"report": "inflight:7;util:0.61"}, b""),
    ]
    assert all(decoded == expected for decoded in decode_all_splits(ResponseDecoder, data))
    assert expected[2].load_report() == {"inflight": 7.0, "util": 0.61}
    for invalid in ("nan", "inf", "-1", "1e999"):
        assert UpstreamResponse("t1", "PONG", {"report": f"util:0.1;x1:{invalid}"}, b"").load_report() == {}
    assert (
        expected[1].load_report()
        == UpstreamResponse("t1", "PONG", {"report": "util:much"}, b"").load_report()
        == {}
    )


def test_the_decoder_reports_a_partial_response():
    decoder = ResponseDecoder()
    assert not decoder.has_partial_response
    decoder.feed(b"ab HIT - 500\r\nxyz")
    assert decoder.has_partial_response and decoder.body_size == 500


@pytest.mark.parametrize(
    "data",
    [
        b"ab HIT -\r\n",
        b"ab HIT - x\r\n",
        b"ab HIT - -4\r\n",
        b"ab HIT - 240001\r\n",
        b"ab HIT fields 0\r\n",
        b"ab HIT - 1\r\nxyz",
        b"ab HIT - +1\r\nx\r\n",
        b"ab HIT - 1_0\r\n",
        b"ab WHAT - 0\r\n\r\n",
        b"ab HIT a=1,a=2 0\r\n",
        b"\xff\xfe HIT - 0\r\n",
        b"a" * 5000,
    ],
)
def test_an_invalid_response_is_an_error(data):
    with pytest.raises(InvalidLineError):
        ResponseDecoder().feed(data)
