"""Measured points: a setting and its results; no I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Setting:
    """The quantities that the sweeps vary; `directory` is entries of each front's directory."""

    fronts: int
    purges_per_s: float
    directory: int
    caches: int


@dataclass(slots=True)
class Point:
    """A setting and its results; `benchmarks/measurements/README.md` describes the fields and units."""

    sweep: str
    mode: str
    fronts: int
    purges_per_s: float
    directory: int
    caches: int
    seconds: float
    purges: int
    purge_everywhere_s_p50: float | None
    purge_everywhere_s_p99: float | None
    purge_everywhere_s_worst: float | None
    front_cpu: float = 0.0
    front_memory_bytes: float = 0.0
    front_bytes_in_per_s: float = 0.0
    front_bytes_out_per_s: float = 0.0
    front_bytes_per_s_worst: float = 0.0
    server_cpu: float = 0.0
    server_bytes_out_per_s: float = 0.0
    server_memory_bytes: int = 0
    host_late_s_worst: float = 0.0
    missed_purges: int = 0
    stale: int = 0
