"""Cost of a forwarded request while 10 to 10,000 others are open: time and memory should stay constant.

There is one gateway in each region, and one cache that holds back its responses to one request class. Figures
come from stand-ins on loopback.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
from typing import Any

import gevent
from gevent.event import Event

from benchmarks.processes import ProgramProcess, new_folder
from marbleglade.testing.cache_client import CacheClient
from marbleglade.testing.object_store import hashed_fraction
from marbleglade.testing.regions import StandInRegions

DEPLOYMENT = """
profiles { name: "waits" agreed_ms: 100000 client_timeout_ms: 200000 }
limits { memory: 1000000000 }
rules { cold_ms: 0 }
link { beat_ms: 100 silent_ms: 4000 book_carries: 65536 }
"""
WAITING_CLASS, WAITING_TIMEOUT_MS = "waits", 150_000
RELEASE_SPREAD_S = 8.0  # spreads the held responses so that this process does not stall
REQUESTS_PER_CONNECTION = 250  # open requests on one connection
BATCH, WARM_UP_BATCH, WORKERS = 1000, 2000, 8
SIZES, QUICK_SIZES = [10, 100, 1000, 10_000], [10, 100, 1000]
COLUMNS = ("open", "still_open", "answered", "near_ms", "far_ms", "near_bytes", "far_bytes")


class OpenRequestsBenchmark:
    """Two gateways, a cache that holds responses back, and the requests that wait for them."""

    def __init__(self, seed: int) -> None:
        self._seed, self._folder, self._request_count = seed, new_folder(), 0
        self._regions = StandInRegions(DEPLOYMENT, cache_count=1, gateway_count=1)
        self._release = Event()
        cache = self._regions.west.caches[0]
        cache.response_gates[WAITING_CLASS] = self._release
        cache.gate_spread_seconds = RELEASE_SPREAD_S
        path = self._folder / "two.textproto"
        path.write_text(self._deployment_without_proxies())
        self._gateways = [
            ProgramProcess(name, ["gateway", "--deployment", str(path), "--name", name], self._folder)
            for name in ("east-1", "west-1")
        ]
        self._address = ("127.0.0.1", self._regions.east.ports["east-1"][1])
        self._clients: list[CacheClient] = []
        self._waiting_requests: list[gevent.Greenlet] = []

    def _deployment_without_proxies(self) -> str:
        lines = self._regions.deployment_text().splitlines()
        return "\n".join(
            line.partition("reached_at")[0] + "}" if "reached_at" in line else line for line in lines
        )

    def _next_object(self) -> str:
        self._request_count += 1
        size_bits = int(hashed_fraction(self._seed, self._request_count) * 0xFF)
        return f"{0xF << 60 | self._request_count << 24 | size_bits << 16:016x}"

    def _request(self, client: CacheClient, timeout_ms: int) -> bool:
        response = client.request("menu-pages", self._next_object(), 0, timeout_ms)
        return response is not None and response.status == "HIT"

    def _wait_until_ready(self) -> None:
        with gevent.Timeout(20):
            while True:
                client = CacheClient(self._address)
                served = self._request(client, 400)
                client.close()
                if served:
                    return
                gevent.sleep(0.1)

    def _send_batch(self, count: int) -> int:
        """Send requests, `WORKERS` at a time; return the number that were served."""
        client, remaining, served = CacheClient(self._address), list(range(count)), []

        def send_remaining() -> None:
            while remaining:
                remaining.pop()
                served.append(self._request(client, 2000))

        gevent.joinall([gevent.spawn(send_remaining) for _ in range(WORKERS)])
        client.close()
        return sum(served)

    def _open_requests(self, count: int) -> None:
        """Send requests whose responses are held back until `count` are open."""
        while len(self._waiting_requests) < count:
            if len(self._waiting_requests) % REQUESTS_PER_CONNECTION == 0:
                self._clients.append(CacheClient(self._address))
            request = self._clients[-1].request
            self._waiting_requests.append(
                gevent.spawn(request, WAITING_CLASS, self._next_object(), 0, WAITING_TIMEOUT_MS)
            )
            if len(self._waiting_requests) % 50 == 0:
                gevent.sleep(0.03)
        gevent.sleep(0.5)

    def _measure(self, count: int) -> dict[str, float]:
        """Measure with `count` open requests; return a row of the table."""
        memory_before = [gateway.memory() for gateway in self._gateways]
        opened = max(1, count - len(self._waiting_requests))
        self._open_requests(count)
        memory = [one.memory() - earlier for one, earlier in zip(self._gateways, memory_before, strict=True)]
        time_before = [gateway.processor_time() for gateway in self._gateways]
        answered = self._send_batch(BATCH)
        cost_ms = [
            (gateway.processor_time() - earlier) / BATCH * 1000
            for gateway, earlier in zip(self._gateways, time_before, strict=True)
        ]
        return {
            "open": count,
            "still_open": sum(not request.ready() for request in self._waiting_requests),
            "answered": answered,
            "near_ms": round(cost_ms[0], 4),
            "far_ms": round(cost_ms[1], 4),
            "near_bytes": memory[0] // opened,
            "far_bytes": memory[1] // opened,
        }

    def run(self, sizes: list[int]) -> dict[str, Any]:
        """Measure with each number of open requests; print the table and return the figures."""
        self._wait_until_ready()
        served = 0
        while served < max(sizes) * 11 // 10:  # a region's request limit grows only with its responses
            served += self._send_batch(WARM_UP_BATCH)
        rows = [self._measure(count) for count in sizes]
        self._release.set()
        gevent.joinall(self._waiting_requests, timeout=20)
        answered = sum(one.value is not None and one.value.status == "HIT" for one in self._waiting_requests)
        print(f"seed {self._seed}; figures from stand-ins on loopback\n")
        print("".join(f"{name:>12}" for name in COLUMNS))
        for row in rows:
            print("".join(f"{row[name]:12}" for name in COLUMNS))
        costs = [row["near_ms"] + row["far_ms"] for row in rows]
        figures = {
            "seed": self._seed,
            "rows": rows,
            "held_answered": answered,
            "held": len(self._waiting_requests),
            "cost_growth": round(costs[-1] / costs[0], 3),
        }
        print(
            f"\nprocessor time of a request at {rows[-1]['open']} open against {rows[0]['open']}: "
            f"{figures['cost_growth']}"
        )
        return figures

    def close(self) -> None:
        """End the gateways, and close all connections and stand-ins."""
        for gateway in self._gateways:
            gateway.kill()
        for client in self._clients:
            client.close()
        self._regions.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def main() -> int:
    """Run the benchmark from the command line; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.open_forwarded_requests", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="at most 1,000 open requests")
    arguments = parser.parse_args()
    benchmark = OpenRequestsBenchmark(arguments.seed)
    try:
        figures = benchmark.run(QUICK_SIZES if arguments.quick else SIZES)
    finally:
        benchmark.close()
    print(json.dumps(figures))
    is_broken = figures["held_answered"] < figures["held"] or any(
        row["answered"] < BATCH for row in figures["rows"]
    )
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
