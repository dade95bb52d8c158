"""Codec of the clients' protocol, without I/O: messages are RESP arrays of bulk strings."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..model.request import RequestClass
from ..runtime.units import MILLISECOND_NS

MAX_BODY_BYTES = 240_000  # limit set by the protocol
MAX_STRING_BYTES = 4_096  # for strings other than bodies; no valid field list comes near it
MAX_ARRAY_LENGTH = 8
MAX_LENGTH_LINE_BYTES = 24  # for the line that precedes an array or a string
ARRAY, STRING = b"*$"  # the first byte of a length line
HEX16 = re.compile(rb"[0-9a-fA-F]{16}")
IDEMPOTENCY_KEY = re.compile(rb"[!-+\--~]{1,128}")  # no comma or space, as field lists carry it
NUMBER = re.compile(rb"[0-9]{1,18}")
MAX_GROUP = 255  # highest purge group of the protocol
# Ratio of the longest accepted timeout of a request to the client timeout of its class. A cache has no use
# for a longer timeout.
MAX_TIMEOUT_FACTOR = 2
FIELD = re.compile(rb"([a-z]+)=([^,]*)(?:,|$)")
# The most frequent form of a request, up to its body. One match is faster than decoding each string.
COMMON_REQUEST = re.compile(
    rb"\*5\r\n\$3\r\nASK\r\n\$(\d\d?)\r\n([0-9]{1,18})\r\n\$(\d{1,3})\r\n([!-~]{1,99})"
    rb"\r\n\$(\d{1,4})\r\n([!-~]{1,4096})\r\n\$(\d{1,6})\r\n"
)


class InvalidFrameError(Exception):
    """The bytes are not a valid frame, or a frame has no valid tag, so the connection has to be closed."""


@dataclass(slots=True)
class ClientRequest:
    """A client's request for an object. Its strings are forwarded to caches unchanged.

    Attributes:
        tag: Number by which the client identifies the request on its connection.
        request_class: The request class.
        class_name: Name of the request class.
        trace_id: 16 hex digits, unique to the request.
        timeout_ns: Time for which the client waits, ns.
        is_client_retry: Whether the client has sent this request before.
        object_id: 16 hex digits.
        part: Number of the part of the object.
        group: The purge group of the object.
        cached_etag: Tag of the client's cached copy; empty if there is none.
        body: The body of a write.
        max_age_ns: Maximum age of a cached response, ns; 0 is `DEFAULT_MAX_AGE`.
        via_regions: The regions through which the request was forwarded.
        idempotency_key: Key by which caches recognize a repeated request; empty if there is none.
        received_at: Time at which the request counts as received, ns of the monotonic clock; 0 for the time
            at which it is handled.
        check_client_end: Function to call before each attempt. It handles a cancel or the end of the client's
            input that has arrived but has not been read yet.
    """

    tag: int
    request_class: RequestClass
    class_name: str
    trace_id: str
    timeout_ns: int
    is_client_retry: bool
    object_id: str
    part: int
    group: int
    cached_etag: str
    body: bytes
    max_age_ns: int = 0
    via_regions: tuple[str, ...] = ()
    idempotency_key: str = ""
    received_at: int = 0
    check_client_end: Callable[[], None] | None = None


@dataclass(slots=True)
class Cancel:
    """A cancel: the client no longer waits for the response to the request with this tag."""

    tag: int


@dataclass(slots=True)
class StatusQuery:
    """A query whether this front is ready."""

    tag: int


@dataclass(slots=True)
class InvalidRequest:
    """A message with a valid tag that is invalid in another way; the client receives a failure for it."""

    tag: int


Message = ClientRequest | Cancel | StatusQuery | InvalidRequest


class FrameDecoder:
    """Decodes a stream of bytes into frames: arrays of bulk strings."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.strings: list[bytes] = []  # the strings read so far of an incomplete frame
        self.missing_strings = 0  # number of strings that the incomplete frame still needs
        # The error that `feed` did not raise because complete frames preceded the invalid bytes, or None.
        self.error: InvalidFrameError | None = None

    @property
    def has_partial_frame(self) -> bool:
        """Whether a part of a frame is buffered."""
        return bool(self.buffer or self.strings or self.missing_strings)

    def feed(self, data: bytes | memoryview) -> list[list[bytes]]:
        """Return the frames that these bytes complete.

        If invalid bytes follow complete frames, the frames are returned and `error` is set.

        Raises:
            InvalidFrameError: The bytes are invalid, and no complete frame precedes them.
        """
        self.buffer += data
        frames: list[list[bytes]] = []
        position = 0
        while True:
            if not self.missing_strings and (common := self._read_common_request(position)):
                frame, position = common
                frames.append(frame)
                continue
            try:
                next_position = self._read_string(position)
            except InvalidFrameError as error:
                if not frames:
                    raise
                self.error = error
                break
            if next_position < 0:
                break
            position = next_position
            if not self.missing_strings and self.strings:
                frames.append(self.strings)
                self.strings = []
        del self.buffer[:position]
        return frames

    def preview(self, data: bytes) -> list[list[bytes]]:
        """Return the frames that these bytes would complete, without changing the state."""
        copy = FrameDecoder()
        copy.buffer = self.buffer + data
        copy.strings = list(self.strings)
        copy.missing_strings = self.missing_strings
        try:
            return copy.feed(b"")
        except InvalidFrameError:
            return []

    def _read_common_request(self, position: int) -> tuple[list[bytes], int] | None:
        """Return the strings of a complete request of the common form, and the position after it."""
        if not (found := COMMON_REQUEST.match(self.buffer, position)):
            return None
        tag_size, tag, name_size, name, size, fields, body_size = found.groups()
        start, stop = found.end(), found.end() + int(body_size)
        if (
            (int(tag_size), int(name_size), int(size)) != (len(tag), len(name), len(fields))
            or stop - start > MAX_BODY_BYTES
            or self.buffer[stop : stop + 2] != b"\r\n"
        ):
            return None
        return [b"ASK", tag, name, fields, bytes(self.buffer[start:stop])], stop + 2

    def _read_string(self, position: int) -> int:
        """Read one array header or one string; return the position after it, or -1 if it is incomplete."""
        end = self.buffer.find(b"\r\n", position, position + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(self.buffer) - position >= MAX_LENGTH_LINE_BYTES:
                raise InvalidFrameError("a length line does not end with CRLF within MAX_LENGTH_LINE_BYTES")
            return -1
        kind, number = self.buffer[position], bytes(self.buffer[position + 1 : end])
        if kind != (STRING if self.missing_strings else ARRAY) or not NUMBER.fullmatch(number):
            raise InvalidFrameError("the frame is not an array of bulk strings")
        size = int(number)
        if not self.missing_strings:
            if not 0 < size <= MAX_ARRAY_LENGTH:
                raise InvalidFrameError("the array does not have 1 to MAX_ARRAY_LENGTH strings")
            self.missing_strings = size
            return end + 2
        if size > (MAX_BODY_BYTES if len(self.strings) == 4 else MAX_STRING_BYTES):
            raise InvalidFrameError("a string of the frame is too long")
        start, stop = end + 2, end + 2 + size
        if len(self.buffer) < stop + 2:
            return -1
        if self.buffer[stop : stop + 2] != b"\r\n":
            raise InvalidFrameError("a string of the frame is not followed by CRLF")
        self.strings.append(bytes(self.buffer[start:stop]))
        self.missing_strings -= 1
        return stop + 2


def decode_message(strings: list[bytes], request_classes: Mapping[str, RequestClass]) -> Message:
    """Return the message that a frame contains.

    Raises:
        InvalidFrameError: The frame has no valid tag.
    """
    if len(strings) < 2 or not NUMBER.fullmatch(strings[1]) or not (tag := int(strings[1])):
        raise InvalidFrameError("the message has no valid tag")
    if strings[0] == b"ASK":
        return _decode_request(tag, strings, request_classes) or InvalidRequest(tag)
    if strings[0] == b"NEVERMIND":
        return Cancel(tag)
    return StatusQuery(tag) if strings[0] == b"STATUS" else InvalidRequest(tag)


def _unique_fields(field_list: bytes) -> dict[bytes, bytes] | None:
    """Return the fields of a list by name, ignoring text that is no field; None if a field is repeated."""
    pairs = FIELD.findall(field_list)
    fields = dict(pairs)
    return fields if len(fields) == len(pairs) else None


def _decode_request(
    tag: int, strings: list[bytes], request_classes: Mapping[str, RequestClass]
) -> ClientRequest | None:
    """Return a request, or None if it is invalid."""
    fields = _unique_fields(strings[3]) if 4 <= len(strings) <= 5 else None
    if fields is None:
        return None  # the number of strings is wrong, or a field is repeated
    trace_id, object_id = fields.get(b"trace", b""), fields.get(b"entity", b"")
    cached_etag, idempotency_key = fields.get(b"cached", b""), fields.get(b"nonce", b"")
    numbers = [fields.get(name, b"") for name in (b"patience", b"block", b"family")]
    name = strings[2].decode("utf-8", "replace")  # class names may use any alphabet
    if (
        name not in request_classes
        or not all(map(HEX16.fullmatch, (trace_id, object_id)))
        or (cached_etag and not HEX16.fullmatch(cached_etag))
        or (idempotency_key and not IDEMPOTENCY_KEY.fullmatch(idempotency_key))
        or not all(map(NUMBER.fullmatch, numbers))
    ):
        return None  # the request class is unknown, or a field is missing or malformed
    timeout_ms, part, group = map(int, numbers)
    timeout_ns = timeout_ms * MILLISECOND_NS
    longest_timeout = MAX_TIMEOUT_FACTOR * request_classes[name].client_timeout
    if not 0 < timeout_ns <= longest_timeout or group > MAX_GROUP:
        return None  # a field is out of range
    return ClientRequest(
        tag=tag,
        request_class=request_classes[name],
        class_name=name,
        trace_id=trace_id.decode(),
        timeout_ns=timeout_ns,
        is_client_retry=fields.get(b"redo") == b"1",
        object_id=object_id.decode(),
        part=part,
        group=group,
        cached_etag=cached_etag.decode(),
        body=strings[4] if len(strings) == 5 else b"",
        idempotency_key=idempotency_key.decode(),
    )


def encode_response(tag: int, status: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
    """Return the encoded response."""
    tag_text = b"%d" % tag
    return b"*4\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        len(tag_text),
        tag_text,
        len(status),
        status,
        len(fields),
        fields,
        len(body),
        body,
    )
