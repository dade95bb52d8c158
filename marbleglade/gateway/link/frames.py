"""Codec of the link's frames, without I/O: length-prefixed protobuf messages, validated on decoding.

A frame is its length, a 4-byte big-endian integer, followed by a serialized `Frame` of `link.proto`.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError

from ...deployment.names import NAME_PATTERN
from ...protocols.client_protocol import MAX_BODY_BYTES
from ...state.purge_history import UNKNOWN_GROUP
from .flow_control import MAX_CHUNK_BYTES
from .messages import (
    FRAME_FIELDS,
    BodyChunk,
    CancelMessage,
    ConnectionRefused,
    CreditGrant,
    DrainNotice,
    Frame,
    Heartbeat,
    Hello,
    LinkMessage,
    PurgeMessage,
    PurgesComplete,
    ReceivedPart,
    RequestMessage,
    ResponseHead,
    StatusQuery,
    StatusReply,
)

VERSION = 1
LENGTH_PREFIX = struct.Struct("!I")
MAX_FRAME_BYTES = MAX_CHUNK_BYTES + 4096  # enough for a chunk with its header, or for any other message
MAX_VISITED_REGIONS = 16
MAX_REFUSAL_CHARACTERS = 200
MAX_WINDOW_BYTES = 1 << 26
MAX_TIMEOUT_MS = 3_600_000
MAX_UNIX_MS = 1 << 46  # far beyond the Unix time of any clock
MAX_PART = 1 << 31
TRACE_PATTERN = re.compile(r"[!-+\--~]{1,64}")
ENTITY_TAG_PATTERN = re.compile(r"[0-9a-fA-F]{16}")

# The field key (field number and wire type) that `encode_chunk` writes itself, and the layout of a varint's
# byte.
CHUNK_FIELD_KEY = b"\x1a"  # field 3 of `Frame`, and likewise field 3 of `Chunk`: length-delimited
VARINT_PAYLOAD_MASK = 0x7F
VARINT_CONTINUATION_BIT = 0x80
VARINT_PAYLOAD_BITS = 7


class InvalidLinkFrameError(Exception):
    """A frame that cannot be decoded, is invalid or is out of order. The connection has to be closed."""


def encode(message: LinkMessage) -> bytes:
    """Return a message encoded as a frame."""
    field: dict[str, Any] = {FRAME_FIELDS[type(message)]: message}
    data: bytes = Frame(**field).SerializeToString()
    return LENGTH_PREFIX.pack(len(data)) + data


def _encode_varint(value: int) -> bytes:
    encoded = bytearray()
    while value > VARINT_PAYLOAD_MASK:
        encoded.append(value & VARINT_PAYLOAD_MASK | VARINT_CONTINUATION_BIT)
        value >>= VARINT_PAYLOAD_BITS
    encoded.append(value)
    return bytes(encoded)


def encode_chunk(number: int, offset: int, data: memoryview) -> tuple[bytes, memoryview]:
    """Encode a chunk of a body as a frame in two parts, header and data, so that the data is not copied.

    Args:
        number: The number of the forwarded request.
        offset: Where in the body the chunk begins.
        data: The bytes of the chunk.
    """
    header = (
        BodyChunk(number=number, at=offset).SerializeToString() + CHUNK_FIELD_KEY + _encode_varint(len(data))
    )
    header = CHUNK_FIELD_KEY + _encode_varint(len(header) + len(data)) + header
    return LENGTH_PREFIX.pack(len(header) + len(data)) + header, data


def _is_name(text: str) -> bool:
    return bool(NAME_PATTERN.fullmatch(text))


def _is_entity_tag(text: str) -> bool:
    return bool(ENTITY_TAG_PATTERN.fullmatch(text))


def _is_valid_hello(message: Hello) -> bool:
    return (
        _is_name(message.region)
        and _is_name(message.gateway)
        and _is_name(message.to_region)
        and 0 < message.start_ms < MAX_UNIX_MS
        and message.turn > 0
        and message.known_start_ms < MAX_UNIX_MS
        and 0 < message.opening <= MAX_BODY_BYTES
        and MAX_CHUNK_BYTES <= message.window <= MAX_WINDOW_BYTES
    )


def _is_valid_part(part: ReceivedPart) -> bool:
    return _is_entity_tag(part.tag) and part.issued_ms < MAX_UNIX_MS and 0 < part.bytes <= MAX_BODY_BYTES


def _is_valid_request(message: RequestMessage) -> bool:
    return (
        message.number > 0
        and bool(TRACE_PATTERN.fullmatch(message.trace))
        and _is_name(message.profile)
        and message.part < MAX_PART
        and message.group <= UNKNOWN_GROUP
        and 0 < message.within_ms <= MAX_TIMEOUT_MS
        and (not message.copy or _is_entity_tag(message.copy))
        and 0 < len(message.passed) <= MAX_VISITED_REGIONS
        and all(map(NAME_PATTERN.fullmatch, message.passed))
        and message.body <= MAX_BODY_BYTES
        and (not message.HasField("had") or _is_valid_part(message.had))
    )


def _is_valid_chunk(message: BodyChunk) -> bool:
    return message.number > 0 and 0 < len(message.data) <= MAX_CHUNK_BYTES and message.at < MAX_BODY_BYTES


def _is_valid_head(message: ResponseHead) -> bool:
    if not message.number or not ResponseHead.SETTLED <= message.word <= ResponseHead.LACKING:
        return False
    if message.word == ResponseHead.SETTLED:
        return (
            _is_entity_tag(message.tag)
            and message.issued_ms < MAX_UNIX_MS
            and message.at <= message.size <= MAX_BODY_BYTES
        )
    if message.size or message.at:
        return False
    return message.word != ResponseHead.SAME or (
        _is_entity_tag(message.tag) and message.issued_ms < MAX_UNIX_MS
    )


def _is_valid_query(message: StatusQuery) -> bool:
    return message.number > 0 and (not message.HasField("had") or _is_valid_part(message.had))


def _is_valid_status(message: StatusReply) -> bool:
    return message.number > 0 and StatusReply.NEVER <= message.state <= StatusReply.LOST


def _is_valid_purge(message: PurgeMessage) -> bool:
    return message.index > 0 and message.group < UNKNOWN_GROUP and 0 < message.at_ms < MAX_UNIX_MS


# For each type of message, a function that returns whether the fields of such a message are valid.
VALIDATORS: dict[type[LinkMessage], Callable[[Any], bool]] = {
    Hello: _is_valid_hello,
    RequestMessage: _is_valid_request,
    BodyChunk: _is_valid_chunk,
    CreditGrant: lambda message: 0 < message.bytes <= MAX_WINDOW_BYTES,
    ResponseHead: _is_valid_head,
    CancelMessage: lambda message: message.number > 0,
    StatusQuery: _is_valid_query,
    StatusReply: _is_valid_status,
    PurgeMessage: _is_valid_purge,
    PurgesComplete: lambda message: message.since_ms < MAX_UNIX_MS,
    Heartbeat: lambda message: message.sent_ns > 0,
    DrainNotice: lambda _message: True,
    ConnectionRefused: lambda message: len(message.why) <= MAX_REFUSAL_CHARACTERS,
}


class LinkFrameDecoder:
    """Decodes a stream of bytes into validated messages.

    Attributes:
        hello_received: True once the first message was decoded, which must be a `Hello` or a
            `ConnectionRefused`.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.hello_received = False

    @property
    def has_partial_frame(self) -> bool:
        """True while the buffer holds an incomplete frame."""
        return bool(self._buffer)

    def feed(self, data: bytes | memoryview) -> list[LinkMessage]:
        """Add received bytes, and return the messages that are complete now.

        Raises:
            InvalidLinkFrameError: A frame cannot be decoded, has an invalid field or is out of order.
        """
        self._buffer += data
        messages: list[LinkMessage] = []
        position = 0
        end = len(self._buffer)
        while end - position >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self._buffer, position)
            if not 0 < size <= MAX_FRAME_BYTES:
                raise InvalidLinkFrameError(f"frame of {size} bytes, expected 1 to {MAX_FRAME_BYTES}")
            if end - position < LENGTH_PREFIX.size + size:
                break
            position += LENGTH_PREFIX.size
            messages.append(self._decode(bytes(memoryview(self._buffer)[position : position + size])))
            position += size
        del self._buffer[:position]
        return messages

    def _decode(self, data: bytes) -> LinkMessage:
        try:
            frame = Frame.FromString(data)
        except DecodeError as error:
            raise InvalidLinkFrameError("frame is not a valid protobuf message") from error
        kind = frame.WhichOneof("kind")
        if kind is None:
            raise InvalidLinkFrameError("frame contains no message of a known kind")
        message: LinkMessage = getattr(frame, kind)
        is_hello = isinstance(message, Hello)
        may_be_first = is_hello or isinstance(message, ConnectionRefused)
        if is_hello if self.hello_received else not may_be_first:
            raise InvalidLinkFrameError(
                f"unexpected {kind} message: hello (or refused) must come first, and hello only once"
            )
        if isinstance(message, Hello) and message.version != VERSION:
            raise InvalidLinkFrameError(
                f"protocol version {message.version} is not supported, expected {VERSION}"
            )
        if not VALIDATORS[type(message)](message):
            raise InvalidLinkFrameError(f"{kind} message has a field with an invalid value")
        self.hello_received = True
        return message
