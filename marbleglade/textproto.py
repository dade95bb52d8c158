"""Reading of protobuf text format files, and of the addresses in them."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from google.protobuf import text_format
from google.protobuf.message import Message

from .runtime import addresses

AnyMessage = TypeVar("AnyMessage", bound=Message)


def parse_file(path: str, message: AnyMessage, max_bytes: int) -> AnyMessage:
    """Parse the file at `path` into `message`, and return `message`.

    Raises:
        ValueError: The file can't be read or parsed, or is longer than `max_bytes`. The text names the file.
    """
    try:
        data = Path(path).read_bytes()
        if len(data) > max_bytes:
            raise ValueError(f"the file is longer than {max_bytes} bytes")
        text_format.Parse(data.decode("utf-8"), message)
    except (OSError, ValueError, text_format.ParseError) as error:
        raise ValueError(f"{path}: {error}") from error
    return message


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port` like `addresses.parse_address`, but allow only ASCII digits in the port.

    Raises:
        ValueError: The text is not a valid address.
    """
    port = text.rpartition(":")[2]
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"{text!r} is not host:port with a decimal port number")
    return addresses.parse_address(text)
