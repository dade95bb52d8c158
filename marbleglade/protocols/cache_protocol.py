"""Codec of the caches' protocol, client side, without I/O: text lines, each followed by a sized body."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .client_protocol import HEX16, MAX_BODY_BYTES

MAX_LINE_BYTES = 4_096
NUMBER = re.compile(r"[0-9]{1,15}", re.ASCII)


class CacheStatus(StrEnum):
    """The status of a cache's response. The values are sent on the wire, and are part of counter names."""

    SERVED = "HIT"  # the response carries the object
    NOT_MODIFIED = "VALID"  # the client's cached copy is current
    MISSING = "NONE"  # not cached and not filled, or the origin has no such object
    REJECTED = "SHED"
    FAILED = "FAULT"
    NOT_STARTED = "LATE"  # the timeout passed before the request was processed
    HEALTHY = "PONG"
    UNHEALTHY = "SICK"


HEALTH_STATUSES = (CacheStatus.HEALTHY, CacheStatus.UNHEALTHY)
# Responses with these statuses carry the object's tag and the time at which the origin sent it.
SUCCESS_STATUSES = (CacheStatus.SERVED, CacheStatus.NOT_MODIFIED)


class InvalidLineError(Exception):
    """The bytes are not a valid message, so the connection has to be closed."""


@dataclass(slots=True)
class UpstreamRequest:
    """An attempt as it is sent to a cache. Strings from the client are forwarded unchanged.

    Attributes:
        id: The trace id of the request.
        class_name: Name of the request class.
        object_id: 16 hex digits.
        part: Number of the part of the object.
        timeout_ms: Time left for the attempt, ms.
        fill_source: Id of the upstream from which a miss is filled; empty if a miss is not to be filled.
        priority: Priority of the request at the cache, 0 to 3.
        max_age_ms: Maximum age of a cached response, ms; 0 is `DEFAULT_MAX_AGE`.
        join_fill: Whether to wait for a fill of the object that is already running.
        only_if_cached: Whether to respond from the cache only, without a fill.
        refresh: Whether to fetch the object again from the fill source.
        pass_through: Whether a parent on the way forwards the object without caching it.
        cached_etag: Tag of the client's cached copy; empty if there is none.
        body: The body of a write.
        idempotency_key: Key by which a repeated request is recognized; empty if there is none.
    """

    id: str
    class_name: str
    object_id: str
    part: int
    timeout_ms: int
    fill_source: str = ""
    priority: int = 0
    max_age_ms: int = 0
    join_fill: bool = False
    only_if_cached: bool = False
    refresh: bool = False
    pass_through: bool = False
    cached_etag: str = ""
    body: bytes = b""
    idempotency_key: str = ""

    def encode(self) -> bytes:
        """Return the encoded request."""
        flags = "+".join(
            flag
            for flag, is_set in (
                ("ride", self.join_fill),
                ("have-only", self.only_if_cached),
                ("through", self.pass_through),
                ("update", self.refresh),
            )
            if is_set
        )
        optional = (
            ("miss", self.fill_source),
            ("prio", self.priority),
            ("within", self.max_age_ms),
            ("f", flags),
            ("mine", self.cached_etag),
            ("replay", self.idempotency_key),
        )
        fields = ",".join(
            [
                f"profile={self.class_name}",
                f"thing={self.object_id}",
                f"nth={self.part}",
                f"max={self.timeout_ms}",
                *(f"{name}={value}" for name, value in optional if value),
            ]
        )
        return b"do %b %b %d\r\n%b\r\n" % (self.id.encode(), fields.encode(), len(self.body), self.body)


def encode_cancel(id: str) -> bytes:
    """Return the encoded cancel of a request."""
    return b"undo %b\r\n" % id.encode()


def encode_health_check(id: str, with_load_report: bool = True) -> bytes:
    """Return an encoded health check, which may ask for a load report in the response."""
    return (b"top %b\r\n" if with_load_report else b"ping %b\r\n") % id.encode()


@dataclass(slots=True)
class UpstreamResponse:
    """A response of a cache.

    Attributes:
        id: The id of the request.
        status: The result of the request.
        fields: The fields, by their names on the wire.
        body: The object's bytes; empty unless the object was served.
    """

    id: str
    status: CacheStatus
    fields: dict[str, str]
    body: bytes

    @property
    def entity_tag(self) -> str:
        """The object's tag; empty if the response has none, in which case the object must not be cached."""
        return self.fields.get("entity", "")

    @property
    def issued_ms(self) -> int:
        """The time at which the origin sent the object, Unix milliseconds; 0 if it is not stated."""
        return int(self.fields.get("issued", 0))

    def answers(self, is_health_check: bool, cached_etag: str, cacheable: bool = True) -> bool:
        """Return whether this is a valid response to the request that was sent.

        Args:
            is_health_check: Whether a health check was sent instead of a request.
            cached_etag: Tag of the client's cached copy; empty if there is none.
            cacheable: Whether the object can be cached; otherwise its response may omit tag and time.
        """
        if is_health_check or self.status not in SUCCESS_STATUSES:
            return is_health_check == (self.status in HEALTH_STATUSES)
        if (
            not cacheable
            and self.status is CacheStatus.SERVED
            and not {"entity", "issued"} & self.fields.keys()
        ):
            return True
        etag, not_modified = self.entity_tag, self.status is CacheStatus.NOT_MODIFIED
        return (
            bool(HEX16.fullmatch(etag.encode()))
            and bool(NUMBER.fullmatch(self.fields.get("issued", "")))
            and (not not_modified or (bool(cached_etag) and etag == cached_etag and not self.body))
        )

    def load_report(self) -> dict[str, float]:
        """Return the load report; empty if it is absent or malformed."""
        if "report" not in self.fields:
            return {}
        pairs = (entry.partition(":")[::2] for entry in self.fields["report"].split(";") if entry)
        try:
            report = {name: float(value) for name, value in pairs}
        except ValueError:
            return {}
        return report if all(math.isfinite(value) and value >= 0 for value in report.values()) else {}


class ResponseLine(NamedTuple):
    """The first line of a response, which precedes its body."""

    id: str
    status: CacheStatus
    fields: dict[str, str]
    body_size: int


class ResponseDecoder:
    """Decodes a stream of bytes into responses."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._line: ResponseLine | None = None  # of the response whose body is incomplete

    @property
    def body_size(self) -> int:
        """The size in bytes of the body that is incomplete; 0 if there is none."""
        return self._line.body_size if self._line else 0

    @property
    def has_partial_response(self) -> bool:
        """Whether a part of a response is buffered."""
        return bool(self._line or self._buffer)

    def feed(self, data: bytes | memoryview) -> list[UpstreamResponse]:
        """Return the responses that these bytes complete.

        Raises:
            InvalidLineError: The bytes are not a valid response.
        """
        self._buffer += data
        responses: list[UpstreamResponse] = []
        while True:
            if self._line is None:
                self._line = self._read_line()
                if self._line is None:
                    return responses
            id, status, fields, size = self._line
            if len(self._buffer) < size + 2:
                return responses
            if self._buffer[size : size + 2] != b"\r\n":
                raise InvalidLineError("the body of the response is not followed by CRLF")
            responses.append(UpstreamResponse(id, status, fields, bytes(memoryview(self._buffer)[:size])))
            del self._buffer[: size + 2]
            self._line = None

    def _read_line(self) -> ResponseLine | None:
        """Return the next response line; None if it is incomplete."""
        end = self._buffer.find(b"\r\n", 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise InvalidLineError("the line of a response is longer than MAX_LINE_BYTES")
            return None
        parsed = _parse_line(self._buffer[:end])
        del self._buffer[: end + 2]
        return parsed


def _parse_line(line: bytearray) -> ResponseLine:
    """Parse the line of a response.

    Raises:
        InvalidLineError: The line is malformed, or announces a body that is too large.
    """
    try:
        id, status_name, field_list, size = line.decode().split(" ")
        status = CacheStatus(status_name)
        pairs = [] if field_list == "-" else [pair.split("=", 1) for pair in field_list.split(",")]
        fields = dict(pairs)
        if len(fields) < len(pairs) or not NUMBER.fullmatch(size):
            raise ValueError(field_list, size)
        body_size = int(size)
    except ValueError as error:
        raise InvalidLineError("the line is not 'ID STATUS FIELDS SIZE'") from error
    if body_size > MAX_BODY_BYTES:
        raise InvalidLineError("the body of the response is larger than MAX_BODY_BYTES")
    return ResponseLine(id, status, fields, body_size)
