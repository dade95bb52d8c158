"""Processor time per request: of a front that forwards nothing, and of both gateways of a forwarded request.

The targets are measured one after the other.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass

import gevent

from benchmarks.processes import ProgramProcess, now
from marbleglade.testing.object_store import VIDEO_BITS

from .world import World

WORKERS = 4
OBJECT_SIZES = 24  # number of different object sizes, requested in turn
TIMEOUT_MS = 2500


class RequestFailedError(Exception):
    """A request was not served although no fault was active."""


@dataclass(frozen=True, slots=True)
class RequestCost:
    """Processor time of one request in ms, without the idle use of the processes.

    Attributes:
        plain_ms: Processor time of a front that forwards nothing.
        sender_ms: Processor time of the gateway that forwards the request.
        receiver_ms: Processor time of both gateways in the region that serves the request.
        idle_share: Largest share of a core that one of the processes uses when idle.
        added_latency_ms: Median latency of a forwarded request minus that of a plain one.
    """

    plain_ms: float
    sender_ms: float
    receiver_ms: float
    idle_share: float
    added_latency_ms: float


class CostMeasurement:
    """Sends each target requests for objects that are not cached yet, in the same sizes."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._request_count = 0

    def run(self, count: int) -> RequestCost:
        """Measure with `count` requests to each target, after a warm-up with half as many."""
        processes = self._world.processes
        measured = [processes[name] for name in ("plain", "east-1", *self._world.west.gateways)]
        before = [process.processor_time() for process in measured]
        gevent.sleep(1.0)
        idle = [process.processor_time() - earlier for process, earlier in zip(measured, before, strict=True)]
        self._send("plain", False, count // 2)
        self._send("east-1", True, count // 2)
        plain_latencies, plain = self._measure_cost("plain", False, count, measured[:1], idle[:1])
        latencies, (sender, *receivers) = self._measure_cost("east-1", True, count, measured[1:], idle[1:])
        added = statistics.median(latencies) - statistics.median(plain_latencies)
        return RequestCost(plain[0], sender, sum(receivers), max(idle), added * 1000)

    def _measure_cost(
        self, target: str, is_west: bool, count: int, measured: list[ProgramProcess], idle: list[float]
    ) -> tuple[list[float], list[float]]:
        """Return the latencies of the requests in seconds, and the cost of one in ms for each process."""
        before, began = [process.processor_time() for process in measured], now()
        latencies = self._send(target, is_west, count)
        span = now() - began
        costs = [
            (process.processor_time() - earlier - share * span) / count * 1000
            for process, earlier, share in zip(measured, before, idle, strict=True)
        ]
        return latencies, costs

    def _send(self, target: str, is_west: bool, count: int) -> list[float]:
        """Send requests for new objects, `WORKERS` at a time; return their latencies in seconds."""
        latencies: list[float] = []
        client = self._world.pools[target].next_client()
        if client is None:
            raise RequestFailedError(f"could not connect to {target}")
        remaining = list(range(count))

        def send_remaining() -> None:
            while remaining:
                object_id = self._next_object(is_west, remaining.pop() % OBJECT_SIZES)
                class_name = "dish-media" if object_id & VIDEO_BITS else "menu-pages"
                began = now()
                response = client.request(class_name, object_id, 0, 0, TIMEOUT_MS)
                if not response or response.status != "ok":
                    raise RequestFailedError(
                        f"{target}, object {object_id:016x}: expected ok, got {response}"
                    )
                latencies.append(now() - began)

        gevent.joinall([gevent.spawn(send_remaining) for _ in range(WORKERS)])
        return latencies

    def _next_object(self, is_west: bool, size: int) -> int:
        self._request_count += 1
        low_bits = VIDEO_BITS if size % 8 == 2 else 0
        return (0xF if is_west else 0) << 60 | self._request_count << 36 | size * 2600 << 16 | low_bits
