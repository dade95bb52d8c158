"""Errors that end a program with a message on standard error."""

from __future__ import annotations


class InvalidConfigurationError(Exception):
    """Raised for a configuration that is missing, unreadable or invalid; the message states the cause."""


class UnreadableConfigurationError(InvalidConfigurationError):
    """Raised for a configuration file that can't be read or is incomplete; a later attempt may succeed."""
