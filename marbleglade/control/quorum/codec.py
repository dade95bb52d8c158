"""Encodes quorum messages as JSON lines, `["Prepare",{...}]`, and the store's records as JSON. Does no I/O.

`MESSAGE_NAMES` and `FIELD_KEYS` fix the names on the wire and in the store, so that renaming a type or an
attribute changes neither format.
"""

from __future__ import annotations

from functools import cache
from typing import TypeAlias, TypeVar, get_args, get_origin, get_type_hints

import orjson

from .messages import (
    Accept,
    Accepted,
    Chosen,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    Promise,
    ProposalAccepted,
    ProposalConflict,
    ProposalInvalid,
    ProposalOutcomeUnknown,
    ProposalRejected,
    ProposalRequest,
    Reject,
    ReplicaHello,
    StateReply,
    StateRequest,
)
from .state import Ballot, DurableState, FoundingMember, Value, Vote

T = TypeVar("T")
Json: TypeAlias = "str | int | list[Json] | dict[str, Json]"

MAX_LINE_BYTES = 1 << 20  # a `StateReply` contains two documents, and JSON escapes may double their size
MIN_INTEGER = -1
MAX_INTEGER = 1 << 62

# Maps the attributes of each type to their JSON keys, in the order in which they are written.
FIELD_KEYS: dict[type, dict[str, str]] = {
    Ballot: {"term": "term", "node_index": "node"},
    Value: {"version": "version", "proposal_id": "proposal", "text": "text"},
    Vote: {"ballot": "ballot", "value": "value"},
    FoundingMember: {"node": "node", "store_id": "store"},
    DurableState: {
        "store_id": "store",
        "voter": "voter",
        "founders": "founders",
        "promised": "promised",
        "accepted": "accepted",
        "chosen": "chosen",
    },
    StateRequest: {"store_id": "store"},
    StateReply: {"requester_store_id": "asked_by", "state": "state"},
    Prepare: {"ballot": "ballot"},
    Promise: {"ballot": "ballot", "accepted": "accepted"},
    Reject: {"ballot": "ballot", "promised": "promised"},
    Accept: {"ballot": "ballot", "value": "value"},
    Accepted: {"ballot": "ballot", "version": "version"},
    Heartbeat: {"ballot": "ballot"},
    HeartbeatReply: {"ballot": "ballot", "chosen_version": "chosen_version"},
    Chosen: {"value": "value"},
    ReplicaHello: {"deployment": "deployment", "node": "node"},
    ProposalRequest: {"proposal_id": "proposal", "text": "text"},
    ProposalAccepted: {"version": "version"},
    ProposalConflict: {"version": "version"},
    ProposalRejected: {"leader": "leader", "reason": "reason"},
    ProposalOutcomeUnknown: {},
    ProposalInvalid: {"errors": "faults"},
}

MESSAGE_NAMES: dict[type, str] = {
    StateRequest: "Inquiry",
    StateReply: "Standing",
    Prepare: "Prepare",
    Promise: "Promise",
    Reject: "Reject",
    Accept: "Accept",
    Accepted: "Accepted",
    Heartbeat: "Heartbeat",
    HeartbeatReply: "HeartbeatReply",
    Chosen: "Chosen",
    ReplicaHello: "ReplicaHello",
    ProposalRequest: "ProposalRequest",
    ProposalAccepted: "ProposalAccepted",
    ProposalConflict: "ProposalConflict",
    ProposalRejected: "ProposalNotTaken",
    ProposalOutcomeUnknown: "ProposalUnknown",
    ProposalInvalid: "ProposalRefused",
}
MESSAGE_TYPES = {name: record_type for record_type, name in MESSAGE_NAMES.items()}


class InvalidMessageError(Exception):
    """A line is not a valid quorum message, or a record is not valid. The server closes the connection."""


def encode(message: object) -> bytes:
    """Encode a message of one of the types in `MESSAGE_NAMES` as one line."""
    content = [MESSAGE_NAMES[type(message)], to_json(message)]
    line: bytes = orjson.dumps(content, option=orjson.OPT_APPEND_NEWLINE)
    return line


def decode(line: bytes | bytearray) -> object:
    """Decode one line, and check every field.

    Raises:
        InvalidMessageError: The line is not a valid quorum message.
    """
    try:
        name, content = orjson.loads(line)
        return _read_record(MESSAGE_TYPES[name], content)
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidMessageError(f"not a valid quorum message: {bytes(line[:80])!r}") from error


def to_json(record: object) -> dict[str, Json]:
    """Convert a record of one of the types in `FIELD_KEYS` to a JSON object."""
    keys = FIELD_KEYS[type(record)]
    return {key: _attribute_to_json(getattr(record, attribute)) for attribute, key in keys.items()}


def _attribute_to_json(value: object) -> Json:
    if type(value) in FIELD_KEYS:
        return to_json(value)
    if isinstance(value, tuple):
        return [_attribute_to_json(item) for item in value]
    if isinstance(value, str | int):
        return value
    raise TypeError(f"can't encode {type(value).__name__}: expected a record, tuple, string or integer")


def from_json(record_type: type[T], content: object) -> T:
    """Convert decoded JSON to a record of one of the types in `FIELD_KEYS`.

    Raises:
        InvalidMessageError: The content is not a valid record of this type.
    """
    try:
        record = _read_record(record_type, content)
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidMessageError(f"not a valid {record_type.__name__}") from error
    if not isinstance(record, record_type):
        raise InvalidMessageError(f"not a valid {record_type.__name__}")
    return record


@cache
def _attribute_types(record_type: type) -> dict[str, object]:
    hints = get_type_hints(record_type)
    return {attribute: hints[attribute] for attribute in FIELD_KEYS[record_type]}


def _read_record(record_type: type, content: object) -> object:
    """Check a JSON object against a type in `FIELD_KEYS`, and convert it. Raises ValueError if invalid."""
    keys = FIELD_KEYS[record_type]
    if not isinstance(content, dict) or content.keys() != set(keys.values()):
        raise ValueError("not an object with exactly the expected keys")
    types = _attribute_types(record_type)
    record: object = record_type(
        **{attribute: _read_attribute(types[attribute], content[key]) for attribute, key in keys.items()}
    )
    return record


def _read_attribute(annotation: object, content: object) -> object:
    """Check decoded JSON against a type annotation, and convert it. Raises ValueError if it is invalid."""
    if isinstance(annotation, type) and annotation in FIELD_KEYS:
        return _read_record(annotation, content)
    if get_origin(annotation) is tuple:
        if not isinstance(content, list):
            raise ValueError("not a list")
        item_type = get_args(annotation)[0]
        return tuple(_read_attribute(item_type, item) for item in content)
    if type(content) is not annotation:
        raise ValueError("not of the annotated type")
    if type(content) is int and not MIN_INTEGER <= content <= MAX_INTEGER:
        raise ValueError("integer out of range")
    return content
