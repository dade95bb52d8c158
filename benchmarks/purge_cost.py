"""Cost of one purge for a front, by the size of its directory, local cache, open requests and purge history.

Runs in one process without sockets. Each figure is the least mean of several rounds. The purged objects are
absent, so that nothing shrinks during the measurement. Run it as `python -O -m benchmarks.purge_cost`; its
last line is one JSON object with microseconds by size.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable

from benchmarks.no_upstreams import NoUpstreams
from benchmarks.simulated_fleet.parameters import fleet_parameters
from marbleglade.model.parameters import Parameters
from marbleglade.model.request import CachedResponse, Request
from marbleglade.model.upstream import Upstream
from marbleglade.model.watch_event import Purge
from marbleglade.policy.policy import Policy
from marbleglade.policy_driver import PolicyDriver
from marbleglade.request_handler import HandlerComponents, RequestHandler
from marbleglade.runtime import clock
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.settings.environment import read_environment
from marbleglade.state.local_cache import CachedObject, LocalCache
from marbleglade.state.purge_history import UNKNOWN_GROUP, PurgeHistory
from marbleglade.state.upstream_registry import UpstreamRegistry
from marbleglade.testing.front_settings import front_settings

GROUPS = 250  # number of groups; objects are spread evenly over them
ABSENT = 1 << 40  # no object with this or a higher id is in the front
ABSENT_GROUP = 100_000
SECOND = 1_000_000_000
ROUNDS = 5
DIRECTORY_SIZES = (256, 1024, 4096, 8192)
CACHED_COUNTS = (100, 1000, 5000, 20_000)
OPEN_REQUEST_COUNTS = (0, 100, 500, 2000)
PURGE_COUNTS = (10, 1000, 10_000, 40_000)
FULL_SIZES = (8192, 20_000, 2000)  # directory entries, cached objects, open requests of a front in full use


class PurgedFront:
    """The parts of a front that handle purges.

    Args:
        directory_entries: Number of objects in the directory.
        cached_objects: Number of objects in the local cache.
        open_requests: Number of open requests, each with a cached response.
    """

    def __init__(self, directory_entries: int, cached_objects: int, open_requests: int) -> None:
        counters = Counters()
        self.driver = PolicyDriver(
            fleet_parameters(1, 1), self._create_policy, clock.now, 0, counters, lambda _action: None
        )
        self.local_cache = LocalCache(max(cached_objects, 1))
        self.handler = RequestHandler(
            HandlerComponents(
                driver=self.driver,
                upstream_client=NoUpstreams(),
                upstreams=UpstreamRegistry(read_environment(front_settings(1), 1, 1.0), clock.from_unix_ms),
                purge_history=PurgeHistory(12 * SECOND),
                local_cache=self.local_cache,
                bytes_per_second=1,
                guard=ErrorGuard(counters, Log("front", counters)),
            )
        )
        self.now = clock.now()
        self._fill_directory(directory_entries)
        for object_id in range(1, cached_objects + 1):
            self.local_cache.put(object_id, 0, CachedObject(b"x", "", self.now, object_id % GROUPS), 0)
        for object_id in range(1, open_requests + 1):
            self.driver.open_requests.add(self._new_request(object_id, CachedResponse(1, self.now)))

    def _create_policy(self, parameters: Parameters, host: PolicyDriver) -> Policy:
        self.policy = Policy(parameters, host)
        return self.policy

    def purge(self, object_id: int, group: int) -> None:
        """Apply a purge event of the discovery service."""
        self.handler.events.apply(Purge(1, object_id, group, clock.to_unix_ms(self.now)))

    def _fill_directory(self, entries: int) -> None:
        cache = Upstream(b"c")
        for object_id in range(1, entries + 1):
            self.policy.directory.add(object_id, 0, object_id % GROUPS, cache, self.now)

    def _new_request(self, object_id: int, cached: CachedResponse | None) -> Request:
        request_class = self.policy.parameters.request_classes[0]
        return Request(
            request_class, object_id, 0, object_id % GROUPS, 0.0, self.now, self.now, cached=cached
        )


def microseconds(call: Callable[[int], object], calls: int) -> float:
    """Return the least mean time of one call (us) over the rounds; `call` gets the number of the call."""
    best = float("inf")
    for round_number in range(ROUNDS):
        began = time.perf_counter_ns()
        for number in range(calls):
            call(round_number * calls + number)
        best = min(best, (time.perf_counter_ns() - began) / calls / 1000)
    return round(best, 2)


def purge_full_front(
    directory_entries: int, cached_objects: int, open_requests: int, group: bool, calls: int
) -> float:
    """Return the time (us) of one purge of an object or, if `group`, of a group by all parts of a front."""
    front = PurgedFront(directory_entries, cached_objects, open_requests)
    if group:
        return microseconds(lambda number: front.purge(0, ABSENT_GROUP + number % 8), calls)
    return microseconds(lambda number: front.purge(ABSENT + number % 8, 0), calls)


def look_up_unknown_group(recent_purges: int, calls: int) -> float:
    """Return the time (us) to look up the latest purge that may concern an object of unknown group."""
    purges = PurgeHistory(recent_purges)
    for number in range(recent_purges * 2):
        purges.add(number + 1, 0, number, number)
    return microseconds(lambda _number: purges.latest(ABSENT, UNKNOWN_GROUP), calls)


def record_purge(recent_purges: int, calls: int) -> float:
    """Return the time (us) to record a purge while `recent_purges` are retained and one expires each time."""
    purges, moment = PurgeHistory(recent_purges), recent_purges * 2
    for number in range(recent_purges * 2):
        purges.add(number + 1, 0, number, number)

    def add(number: int) -> None:
        purges.add(ABSENT + number, 0, moment + number, moment + number)

    return microseconds(add, calls)


def measure(calls: int) -> dict[str, dict[str, float]]:
    """Return all figures (us) by name and by size of the part that grows."""
    results: dict[str, dict[str, float]] = {}
    for kind, group in (("object", False), ("group", True)):
        results[f"{kind}_by_directory"] = {
            str(n): purge_full_front(n, 0, 0, group, calls) for n in DIRECTORY_SIZES
        }
        results[f"{kind}_by_copies"] = {
            str(n): purge_full_front(0, n, 0, group, calls) for n in CACHED_COUNTS
        }
        results[f"{kind}_by_open"] = {
            str(n): purge_full_front(0, 0, n, group, calls) for n in OPEN_REQUEST_COUNTS
        }
        results[f"{kind}_in_full_use"] = {"1": purge_full_front(*FULL_SIZES, group, calls)}
    results["told_by_told"] = {str(n): record_purge(n, calls) for n in PURGE_COUNTS}
    results["unknown_group_by_told"] = {str(n): look_up_unknown_group(n, calls) for n in PURGE_COUNTS}
    return results


def main() -> None:
    """Run the benchmark from the command line: print a table, then one JSON object."""
    parser = argparse.ArgumentParser(description="Cost of one purge for a front, in microseconds.")
    parser.add_argument("--calls", type=int, default=200, help="purges per round (default 200)")
    results = measure(max(1, parser.parse_args().calls))
    for name, figures in results.items():
        print(f"{name:24}", "  ".join(f"{size}: {cost} us" for size, cost in figures.items()))
    print(json.dumps(results))


if __name__ == "__main__":
    main()
