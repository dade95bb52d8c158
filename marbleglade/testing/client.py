"""Test client of the front's RESP protocol that checks every response strictly."""

from __future__ import annotations

import itertools
from contextlib import suppress
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import AsyncResult

STATUSES = ("ok", "full", "fault", "yes", "no")
CONNECT_TIMEOUT_SECONDS = 2
STATUS_TIMEOUT_SECONDS = 2
RESPONSE_TIMEOUT_FACTOR = 1.5  # time the client waits, relative to the timeout in its request
RESPONSE_PARTS = 4  # tag, status, fields, body


@dataclass(slots=True)
class ClientResponse:
    """A response, or with `connection_lost` set, a connection that ended before the response."""

    status: str
    fields: dict[str, str]
    body: bytes
    connection_lost: bool = False


class Client:
    """One connection to a front or gateway.

    Args:
        address: Address of the front or gateway.
        seed: Upper 24 bits of the trace ids.

    Attributes:
        duplicate_responses: Number of responses beyond the first of each request.
        malformed_responses: Number of responses that can't be decoded or have an unknown status.
        closed: Whether the connection has been closed.
    """

    trace_ids = itertools.count(1)

    def __init__(self, address: tuple[str, int], seed: int = 0) -> None:
        self.seed, self.address = seed, address
        self.tags = itertools.count(1)
        self.duplicate_responses = self.malformed_responses = 0
        self.closed = False
        self._pending: dict[int, AsyncResult[ClientResponse]] = {}
        self._abandoned_tags: set[int] = set()
        self._answered_tags: set[int] = set()
        self._buffer = bytearray()
        self.sock = socket.create_connection(address, CONNECT_TIMEOUT_SECONDS)
        self.sock.settimeout(None)
        self.reader = gevent.spawn(self._read)

    def request(
        self,
        class_name: str,
        object_id: int,
        part: int = 0,
        group: int = 0,
        timeout_ms: int = 1500,
        body: bytes = b"",
        cached_etag: str = "",
    ) -> ClientResponse | None:
        """Send a request; return its response, or None if none arrived within 1.5 times its timeout.

        Args:
            class_name: Name of the request class.
            object_id: Id of the object.
            part: Number of the part of the object.
            group: Purge group of the object.
            timeout_ms: Client timeout in ms, which the request carries.
            body: Request body of a write.
            cached_etag: Entity tag of the client's cached copy; empty for none.
        """
        trace_id = self.seed << 40 & 0xFFFF_FFFF_FFFF_FFFF | next(self.trace_ids)
        fields = (
            f"trace={trace_id:016x},patience={timeout_ms},entity={object_id:016x},block={part},family={group}"
        )
        if cached_etag:
            fields += f",cached={cached_etag}"
        return self.send_command(
            next(self.tags),
            b"ASK",
            class_name.encode(),
            fields.encode(),
            body,
            timeout_seconds=timeout_ms * RESPONSE_TIMEOUT_FACTOR / 1000,
        )

    def status(self) -> ClientResponse | None:
        """Send STATUS, which asks whether the front is ready; return None if no response arrives in time."""
        return self.send_command(next(self.tags), b"STATUS", b"", timeout_seconds=STATUS_TIMEOUT_SECONDS)

    def send_command(
        self, tag: int, command: bytes, *arguments: bytes, timeout_seconds: float
    ) -> ClientResponse | None:
        """Write a command with this tag; return its response, or None if none arrived in time."""
        result = self._pending[tag] = AsyncResult()
        parts = (command, b"%d" % tag, *arguments)
        data = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
        try:
            self.sock.sendall(data)
            with gevent.Timeout(timeout_seconds, False):
                response: ClientResponse = result.get()
                return response
        except OSError:
            self.close()
            return _connection_lost_response()
        finally:
            if self._pending.pop(tag, None):
                self._abandoned_tags.add(tag)
        return None

    def _read(self) -> None:
        with suppress(OSError, ValueError):
            while data := self.sock.recv(65536):
                self._buffer += data
                while (parts := self._next_frame()) is not None:
                    self._handle_response(parts)
        self.close()

    def _next_frame(self) -> list[bytes] | None:
        """Remove one array of four bulk strings from the buffer; return None while it is incomplete.

        Raises:
            ValueError: The buffer does not begin with an array of four bulk strings.
        """
        header_end = self._buffer.find(b"\r\n")
        if header_end < 0:
            return None
        if self._buffer[:header_end] != b"*%d" % RESPONSE_PARTS:
            self.malformed_responses += 1
            raise ValueError("expected the header of an array of four bulk strings, received another line")
        position, parts = header_end + 2, []
        for _ in range(RESPONSE_PARTS):
            size_end = self._buffer.find(b"\r\n", position)
            if size_end < 0:
                return None
            if self._buffer[position : position + 1] != b"$":
                self.malformed_responses += 1
                raise ValueError("expected the size line of a bulk string, received another line")
            size = int(self._buffer[position + 1 : size_end])
            start = size_end + 2
            if len(self._buffer) < start + size + 2:
                return None
            parts.append(bytes(self._buffer[start : start + size]))
            position = start + size + 2
        del self._buffer[:position]
        return parts

    def _handle_response(self, parts: list[bytes]) -> None:
        tag, status = int(parts[0]), parts[1].decode("ascii", "replace")
        fields = dict(pair.split("=", 1) for pair in parts[2].decode().split(",")) if parts[2] else {}
        result = self._pending.pop(tag, None)
        if result is None:
            # One response may arrive after its request timed out here; any further response is a duplicate.
            self.duplicate_responses += tag in self._answered_tags or tag not in self._abandoned_tags
            self._abandoned_tags.discard(tag)
            self._answered_tags.add(tag)
            return
        self.malformed_responses += status not in STATUSES
        self._answered_tags.add(tag)
        result.set(ClientResponse(status, fields, parts[3]))

    def close(self) -> None:
        """Close the connection; all pending requests return a response with `connection_lost` set."""
        if self.closed:
            return
        self.closed = True
        self.sock.close()
        for result in list(self._pending.values()):
            result.set(_connection_lost_response())


def _connection_lost_response() -> ClientResponse:
    return ClientResponse("", {}, b"", connection_lost=True)
