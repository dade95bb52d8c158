"""The number of bytes that are buffered for all clients together, and its limit."""

from __future__ import annotations


class BufferUsage:
    """Counts the bytes of partial frames, request bodies, and responses that wait to be written.

    Attributes:
        used: Bytes buffered now; whoever adds bytes subtracts them when they are freed.
        limit: The most bytes that may be buffered.
    """

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
