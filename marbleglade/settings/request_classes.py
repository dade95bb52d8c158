"""Reads the request classes from the settings."""

from __future__ import annotations

import re

from ..model.request import DeduplicationScope, Idempotency, RequestClass
from ..runtime.units import MILLISECOND_NS
from .reader import InvalidSettingError, SettingsReader, item_or
from .vocabulary import IDEMPOTENCY_BY_SETTING, SCOPE_BY_SETTING

MIN_TIME_MS = 1  # minimum of a latency objective and of a client timeout
CLASS_NAME = re.compile(r"[^\s,=]{1,128}")  # without the separators of field lists on the wire


def read_request_classes(settings: SettingsReader, deployment: SettingsReader) -> dict[str, RequestClass]:
    """Return the request classes by name, in the order of the settings.

    Args:
        settings: The top level of the settings, which contains `Classes`.
        deployment: The section `Specifics`, which has one list per caching rule, with one item per class.

    Raises:
        InvalidSettingError: A class is invalid, or there is none.
    """
    freshness_ms = deployment.numbers("MaxAge")
    grace_ms = deployment.numbers("GraceFor")
    uncacheable = deployment.require("NeverKept", list)
    classes: dict[str, RequestClass] = {}
    for index, value in enumerate(settings.require("Classes", list)):
        reader = SettingsReader(value, f"Classes[{index}].")
        idempotency, scope = _read_idempotency(reader)
        name = _read_name(reader, index, classes)
        classes[name] = RequestClass(
            latency_objective=reader.time("Aim", MIN_TIME_MS),
            objective_stretch=reader.optional_number("AimStretch"),
            client_timeout=reader.time("Deadline", MIN_TIME_MS),
            idempotency=idempotency,
            deduplication_scope=scope,
            deduplication_window=reader.optional_time("KeyTtl"),
            freshness_lifetime=round(item_or(freshness_ms, index, 0) * MILLISECOND_NS),
            stale_grace=round(item_or(grace_ms, index, 0) * MILLISECOND_NS),
            uncacheable=bool(item_or(uncacheable, index, False)),
            priority_weight=float(reader.optional_number("Gain") or 1.0),
        )
        _check_window(reader, classes[name])
    if not classes:
        raise InvalidSettingError("setting Classes must have at least one class")
    return classes


def _read_idempotency(reader: SettingsReader) -> tuple[Idempotency, DeduplicationScope]:
    repeat = reader.require("Repeat", str)
    if repeat not in IDEMPOTENCY_BY_SETTING:
        raise InvalidSettingError(f"setting {reader.path}Repeat has an unknown value: {repeat!r:.40}")
    scope = reader.value.get("Group", "all")
    if not isinstance(scope, str) or scope not in SCOPE_BY_SETTING:
        raise InvalidSettingError(f"setting {reader.path}Group has an unknown value: {scope!r:.40}")
    return IDEMPOTENCY_BY_SETTING[repeat], SCOPE_BY_SETTING[scope]


def _read_name(reader: SettingsReader, index: int, earlier: dict[str, RequestClass]) -> str:
    name = str(reader.value.get("Name", index))
    if not CLASS_NAME.fullmatch(name) or name in earlier:
        raise InvalidSettingError(f"setting {reader.path}Name is malformed, or used twice: {name!r:.140}")
    return name


def _check_window(reader: SettingsReader, request_class: RequestClass) -> None:
    """Raise `InvalidSettingError` if repeats are recognized by key, but no time is set for that."""
    by_key = request_class.idempotency is Idempotency.IDEMPOTENT_BY_KEY
    if by_key and not request_class.deduplication_window:
        raise InvalidSettingError(f"setting {reader.path}KeyTtl must be a positive time if Repeat is guarded")
