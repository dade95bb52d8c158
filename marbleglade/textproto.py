"""Files in protobuf text format, read into a message."""

from __future__ import annotations

from pathlib import Path

from google.protobuf import text_format
from google.protobuf.message import Message

from .runtime import addresses


def parsed(path: str, into: Message, longest: int) -> Message:
    """The file at `path`, `longest` bytes at most. Raises ValueError that tells the path and the fault."""
    try:
        data = Path(path).read_bytes()
        if len(data) > longest:
            raise ValueError(f"it is longer than {longest} bytes")
        return text_format.Parse(data.decode("utf-8"), into)
    except (OSError, ValueError, text_format.ParseError) as trouble:
        raise ValueError(f"{path}: {trouble}") from trouble


def address(text: str) -> tuple[str, int]:
    """ "host:port" as a pair; ValueError where it is none."""
    port = text.rpartition(":")[2]
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"{text!r} has no port")
    return addresses.address(text)
