"""Reads the fleet's settings from protobuf text format; an invalid file is rejected as a whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from google.protobuf.message import Message

from ..runtime.errors import InvalidConfigurationError
from ..textproto import parse_file
from .fleet_pb2 import FleetPart

DEFAULT_PROBE_INTERVAL_MS = 1000
MAX_FILE_BYTES = 1 << 16

MessageT = TypeVar("MessageT", bound=Message)


@dataclass(slots=True, frozen=True)
class Bounds:
    """The smallest and the largest allowed value of a key."""

    key: str
    smallest: int
    largest: int

    def violation(self, value: int) -> str:
        """Return an error message for a value that is out of bounds; "" for any other value."""
        if self.smallest <= value <= self.largest:
            return ""
        return f"{self.key} is {value}, expected a value from {self.smallest} to {self.largest}"


PROBE_INTERVAL_MS_BOUNDS = Bounds("beat_ms", 100, 10_000)


@dataclass(slots=True)
class FleetSettings:
    """Settings shared by the members of a fleet.

    Attributes:
        probe_interval_ms: Milliseconds between two probes that a front sends; the key `beat_ms`.
    """

    probe_interval_ms: int


def read_text_format(path: str, message: MessageT) -> MessageT:
    """Read the file at `path` into a message.

    Raises:
        InvalidConfigurationError: The file is unreadable or invalid; the error message is one line.
    """
    try:
        parse_file(path, message, MAX_FILE_BYTES)
    except ValueError as error:
        raise InvalidConfigurationError(" ".join(str(error).split())) from error
    return message


def read(path: str) -> FleetSettings:
    """Read the fleet settings in the file at `path`, with defaults for absent keys.

    Raises:
        InvalidConfigurationError: The file is unreadable, or a value is out of bounds.
    """
    part = read_text_format(path, FleetPart())
    interval_ms = part.beat_ms if part.HasField("beat_ms") else DEFAULT_PROBE_INTERVAL_MS
    if error := PROBE_INTERVAL_MS_BOUNDS.violation(interval_ms):
        raise InvalidConfigurationError(f"{path}: {error}")
    return FleetSettings(interval_ms)
