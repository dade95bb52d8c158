"""The capacity page: its tables stand between marks and are written from the recorded files alone."""

from __future__ import annotations


def write() -> None:
    raise NotImplementedError
