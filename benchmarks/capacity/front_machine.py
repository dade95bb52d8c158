"""What front machines and caches need at the operators' peak load, by the size of an object's parts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from . import operators
from .records import CapacityRecord
from .totals import Term, total

TARGET_UTILIZATION = 0.6  # planned share of a core and of a link at the peak
LINK_SIZES = (1, 10, 25, 40, 100)  # Gbit/s


@dataclass(frozen=True, slots=True)
class MachineNeed:
    """The load of one front machine at the peak, and the cores and link that it needs.

    Attributes:
        part_bytes: Size of one part.
        parts: Mean number of parts of a request.
        requests_per_s: Requests for parts per second at one front machine.
        bytes_per_s: Bytes sent to clients per second; without own copies as many are received from caches.
        cores: Cores needed at full utilization, by the measured processor time of a request.
        processes: Processes needed at the planned utilization of a core.
        link: Gbit/s of the smallest usual link that carries the load each way at the planned utilization.
    """

    part_bytes: int
    parts: float
    requests_per_s: float
    bytes_per_s: float
    cores: float
    processes: int
    link: int


def machine_need(recorded: CapacityRecord, part_bytes: int, fronts: int = operators.FRONTS) -> MachineNeed:
    """Return the needs of a front machine if objects are split into parts of this size."""
    bytes_per_s = operators.PEAK_BITS_PER_S / 8 / fronts
    parts = operators.PEAK_BITS_PER_S / 8 / operators.PEAK_REQUESTS_PER_S / part_bytes
    requests_per_s = operators.PEAK_REQUESTS_PER_S / fronts * parts
    cores = requests_per_s * recorded.value("request", object_bytes=part_bytes)
    gigabits = bytes_per_s * 8 / 1e9 / TARGET_UTILIZATION
    link = next(size for size in LINK_SIZES if size >= gigabits)
    return MachineNeed(
        part_bytes, parts, requests_per_s, bytes_per_s, cores, math.ceil(cores / TARGET_UTILIZATION), link
    )


@dataclass(frozen=True, slots=True)
class CacheLoad:
    """The load of all fronts on one cache at the peak, spread evenly, if no front has copies of its own.

    Attributes:
        requests_per_s: Requests for the largest parts per second, including the measured attempts of each.
        bytes_per_s: Bytes sent to fronts per second.
        connections: Open connections from all fronts, each of which has many busy clients.
    """

    requests_per_s: float
    bytes_per_s: float
    connections: float


def cache_load(recorded: CapacityRecord, fronts: int) -> CacheLoad:
    """Return the load on one cache with this many fronts."""
    bytes_per_s = operators.PEAK_BITS_PER_S / 8 / operators.CACHES
    attempts = recorded.value("attempts", object_bytes=operators.LARGEST_PART_BYTES)
    connections = total(recorded, [Term("cache connections", per_front=True)], fronts)
    return CacheLoad(bytes_per_s / operators.LARGEST_PART_BYTES * attempts, bytes_per_s, connections)
