"""Each codec encodes the same bytes as at commit e58eef3.

The expected bytes were generated with the code of e58eef3. They are literals on purpose, so that a rename
inside a codec can't change the wire format unnoticed.
"""

import pytest

from marbleglade.protocols import cache_protocol, cache_server_protocol, client_protocol, discovery_protocol

LINE_START = b"do 9b1f03aa5c7e2d41 profile=segment,thing=7f3a9c21e0b4d655,nth=3,max=1500"

CLIENT_RESPONSES = [
    ((1, b"ok"), b"*4\r\n$1\r\n1\r\n$2\r\nok\r\n$0\r\n\r\n$0\r\n\r\n"),
    ((7, b"ok", b"", b"\r\n*4\r\n$1"), b"*4\r\n$1\r\n7\r\n$2\r\nok\r\n$0\r\n\r\n$8\r\n\r\n*4\r\n$1\r\n"),
    (
        (123456789012345678, b"ok", b"keep=1"),
        b"*4\r\n$18\r\n123456789012345678\r\n$2\r\nok\r\n$6\r\nkeep=1\r\n$0\r\n\r\n",
    ),
    ((9, b"full", b"pause=40"), b"*4\r\n$1\r\n9\r\n$4\r\nfull\r\n$8\r\npause=40\r\n$0\r\n\r\n"),
    ((9, b"full"), b"*4\r\n$1\r\n9\r\n$4\r\nfull\r\n$0\r\n\r\n$0\r\n\r\n"),
    ((31, b"fault"), b"*4\r\n$2\r\n31\r\n$5\r\nfault\r\n$0\r\n\r\n$0\r\n\r\n"),
    ((4, b"yes"), b"*4\r\n$1\r\n4\r\n$3\r\nyes\r\n$0\r\n\r\n$0\r\n\r\n"),
    ((4, b"no"), b"*4\r\n$1\r\n4\r\n$2\r\nno\r\n$0\r\n\r\n$0\r\n\r\n"),
    ((2, b"ok", b"", b"\x00\xff\r\n"), b"*4\r\n$1\r\n2\r\n$2\r\nok\r\n$0\r\n\r\n$4\r\n\x00\xff\r\n\r\n"),
]
UPSTREAM_REQUESTS = [
    ({}, LINE_START + b" 0\r\n\r\n"),
    (
        {"fill_source": "s-00c41f7a"},
        LINE_START + b",miss=s-00c41f7a 0\r\n\r\n",
    ),
    (
        {"priority": 3},
        LINE_START + b",prio=3 0\r\n\r\n",
    ),
    (
        {"max_age_ms": 40},
        LINE_START + b",within=40 0\r\n\r\n",
    ),
    (
        {"join_fill": True},
        LINE_START + b",f=ride 0\r\n\r\n",
    ),
    (
        {"only_if_cached": True},
        LINE_START + b",f=have-only 0\r\n\r\n",
    ),
    (
        {"refresh": True},
        LINE_START + b",f=update 0\r\n\r\n",
    ),
    (
        {"pass_through": True},
        LINE_START + b",f=through 0\r\n\r\n",
    ),
    (
        {"join_fill": True, "refresh": True},
        LINE_START + b",f=ride+update 0\r\n\r\n",
    ),
    (
        {"cached_etag": "4be0c1927d55a6f3"},
        LINE_START + b",mine=4be0c1927d55a6f3 0\r\n\r\n",
    ),
    (
        {"idempotency_key": "a31c3d6cffc90fc4"},
        LINE_START + b",replay=a31c3d6cffc90fc4 0\r\n\r\n",
    ),
    (
        {"body": b"\x00\xff\r\n"},
        LINE_START + b" 4\r\n\x00\xff\r\n\r\n",
    ),
    (
        {
            "fill_source": "o-1",
            "priority": 1,
            "max_age_ms": 5,
            "join_fill": True,
            "only_if_cached": True,
            "refresh": True,
            "pass_through": True,
            "cached_etag": "4be0c1927d55a6f3",
            "body": b"x",
            "idempotency_key": "9f",
        },
        LINE_START + b",miss=o-1,prio=1,within=5,f=ride+have-only+through+update"
        b",mine=4be0c1927d55a6f3,replay=9f 1\r\nx\r\n",
    ),
]
CACHE_SERVER_RESPONSES = [
    (
        ("ab", "HIT", {"entity": "4be0c1927d55a6f3", "issued": "1764576000123"}, b"\r\nx"),
        b"ab HIT entity=4be0c1927d55a6f3,issued=1764576000123 3\r\n\r\nx\r\n",
    ),
    (
        ("ab", "VALID", {"entity": "4be0c1927d55a6f3", "issued": "5"}),
        b"ab VALID entity=4be0c1927d55a6f3,issued=5 0\r\n\r\n",
    ),
    (("ab", "NONE", {}), b"ab NONE - 0\r\n\r\n"),
    (("ab", "SHED", {}), b"ab SHED - 0\r\n\r\n"),
    (("ab", "FAULT", {}), b"ab FAULT - 0\r\n\r\n"),
    (("t1", "PONG", {"report": "inflight:7"}), b"t1 PONG report=inflight:7 0\r\n\r\n"),
    (("t1", "SICK", {}), b"t1 SICK - 0\r\n\r\n"),
]


@pytest.mark.parametrize("arguments, expected", CLIENT_RESPONSES)
def test_responses_to_clients_are_encoded_as_at_e58eef3(arguments, expected):
    assert client_protocol.encode_response(*arguments) == expected


@pytest.mark.parametrize("fields, expected", UPSTREAM_REQUESTS)
def test_requests_to_caches_are_encoded_as_at_e58eef3(fields, expected):
    request = cache_protocol.UpstreamRequest(
        "9b1f03aa5c7e2d41", "segment", "7f3a9c21e0b4d655", 3, 1500, **fields
    )
    assert request.encode() == expected


@pytest.mark.parametrize("fields, expected", UPSTREAM_REQUESTS)
def test_a_request_to_a_cache_is_read_back_with_the_same_fields(fields, expected):
    [request] = cache_server_protocol.RequestDecoder().feed(expected)
    assert request == cache_protocol.UpstreamRequest(
        "9b1f03aa5c7e2d41", "segment", "7f3a9c21e0b4d655", 3, 1500, **fields
    )


@pytest.mark.parametrize("arguments, expected", CACHE_SERVER_RESPONSES)
def test_responses_of_a_cache_server_are_encoded_as_at_e58eef3(arguments, expected):
    assert cache_server_protocol.encode_response(*arguments) == expected


def test_cancels_health_checks_and_subscriptions_are_encoded_as_at_e58eef3():
    assert cache_protocol.encode_cancel("ab") == b"undo ab\r\n"
    assert cache_protocol.encode_health_check("t1") == b"top t1\r\n"
    assert cache_protocol.encode_health_check("t1", False) == b"ping t1\r\n"
    assert discovery_protocol.encode_subscription(0) == b"follow 0\n"
    assert discovery_protocol.encode_subscription(9007199254740993) == b"follow 9007199254740993\n"
