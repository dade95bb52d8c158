"""Packing and unpacking of datagram fields, without I/O. `update_datagrams` defines the header.

A datagram with bytes left over after its last field is rejected.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from .update_datagrams import HEADER, MAX_DATAGRAM_BYTES, VERSION

MessageT = TypeVar("MessageT")
Row = tuple[Any, ...]  # the values of one `struct` format
COUNT = struct.Struct("!B")
MAX_U16 = 2**16 - 1
MAX_U32 = 2**32 - 1


class InvalidMessageError(Exception):
    """The datagram is invalid."""


def pack_list(row_format: struct.Struct, rows: Iterable[Row]) -> bytes:
    """Return the packed rows, preceded by their count."""
    packed = [row_format.pack(*row) for row in rows]
    return COUNT.pack(len(packed)) + b"".join(packed)


class DatagramReader:
    """Reads the fields that follow the header, in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    @property
    def remaining(self) -> int:
        """The number of bytes that are not yet read."""
        return len(self.data) - self.position

    def read(self, row_format: struct.Struct) -> Row:
        """Read one row; raise `InvalidMessageError` if the data is too short."""
        if self.remaining < row_format.size:
            raise InvalidMessageError
        begin = self.position
        self.position += row_format.size
        return row_format.unpack_from(self.data, begin)

    def read_list(self, row_format: struct.Struct, max_count: int) -> list[Row]:
        """Read a list of rows that is preceded by its count.

        Raises:
            InvalidMessageError: The list has more than `max_count` rows, or the data is too short.
        """
        count = self.read(COUNT)[0]
        if count > max_count:
            raise InvalidMessageError
        return [self.read(row_format) for _ in range(count)]

    def read_remaining(self, max_bytes: int) -> bytes:
        """Read the remaining bytes; raise `InvalidMessageError` unless there are 1 to `max_bytes`."""
        if not 0 < self.remaining <= max_bytes:
            raise InvalidMessageError
        begin = self.position
        self.position = len(self.data)
        return self.data[begin:]


def read_message(data: bytes, parse: Callable[[int, int, DatagramReader], MessageT]) -> MessageT | None:
    """Parse a datagram; return None if it is invalid.

    Args:
        data: The datagram.
        parse: Called with the kind and the number of the header, and a reader of the fields. It has to read
            all fields, and raises `InvalidMessageError` or `ValueError` if one is invalid.
    """
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    version, kind, number = HEADER.unpack_from(data)
    if version != VERSION:
        return None
    reader = DatagramReader(data[HEADER.size :])
    try:
        message = parse(kind, number, reader)
    except (InvalidMessageError, ValueError):
        return None
    return None if reader.remaining else message
