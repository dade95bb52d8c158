"""Splits the bytes of a connection into lines, without I/O."""

from __future__ import annotations

from ..protocols.discovery_protocol import MAX_LINE_BYTES
from .messages import InvalidLineError


class LineBuffer:
    """Splits received bytes into lines and keeps the incomplete last line until the rest of it arrives.

    Args:
        max_line_bytes: Maximum length of an incomplete line, in bytes.
    """

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.max_line_bytes = max_line_bytes
        self._incomplete = bytearray()

    def split(self, data: bytes | memoryview) -> list[bytes]:
        """Add received bytes and return the lines that are now complete, in order and without line ends.

        Raises:
            InvalidLineError: The incomplete line is longer than `max_line_bytes`.
        """
        self._incomplete += data
        *lines, self._incomplete = self._incomplete.split(b"\n")
        if len(self._incomplete) > self.max_line_bytes:
            raise InvalidLineError(f"the line is longer than {self.max_line_bytes} bytes")
        return [bytes(line) for line in lines]
