"""Codec of the link's frames: invalid frames are rejected, and valid ones are decoded as they were sent."""

import pytest

from marbleglade.gateway.link import frames
from marbleglade.gateway.link.flow_control import MAX_CHUNK_BYTES
from marbleglade.gateway.link.messages import (
    FRAME_FIELDS,
    BodyChunk,
    CreditGrant,
    Frame,
    Hello,
    RequestMessage,
    ResponseHead,
)

HELLO = Hello(
    version=1,
    region="west",
    gateway="west-1",
    start_ms=5,
    to_region="east",
    turn=1,
    opening=100,
    window=MAX_CHUNK_BYTES,
)
REQUEST = RequestMessage(number=1, trace="t", profile="p", thing=1, within_ms=5, passed=["east"])


def with_fields(message, **changes):
    """Return a copy of a message with some fields replaced."""
    copy = type(message)()
    copy.CopyFrom(message)
    for name, value in changes.items():
        setattr(copy, name, value)
    return copy


@pytest.mark.parametrize(
    "data",
    [
        frames.encode(REQUEST),
        b"\0\0\0\0",
        b"\xff\xff\xff\xff",
        b"\0\0\0\x02\xff\xff",
        b"GET / HTTP/1.1\r\n",
        frames.encode(HELLO) * 2,
        *(
            frames.encode(with_fields(HELLO, **changes))
            for changes in (
                {"version": 2},
                {"region": "We st"},
                {"start_ms": 0},
                {"turn": 0},
                {"window": 1},
                {"opening": 0},
            )
        ),
        *(
            frames.encode(HELLO) + frames.encode(message)
            for message in (
                with_fields(REQUEST, number=0),
                with_fields(REQUEST, trace="a b"),
                with_fields(REQUEST, within_ms=0),
                with_fields(REQUEST, group=257),
                with_fields(REQUEST, copy="xyz"),
                with_fields(REQUEST, body=1 << 20),
                RequestMessage(number=1, trace="t", profile="p", thing=1, within_ms=5),
                BodyChunk(number=1),
                BodyChunk(data=b"a"),
                CreditGrant(),
                ResponseHead(number=1, word=9),
                ResponseHead(number=1, word=1, tag="0" * 16, size=5, at=6),
                ResponseHead(number=1, word=3, size=5),
                ResponseHead(number=1, word=1, tag=""),
            )
        ),
        frames.encode(HELLO) + frames.LENGTH_PREFIX.pack(2) + b"\x9a\x06",
    ],
)
def test_an_undecodable_invalid_or_unexpected_frame_is_rejected(data):
    with pytest.raises(frames.InvalidLinkFrameError):
        frames.LinkFrameDecoder().feed(data)


@pytest.mark.parametrize(
    "number, offset, size", [(1, 0, 1), (1 << 40, 199_999, 127), (7, 5, 128), (300, 0, MAX_CHUNK_BYTES)]
)
def test_a_chunk_is_encoded_as_by_protobuf(number, offset, size):
    data = bytes(range(256)) * 64
    encoded = b"".join(frames.encode_chunk(number, offset, memoryview(data)[:size]))
    assert encoded == frames.encode(BodyChunk(number=number, at=offset, data=data[:size]))


def test_frames_are_decoded_from_pieces_of_any_size():
    data = frames.encode(HELLO) + b"".join(
        frames.encode(BodyChunk(number=number, at=number, data=bytes(number * 1000)))
        for number in range(1, 9)
    )
    messages = frames.LinkFrameDecoder().feed(data)
    for step in (1, 7, 4096):
        decoder = frames.LinkFrameDecoder()
        pieces = (data[start : start + step] for start in range(0, len(data), step))
        assert [message for piece in pieces for message in decoder.feed(piece)] == messages
        assert not decoder.has_partial_frame
    assert len(messages) == 9


def test_every_kind_of_frame_has_a_message_and_a_validator():
    fields = [field.name for field in Frame.DESCRIPTOR.fields]
    assert sorted(FRAME_FIELDS.values()) == sorted(fields)
    assert set(frames.VALIDATORS) == set(FRAME_FIELDS)
    assert Frame.FromString(b"").WhichOneof("kind") is None
