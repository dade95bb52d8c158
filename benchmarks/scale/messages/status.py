"""Reports of the worker that polls the control plane's status."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ConfirmedPurge:
    """A purge that the status showed as applied everywhere; `duration_ms` is -1 if not known."""

    object: int
    group: int
    unix_ms: int
    confirmed_us: int
    duration_ms: int


@dataclass(slots=True)
class StatusReport:
    """Purges confirmed since the last report, and the latest status of the control plane."""

    confirmed: list[ConfirmedPurge]
    connected: int
    absent: int
    version: int
    refused: list[str]
