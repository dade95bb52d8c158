"""Reads the FILE argument of the `marbleglade control` commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .invalid_input import exit_invalid

if TYPE_CHECKING:
    from ..control.settings import ControlSettings


def read_settings(file: str) -> ControlSettings:
    """Read the control plane settings in FILE. An invalid file ends the command with exit code 2."""
    from ..control.settings import InvalidSettingsError, read

    try:
        return read(file)
    except InvalidSettingsError as error:
        exit_invalid(error.errors)
