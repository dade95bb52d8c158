"""Simulated maintenance of real fronts and stand-in caches that the fronts have taken out of service."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterable

import gevent

from marbleglade.testing.cache_server import StandInUpstream
from marbleglade.testing.front_fleet import FrontFleet

POLL_SECONDS, EXIT_POLL_SECONDS = 0.05, 0.02
SETTLE_SECONDS = 0.5  # time for requests in flight to arrive at a cache after it was taken out of service
STAGES = ("serving", "draining", "drained")


def plan_text(
    fronts: Iterable[int] = (),
    caches: Iterable[int] = (),
    limits: Iterable[str] = ("most: 1 kind: FRONT", "most: 1 kind: CACHE"),
    deadline_ms: int = 1500,
    takes_ms: int = 30_000,
    withdrawn: bool = False,
    after: str = "",
    floor: float = 0.3,
) -> str:
    """Return the text of a maintenance plan with the current time as creation time.

    Args:
        fronts: Numbers of the fronts in the plan.
        caches: Numbers of the caches in the plan.
        limits: Concurrency limits in the text format.
        deadline_ms: Drain deadline of a front in ms.
        takes_ms: Expected time in ms for the maintenance of one machine.
        withdrawn: Whether the plan is withdrawn.
        after: Name of the machine that must be done before the caches; empty for none.
        floor: Minimum share of the machines that must stay in service.
    """
    jobs = [f"job {{ front: {number} takes_ms: {takes_ms} }}" for number in fronts]
    order = f'after: "{after}" ' if after else ""
    jobs += [f'job {{ place: "box{number}" zone: "z" takes_ms: {takes_ms} {order}}}' for number in caches]
    return (
        f"asked_ms: {int(time.time() * 1000)} floor: {floor} deadline_ms: {deadline_ms} "
        f"withdrawn: {str(withdrawn).lower()} {' '.join(jobs)} "
        + " ".join(f"limit {{ {limit} }}" for limit in limits)
    )


class MaintenanceWorkers:
    """Restart fronts that are drained, and caches that all fronts have taken out; announce restarted caches.

    Args:
        fleet: Fleet with the fronts and caches.
        before_stop: Called with the number of a front before it is stopped.
        after_ready: Called with the number of a front once it is ready again.
        work_seconds: Duration of the maintenance of one machine.

    Attributes:
        finished: Front numbers and cache ids in the order in which maintenance of them began.
        worst_out: Highest number of fronts that were out of service at once.
        requests_during_maintenance: Number of requests to caches under maintenance.
        returned_caches: Ids of caches that have been restarted.
        busy: Numbers of fronts under maintenance.
    """

    def __init__(
        self,
        fleet: FrontFleet,
        before_stop: Callable[[int], None],
        after_ready: Callable[[int], None],
        work_seconds: float = 0.3,
    ) -> None:
        self.fleet, self.work_seconds = fleet, work_seconds
        self._before_stop, self._after_ready = before_stop, after_ready
        self.finished: list[int | str] = []
        self.worst_out, self.requests_during_maintenance = 0, 0
        self.returned_caches: set[str] = set()
        self.busy: set[int] = set()
        self._caches_out: set[str] = set()
        self.loop = gevent.spawn(self.run)

    def log_lines(self, front: int, event: bytes) -> list[bytes]:
        """Return the log lines with this event since the latest start of a front."""
        lines = self.fleet.log_path(front).read_bytes().splitlines()
        return [line for line in lines if b'"event":"%b"' % event in line]

    def stage(self, front: int) -> str:
        """Return "serving", "draining" or "drained", according to the latest drain event of a front."""
        latest = b"".join(self.log_lines(front, b"drain")[-1:])
        return next((stage for stage in STAGES if b'"stage":"%b"' % stage.encode() in latest), "serving")

    def is_out_at_all_fronts(self, cache: StandInUpstream) -> bool:
        """Return whether all running fronts have taken a cache out of service."""
        name = b'"%b"' % cache.id.encode()
        return all(
            any(name in line for line in self.log_lines(front, b"out_of_service"))
            for front in self.fleet.processes
        )

    def run(self) -> None:
        """Poll the fronts' logs and start maintenance of machines that are out of service."""
        while True:
            gevent.sleep(POLL_SECONDS)
            out = [front for front in self.fleet.processes if self.stage(front) != "serving"]
            self.worst_out = max(self.worst_out, len(set(out) | self.busy))
            for front in out:
                if self.stage(front) == "drained" and front not in self.busy:
                    self.busy.add(front)
                    gevent.spawn(self._work_on_front, front)
            for cache in self.fleet.caches:
                if cache.id not in self._caches_out and self.is_out_at_all_fronts(cache):
                    self._caches_out.add(cache.id)
                    gevent.spawn(self._work_on_cache, cache)

    def _work_on_front(self, front: int) -> None:
        self.finished.append(front)
        self._before_stop(front)
        self.fleet.signal(front, signal.SIGTERM)
        process = self.fleet.processes.pop(front)
        while process.poll() is None:
            gevent.sleep(EXIT_POLL_SECONDS)
        assert process.returncode == 0
        gevent.sleep(self.work_seconds)
        self.fleet.start(front)
        self.fleet.wait_until_ready()
        self._after_ready(front)
        self.busy.discard(front)

    def _work_on_cache(self, cache: StandInUpstream) -> None:
        self.finished.append(cache.id)
        gevent.sleep(SETTLE_SECONDS)
        since = time.monotonic()
        gevent.sleep(self.work_seconds)
        self.requests_during_maintenance += sum(at > since for at in cache.request_times)
        cache.restart()
        self.returned_caches.add(cache.id)
        self.fleet.for_each_discovery_service(
            lambda service: service.announce([(cache, "box")], started_ms=cache.started_ms())
        )
