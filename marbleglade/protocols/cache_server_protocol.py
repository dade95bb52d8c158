"""Codec of the caches' protocol, server side, without I/O: decodes requests and encodes responses."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

from .cache_protocol import MAX_LINE_BYTES, NUMBER, CacheStatus, InvalidLineError, UpstreamRequest
from .client_protocol import HEX16, IDEMPOTENCY_KEY, MAX_BODY_BYTES

ID = re.compile(r"[!-+\--~]{1,64}")
CLASS_NAME = re.compile(r"[!-+\--<>-~]{1,64}")
FLAGS = frozenset({"ride", "have-only", "through", "update"})
MAX_PRIORITY = 3
MAX_PARTS = 1 << 31


@dataclass(slots=True)
class CancelRequest:
    """A cancel: the client no longer waits for the response to the request with this id."""

    id: str


@dataclass(slots=True)
class HealthCheck:
    """A health check, which may ask for a load report in the response."""

    id: str
    with_load_report: bool


@dataclass(slots=True)
class InvalidUpstreamRequest:
    """A request that is well-formed, but has an invalid or missing field."""

    id: str


ServerEvent = UpstreamRequest | CancelRequest | HealthCheck | InvalidUpstreamRequest


class RequestLine(NamedTuple):
    """The first line of a request, which precedes its body."""

    id: str
    fields: dict[str, str]
    body_size: int


class RequestDecoder:
    """Decodes a stream of bytes into requests, cancels and health checks."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._line: RequestLine | None = None  # of the request whose body is incomplete

    @property
    def has_partial_request(self) -> bool:
        """Whether a part of a request is buffered."""
        return bool(self._line or self._buffer)

    def feed(self, data: bytes | memoryview) -> list[ServerEvent]:
        """Return the requests, cancels and health checks that these bytes complete.

        Raises:
            InvalidLineError: The bytes are not a valid message, so the connection has to be closed.
        """
        self._buffer += data
        events: list[ServerEvent] = []
        while True:
            if self._line is None:
                line = self._read_line()
                if line is None:
                    return events
                if not isinstance(line, RequestLine):
                    events.append(line)
                    continue
                self._line = line
            id, fields, size = self._line
            if len(self._buffer) < size + 2:
                return events
            if self._buffer[size : size + 2] != b"\r\n":
                raise InvalidLineError("the body of the request is not followed by CRLF")
            body = bytes(memoryview(self._buffer)[:size])
            del self._buffer[: size + 2]
            self._line = None
            events.append(_decode_request(id, fields, body) or InvalidUpstreamRequest(id))

    def _read_line(self) -> RequestLine | CancelRequest | HealthCheck | None:
        """Return the next line; None if it is incomplete."""
        end = self._buffer.find(b"\r\n", 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise InvalidLineError("the line of a request is longer than MAX_LINE_BYTES")
            return None
        try:
            columns = self._buffer[:end].decode("ascii").split(" ")
        except UnicodeDecodeError as error:
            raise InvalidLineError("the line of a request is not ASCII") from error
        del self._buffer[: end + 2]
        if len(columns) < 2 or not ID.fullmatch(columns[1]):
            raise InvalidLineError("the line has no valid id")
        command, id = columns[:2]
        if command == "undo" and len(columns) == 2:
            return CancelRequest(id)
        if command in ("ping", "top") and len(columns) == 2:
            return HealthCheck(id, command == "top")
        if command != "do" or len(columns) != 4 or not NUMBER.fullmatch(columns[3]):
            raise InvalidLineError("the line is not 'do ID FIELDS SIZE', 'undo ID', 'ping ID' or 'top ID'")
        pairs = [] if columns[2] == "-" else [pair.split("=", 1) for pair in columns[2].split(",")]
        if any(len(pair) != 2 for pair in pairs):
            raise InvalidLineError("a field of the request has no value")
        fields = dict(pairs)
        if len(fields) < len(pairs):
            raise InvalidLineError("a field of the request is repeated")
        if (size := int(columns[3])) > MAX_BODY_BYTES:
            raise InvalidLineError("the body of the request is larger than MAX_BODY_BYTES")
        return RequestLine(id, fields, size)


def _decode_request(id: str, fields: dict[str, str], body: bytes) -> UpstreamRequest | None:
    """Return the request with these fields; None if a field is missing or out of range."""
    numbers = [
        fields.get("nth", ""),
        fields.get("max", ""),
        fields.get("prio", "0"),
        fields.get("within", "0"),
    ]
    class_name, object_id = fields.get("profile", ""), fields.get("thing", "")
    cached_etag, idempotency_key = fields.get("mine", ""), fields.get("replay", "")
    flags = fields["f"].split("+") if fields.get("f") else []
    if (
        not all(map(NUMBER.fullmatch, numbers))
        or not CLASS_NAME.fullmatch(class_name)
        or not HEX16.fullmatch(object_id.encode())
        or (cached_etag and not HEX16.fullmatch(cached_etag.encode()))
        or (idempotency_key and not IDEMPOTENCY_KEY.fullmatch(idempotency_key.encode()))
        or not FLAGS.issuperset(flags)
    ):
        return None
    part, timeout_ms, priority, max_age_ms = map(int, numbers)
    if not timeout_ms or priority > MAX_PRIORITY or part >= MAX_PARTS:
        return None
    return UpstreamRequest(
        id,
        class_name,
        object_id,
        part,
        timeout_ms,
        fields.get("miss", ""),
        priority,
        max_age_ms,
        cached_etag=cached_etag,
        body=body,
        idempotency_key=idempotency_key,
        join_fill="ride" in flags,
        only_if_cached="have-only" in flags,
        pass_through="through" in flags,
        refresh="update" in flags,
    )


def encode_response(id: str, status: CacheStatus, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the encoded response."""
    pairs = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return f"{id} {status} {pairs} {len(body)}\r\n".encode() + body + b"\r\n"
