"""Tests of the clients' protocol: frames, messages and responses, as tables of cases."""

import pytest

from marbleglade.model.request import RequestClass
from marbleglade.protocols.client_protocol import (
    Cancel,
    ClientRequest,
    FrameDecoder,
    InvalidFrameError,
    InvalidRequest,
    StatusQuery,
    decode_message,
    encode_response,
)
from tests.harness.messages import resp_array
from tests.protocols.byte_streams import ANY_BYTES, decode_all_splits

REQUEST_CLASSES = {"segment": RequestClass(latency_objective=1, objective_stretch=0.0, client_timeout=10**9)}
FIELDS = b"trace=9b1f03aa5c7e2d41,patience=1500,entity=7f3a9c21e0b4d655,block=3,family=17"


def test_frames_are_the_same_however_the_bytes_are_split():
    frames = [[b"ASK", b"7", b"segment", FIELDS, ANY_BYTES], [b"NEVERMIND", b"7"], [b"STATUS", b"8", b""]]
    data = b"".join(resp_array(*frame) for frame in frames)
    assert all(decoded == frames for decoded in decode_all_splits(FrameDecoder, data))


@pytest.mark.parametrize(
    "data",
    [
        b"ASK 7\r\n",
        b"*0\r\n",
        b"*9\r\n",
        b"*-1\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*" + b"1" * 30,
        b"*1\r\n$4097\r\n",
        b"*5\r\n" + b"$1\r\na\r\n" * 4 + b"$240001\r\n",
        b"\xff" * 40,
    ],
)
def test_an_invalid_frame_is_an_error(data):
    with pytest.raises(InvalidFrameError):
        FrameDecoder().feed(data)


@pytest.mark.parametrize("strings", [[b"ASK"], [b"ASK", b"x"], [b"STATUS", b"0"], [b"ASK", b"-4"]])
def test_a_message_without_a_valid_tag_is_an_error(strings):
    with pytest.raises(InvalidFrameError):
        decode_message(strings, REQUEST_CLASSES)


def decode_request(fields=FIELDS, class_name=b"segment", *body):
    return decode_message([b"ASK", b"7", class_name, fields, *body], REQUEST_CLASSES)


def test_every_field_of_a_request_is_decoded():
    request = decode_request(FIELDS + b",redo=1,cached=4be0c1927d55a6f3,new=x", b"segment", ANY_BYTES)
    assert request == ClientRequest(
        7,
        REQUEST_CLASSES["segment"],
        "segment",
        "9b1f03aa5c7e2d41",
        1_500_000_000,
        True,
        "7f3a9c21e0b4d655",
        3,
        17,
        "4be0c1927d55a6f3",
        ANY_BYTES,
    )
    assert decode_request() == ClientRequest(
        7,
        REQUEST_CLASSES["segment"],
        "segment",
        "9b1f03aa5c7e2d41",
        1_500_000_000,
        False,
        "7f3a9c21e0b4d655",
        3,
        17,
        "",
        b"",
    )
    assert decode_request(FIELDS + b",nonce=a31c3d6cffc90fc4").idempotency_key == "a31c3d6cffc90fc4"


def test_a_request_class_may_be_named_in_any_alphabet():
    name = "zápis-ж"
    request = decode_message([b"ASK", b"7", name.encode(), FIELDS], {name: REQUEST_CLASSES["segment"]})
    assert isinstance(request, ClientRequest) and request.class_name == name


@pytest.mark.parametrize(
    "old, new",
    [
        (b"trace=9b", b"trace=zz"),
        (b"patience=1500", b"patience=0"),
        (b"patience=1500", b"patience=soon"),
        (b"entity=7f", b"entity=7"),
        (b"block=3", b"block=-1"),
        (b"family=17", b"family=256"),
        (b",family=17", b""),
        (b"patience=1500", b"patience=9000"),
        (b"block=3", b"block=3,block=4"),
        (b",family=17", b",family=17,trace=0000000000000000"),
        (b"family=17", b"family=17,cached=nope"),
        (b"family=17", b"family=17,nonce=a\r\nundo b"),
        (FIELDS, b""),
    ],
)
def test_a_request_with_an_invalid_field_keeps_its_tag(old, new):
    assert decode_request(FIELDS.replace(old, new)) == InvalidRequest(7)


@pytest.mark.parametrize(
    "strings, message",
    [
        ([b"NEVERMIND", b"4"], Cancel(4)),
        ([b"STATUS", b"8", b""], StatusQuery(8)),
        ([b"PUT", b"9"], InvalidRequest(9)),
        ([b"ASK", b"9", b"other", FIELDS], InvalidRequest(9)),
        ([b"ASK", b"9"], InvalidRequest(9)),
    ],
)
def test_other_messages_are_decoded(strings, message):
    assert decode_message(strings, REQUEST_CLASSES) == message


@pytest.mark.parametrize(
    "arguments, encoded",
    [
        ((7, b"ok", b"", b"xyz"), b"*4\r\n$1\r\n7\r\n$2\r\nok\r\n$0\r\n\r\n$3\r\nxyz\r\n"),
        ((12, b"full", b"pause=40"), b"*4\r\n$2\r\n12\r\n$4\r\nfull\r\n$8\r\npause=40\r\n$0\r\n\r\n"),
    ],
)
def test_a_response_is_encoded(arguments, encoded):
    assert encode_response(*arguments) == encoded
