"""Reads what a front settles with its fleet: protobuf text format, checked as a whole."""

from __future__ import annotations

from dataclasses import dataclass

from ..life.assignment import Unfit
from ..textproto import parsed
from .fleet_pb2 import FleetPart

BEAT_MS = 1000
BOUNDS = {"beat_ms": (100, 10_000)}
LONGEST = 1 << 16       # bytes of a file


@dataclass(slots=True)
class Told:
    beat_ms: int


def read(path: str) -> Told:
    """The file at `path`, with its defaults. Raises `Unfit`."""
    try:
        told = parsed(path, FleetPart(), LONGEST)
    except ValueError as trouble:
        raise Unfit(" ".join(str(trouble).split())) from trouble
    beat_ms = told.beat_ms if told.HasField("beat_ms") else BEAT_MS
    least, most = BOUNDS["beat_ms"]
    if not least <= beat_ms <= most:
        raise Unfit(f"{path}: beat_ms is {beat_ms}, not {least} to {most}")
    return Told(beat_ms)
