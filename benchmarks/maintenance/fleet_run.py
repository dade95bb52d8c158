"""Maintenance of real fronts and of their caches under load and faults."""

from __future__ import annotations

import shutil
import statistics
import time
from collections import Counter
from collections.abc import Callable

import gevent

from benchmarks.fleet_load import FleetLoad, broken_rules, send_order
from benchmarks.processes import new_folder
from marbleglade.testing.capacity_model import WarmUpLimit
from marbleglade.testing.front_fleet import FrontFleet
from marbleglade.testing.object_store import hashed_fraction

from .workers import MaintenanceWorkers, plan_text

OBJECTS, RATE = 200, 8.0
WARM_UP = WarmUpLimit(0.2, 2.0, 3.0, 0.5, 120.0)
FRONTS, CACHES, MAX_FRONTS_OUT = 9, 3, 3
MAX_OUT = MAX_FRONTS_OUT + 1  # fronts and one cache
LIMITS = (f"most: {MAX_FRONTS_OUT} kind: FRONT", "most: 1 kind: CACHE")
FLOOR = 0.6  # share of the machines that must stay in service
DEADLINE_MS, HEARTBEAT_MS = 1000, 200
WITHDRAWN_FRONT = 4
LOSS_RATES = (0.0, 0.1, 0.3)
CUT_SECONDS = 1.5
ORDERS_PER_SECOND = 4


def wait_for(condition: Callable[[], bool], seconds: float) -> bool:
    """Block until a condition holds, for at most `seconds`; return whether it holds."""
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        gevent.sleep(0.05)
    return condition()


class FleetMaintenance:
    """One run of the benchmark; its attributes contain the results once `run` has returned.

    Args:
        seed: Seed of the load and of the faults.
        max_seconds: Time limit for the maintenance.

    Attributes:
        share_before: Weighted share of requests served in time before the maintenance.
        share: The same share during the maintenance.
        return_to_service_ms: Time from the withdrawal of a plan until its front is in service again.
        total_seconds: Duration of the maintenance.
        min_serving: Lowest number of fronts that were not drained at any time.
        drain_overruns_ms: Times by which drains exceeded the drain deadline of the plan.
        grant_waits_ms: Times from the plan to each grant.
        faults: Failures of the fronts.
    """

    def __init__(self, seed: int, max_seconds: float) -> None:
        self._seed, self._max_seconds, self._folder = seed, max_seconds, new_folder()
        self._fleet = FrontFleet(
            FRONTS,
            self._folder,
            300 + seed % 1000,
            warm_up=WARM_UP,
            heartbeat_ms=HEARTBEAT_MS,
            with_maintenance=True,
        )
        self.min_serving = FRONTS
        self.drain_overruns_ms: list[float] = [0.0]
        self.grant_waits_ms: list[float] = []

    def run(self) -> FleetMaintenance:
        """Run to the end."""
        self._fleet.wait_until_ready()
        self.load = FleetLoad(self._fleet, self._seed, [RATE] * FRONTS, OBJECTS)
        self.workers = MaintenanceWorkers(self._fleet, self.load.mark_down, self.load.mark_up)
        load_began = time.monotonic()
        gevent.sleep(2.5)
        self.share_before = self.load.results.weighted_share(load_began + 0.5, load_began + 2.5)
        self.return_to_service_ms = self._withdraw_plan()
        self._fleet.datagram_proxy.loss_rate = LOSS_RATES[int(hashed_fraction(self._seed, "lost") * 3)]
        work_began = time.monotonic()
        plan = plan_text(range(FRONTS), range(CACHES), LIMITS, deadline_ms=DEADLINE_MS, floor=FLOOR)
        self._fleet.submit_maintenance_plan(1, plan)
        self._wait_until_done(work_began)
        self.total_seconds = time.monotonic() - work_began
        gevent.sleep(0.5)
        self.share = self.load.results.weighted_share(work_began, work_began + self.total_seconds)
        self._duplicates = self.load.finish()
        self.workers.loop.kill()
        for front in range(FRONTS):
            self._read_log(front)
        self.faults = self._fleet.close()
        shutil.rmtree(self._folder, ignore_errors=True)
        return self

    def _withdraw_plan(self) -> float:
        """Withdraw a plan while a front drains; return the time in ms until its log shows it in service."""
        self._fleet.submit_maintenance_plan(0, plan_text([WITHDRAWN_FRONT], deadline_ms=20_000))
        wait_for(lambda: self.workers.stage(WITHDRAWN_FRONT) == "draining", 12)
        began_ms = time.time() * 1000
        self._fleet.submit_maintenance_plan(0, plan_text(withdrawn=True))
        wait_for(lambda: self.workers.stage(WITHDRAWN_FRONT) == "serving", 5)
        events = self._fleet.log_events(WITHDRAWN_FRONT)
        serving = [one["at"] for one in events if one["event"] == "drain" and one["stage"] == "serving"]
        elapsed_ms: float = serving[-1] - began_ms
        return elapsed_ms

    def _wait_until_done(self, work_began: float) -> None:
        """Wait until all machines are done; meanwhile, send orders and partition the fleet once."""
        cut_at = 4 + 4 * hashed_fraction(self._seed, "cut")
        parts = 2 + int(hashed_fraction(self._seed, "parts") * 2)
        gevent.spawn_later(cut_at, self._cut, parts)
        order_count = 0
        while not self._is_done() and time.monotonic() - work_began < self._max_seconds:
            gevent.sleep(0.1)
            due = int((time.monotonic() - work_began) * ORDERS_PER_SECOND)
            if due > order_count:
                order_count = due
                gevent.spawn(send_order, self._fleet, order_count, 99)
            serving = sum(self.workers.stage(front) != "drained" for front in self._fleet.processes)
            self.min_serving = min(self.min_serving, serving)

    def _cut(self, parts: int) -> None:
        proxy = self._fleet.datagram_proxy
        proxy.is_cut = lambda sender, receiver: sender % parts != receiver % parts
        gevent.sleep(CUT_SECONDS)
        proxy.is_cut = lambda _sender, _receiver: False

    def _is_done(self) -> bool:
        workers = self.workers
        all_returned = not workers.busy and len(workers.returned_caches) == CACHES
        return self.done_count == FRONTS + CACHES and all_returned

    @property
    def done_count(self) -> int:
        """Number of machines on which work has begun."""
        return len(set(self.workers.finished))

    def _read_log(self, front: int) -> None:
        plan_at_ms, began_ms = 0.0, 0.0
        for event in self._fleet.log_events(front):
            if event["event"] == "maintenance" and event.get("plan_created_ms"):
                plan_at_ms = plan_at_ms or event["at"]
            elif event["event"] == "drain" and event["stage"] == "draining":
                began_ms = event["at"]
                self.grant_waits_ms.append(began_ms - plan_at_ms)
            elif event["event"] == "drain" and event["stage"] == "drained" and began_ms:
                self.drain_overruns_ms.append(event["at"] - began_ms - DEADLINE_MS)

    def figures(self) -> dict[str, float]:
        """Return the figures by their names in the JSON result."""
        return {
            "cancel_to_service_ms_worst": self.return_to_service_ms,
            "deadline_overrun_ms_worst": max(self.drain_overruns_ms),
            "served_share": self.share,
            "served_share_before": self.share_before,
            "grant_wait_ms_median": statistics.median(self.grant_waits_ms or [0]),
        }

    def rules(self) -> Counter[str]:
        """Count the broken rules by name."""
        rules = broken_rules(self._fleet, self.load.results, self._duplicates, self.faults)
        rules.update(
            sent_to_resting=self.workers.requests_during_maintenance,
            split_grants=max(0, self.workers.worst_out - MAX_OUT),
            floor_broken=int(self.min_serving < FLOOR * FRONTS),
        )
        return rules
