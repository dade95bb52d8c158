"""What a front machine needs for the operators' peak, by how large the parts of an object are."""

from __future__ import annotations

import math
from dataclasses import dataclass

from . import operators
from .records import Measurement
from .totals import Term, total

USE = 0.6  # share of a core, and of a link, that is meant to be used at the peak
LINK_SIZES = (1, 10, 25, 40, 100)  # Gbit/s


@dataclass(frozen=True, slots=True)
class MachineNeed:
    """One front machine's load at the peak, and what carries it.

    Attributes:
        part_bytes: Bytes of one part.
        parts: Parts of one request, as a mean.
        requests_per_s: Requests of parts a second at one front machine.
        bytes_per_s: Sent to clients, and as many received from caches where no own copy serves.
        cores: Kept wholly busy, by the measured processor time of a request.
        processes: At the meant use of a core.
        link: Gbit/s of the smallest usual link that carries it each way at the meant use.
    """

    part_bytes: int
    parts: float
    requests_per_s: float
    bytes_per_s: float
    cores: float
    processes: int
    link: int


def need(recorded: Measurement, part_bytes: int, fronts: int = operators.FRONTS) -> MachineNeed:
    """The need where requests are split into parts of that size."""
    bytes_per_s = operators.BITS_PER_S / 8 / fronts
    parts = operators.BITS_PER_S / 8 / operators.REQUESTS_PER_S / part_bytes
    requests_per_s = operators.REQUESTS_PER_S / fronts * parts
    cores = requests_per_s * recorded.value("request", object_bytes=part_bytes)
    gigabits = bytes_per_s * 8 / 1e9 / USE
    link = next(size for size in LINK_SIZES if size >= gigabits)
    return MachineNeed(part_bytes, parts, requests_per_s, bytes_per_s, cores, math.ceil(cores / USE), link)


@dataclass(frozen=True, slots=True)
class CacheLoad:
    """What fronts ask of one cache at the peak, spread evenly, where no front has copies of its own.

    Attributes:
        requests_per_s: Requests of the largest parts a second, with the attempts measured for each.
        bytes_per_s: Sent to fronts.
        connections: Open from all fronts, where each has many clients busy.
    """

    requests_per_s: float
    bytes_per_s: float
    connections: float


def cache_load(recorded: Measurement, fronts: int) -> CacheLoad:
    """The load on one cache with so many fronts."""
    bytes_per_s = operators.BITS_PER_S / 8 / operators.CACHES
    attempts = recorded.value("attempts", object_bytes=operators.LARGEST_PART)
    connections = total(recorded, [Term("cache connections", each_front=True)], fronts)
    return CacheLoad(bytes_per_s / operators.LARGEST_PART * attempts, bytes_per_s, connections)
