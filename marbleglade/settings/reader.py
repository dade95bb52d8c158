"""Validated access to the JSON settings: values are checked for type, and numbers for range, when read."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any, TypeVar

from ..runtime.units import MILLISECOND_NS

MAX_NUMBER = 1e11  # greater than any time (it is three years in ms), count or rate of a deployment

JsonObject = dict[str, Any]  # as decoded; the values are validated when they are read
ItemT = TypeVar("ItemT")


class InvalidSettingError(ValueError):
    """A required setting is missing, or a setting has the wrong type or is out of range."""


class SettingsReader:
    """Reads the values of one object in the settings; unknown keys are ignored.

    The methods raise an `InvalidSettingError` that names the setting.

    Args:
        value: The object, as decoded from JSON.
        path: Prefix of the keys in error messages, such as `Limits.`; empty for the top level.
    """

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise InvalidSettingError(
                f"setting {path or 'Options'} is missing or not an object: {value!r:.40}"
            )
        self.value: JsonObject = value
        self.path = path

    def has(self, key: str) -> bool:
        """Return whether the key is present and not null."""
        return self.value.get(key) is not None

    def require(self, key: str, kind: type | tuple[type, ...]) -> Any:
        """Return a required value, which must have one of the given types."""
        if not isinstance(self.value.get(key), kind):
            raise InvalidSettingError(
                f"setting {self.path}{key} is missing or has the wrong type: {self.value.get(key)!r:.40}"
            )
        return self.value[key]

    def number(self, key: str, minimum: float = 0) -> float:
        """Return a required number within its range; one out of range could make a front fail much later."""
        value = self.value.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidSettingError(f"setting {self.path}{key} is missing or not a number: {value!r:.40}")
        if not math.isfinite(value) or not minimum <= value <= MAX_NUMBER:
            raise InvalidSettingError(
                f"setting {self.path}{key} must be from {minimum:g} to {MAX_NUMBER:g}, not {value!r:.40}"
            )
        return value

    def optional_number(self, key: str, default: float = 0, minimum: float = 0) -> float:
        """Return a number, or the default if the key is absent or null; the default is not checked."""
        return self.number(key, minimum) if self.has(key) else default

    def integer(self, key: str, minimum: int = 0) -> int:
        """Return a required whole number; a float without a fraction is accepted."""
        value = self.number(key, minimum)
        if type(value) is not int and value != int(value):
            raise InvalidSettingError(f"setting {self.path}{key} must be a whole number, not {value!r:.40}")
        return int(value)

    def optional_integer(self, key: str, default: int = 0, minimum: int = 0) -> int:
        """Return a whole number, or the default if the key is absent or null; the default is not checked."""
        return self.integer(key, minimum) if self.has(key) else default

    def numbers(self, key: str, required: bool = True) -> list[float]:
        """Return a list of numbers, null items as 0; empty if not required and the key is absent or null."""
        values = self.require(key, list) if required or self.has(key) else []
        return [SettingsReader({key: value}, self.path).optional_number(key) for value in values]

    def names(self, key: str) -> list[str]:
        """Return a list of strings; empty if the key is absent or null."""
        values: list[Any] = self.require(key, list) if self.has(key) else []
        if not all(isinstance(value, str) for value in values):
            raise InvalidSettingError(f"setting {self.path}{key} must contain only strings")
        return values

    def time(self, key: str, minimum_ms: float = 0) -> int:
        """Return a required time in ns; the setting is in ms."""
        return round(self.number(key, minimum_ms) * MILLISECOND_NS)

    def optional_time(self, key: str) -> int:
        """Return a time in ns, 0 if the key is absent or null; the setting is in ms."""
        return self.time(key) if self.has(key) else 0

    def section(self, key: str) -> SettingsReader:
        """Return a reader of the required nested object."""
        return SettingsReader(self.value.get(key), f"{self.path}{key}.")


def item_or(values: Sequence[ItemT], index: int, default: ItemT) -> ItemT:
    """Return the item at an index, or the default if the list is too short."""
    return values[index] if index < len(values) else default
