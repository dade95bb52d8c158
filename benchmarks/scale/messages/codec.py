"""Encodes messages between the scale run and its workers as lines: [message type, object of fields]."""

from __future__ import annotations

from dataclasses import astuple, fields
from typing import Any

import orjson

from . import common, discovery, fronts, real_fronts, status

MESSAGE_TYPES: dict[str, type] = {
    name: kind
    for module in (common, discovery, fronts, real_fronts, status)
    for name, kind in vars(module).items()
    if isinstance(kind, type) and kind.__module__ == module.__name__
}
RECORD_FIELDS: dict[str, dict[str, type]] = {
    fronts.HostReport.__name__: {
        "applied": fronts.AppliedPurge,
        "traffic": fronts.FrontTraffic,
        "fronts": fronts.FrontState,
        "cached_versions": fronts.CachedVersion,
    },
    status.StatusReport.__name__: {"confirmed": status.ConfirmedPurge},
}  # fields that hold many records; each record is sent as a list of its values


def encode(message: Any) -> bytes:
    """Return a message as a line."""
    kind = type(message).__name__
    records = RECORD_FIELDS.get(kind, {})
    content = {
        name: list(map(astuple, value)) if name in records else value
        for name, value in ((field.name, getattr(message, field.name)) for field in fields(message))
    }
    line: bytes = orjson.dumps([kind, content]) + b"\n"
    return line


def decode(line: bytes) -> object:
    """Return the message that a line contains.

    Raises:
        ValueError: The line is not JSON.
        KeyError: The message type is unknown.
    """
    kind, content = orjson.loads(line)
    for name, record in RECORD_FIELDS.get(kind, {}).items():
        content[name] = [record(*values) for values in content[name]]
    message: object = MESSAGE_TYPES[kind](**content)
    return message
