"""Constants and field codecs of the simulator's protocol: lines of text with fields separated by a space."""

from __future__ import annotations

from ..model.attempt import AttemptResult
from ..model.policy_action import PolicyActionKind

ABSENT = "-"  # stands for a field without a value
NS_PER_MS = 1e6

RESULT_BY_STATUS = {
    200: AttemptResult.OK,
    500: AttemptResult.ERROR,
    503: AttemptResult.REJECTED,
    504: AttemptResult.TIMEOUT,
    502: AttemptResult.CONNECT_FAILED,
    598: AttemptResult.RESET,
    499: AttemptResult.CANCELLED,
    410: AttemptResult.NOT_STARTED,
    404: AttemptResult.MISS,
}

# Names of policy actions in RECORD messages.
RECORD_BY_ACTION = {PolicyActionKind.EJECTED: "shut"}

# Bits of the last field of ANSWER_FROM (the first three) and of ACCEPT (CLIENT_RETRY_BIT).
JOIN_FILL_BIT = 1
ONLY_IF_CACHED_BIT = 2
REFRESH_BIT = 8
CLIENT_RETRY_BIT = 2


class MalformedMessageError(Exception):
    """Raised for a line that the protocol does not allow; the message states the reason."""


def decode_time(text: str) -> int:
    """Decode a time in milliseconds to nanoseconds; an absent value is 0."""
    return 0 if text == ABSENT else round(float(text) * NS_PER_MS)


def decode_integer(text: str) -> int:
    """Decode an integer, which may be written with a decimal point; an absent value is 0."""
    if text == ABSENT:
        return 0
    return int(float(text)) if "." in text else int(text)


def decode_number(text: str) -> float:
    """Decode a floating-point number; an absent value is 0."""
    return 0.0 if text == ABSENT else float(text)


def decode_report_values(text: str) -> dict[str, float]:
    """Decode a load report, written `name:value,...`, to its values by name."""
    if text == ABSENT:
        return {}
    pairs = (pair.split(":") for pair in text.split(","))
    return {name: float(value) for name, value in pairs}


def encode_time(nanoseconds: int) -> str:
    """Encode nanoseconds as milliseconds, rounded down to a microsecond."""
    return f"{nanoseconds // 1000 / 1000:.3f}"
