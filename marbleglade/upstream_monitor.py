"""Monitoring of a front's upstreams: load reports, load probes, and the status report."""

from __future__ import annotations

import gevent

from .model.upstream import Upstream, UpstreamRole
from .policy_driver import PolicyDriver
from .runtime import clock
from .runtime.error_guard import ErrorGuard
from .runtime.units import MILLISECOND_NS
from .settings.load_reports import CONGESTION_FIELD, record_load_report
from .state.upstream_registry import UpstreamRegistry
from .transport.attempt_sender import AttemptSender


class UpstreamMonitor:
    """Records load reports, sends load probes, and reports the status of a front's upstreams.

    Args:
        driver: Runs the policy, which orders the probes.
        upstream_client: Sends the probes, and counts connections and requests in flight.
        upstreams: The endpoint list.
        guard: Records exceptions raised by a probe.
    """

    def __init__(
        self,
        driver: PolicyDriver,
        upstream_client: AttemptSender,
        upstreams: UpstreamRegistry,
        guard: ErrorGuard,
    ) -> None:
        self._driver = driver
        self._upstream_client = upstream_client
        self._upstreams = upstreams
        self._guard = guard

    def status(self) -> list[dict[str, object]]:
        """Return the status of each upstream: the policy's view of it, and the state of its connections.

        Attempts in flight are counted in three places, and the counts should be equal: `ordered` counts the
        attempts of open requests, `policy_in_flight` those in the policy's health model, and `in_flight`
        those that are being sent.
        """
        now = clock.now()
        ordered = self._driver.in_flight()
        return [
            self._status(upstream, entry.id, ordered.get(upstream, 0), now)
            for upstream, entry in self._upstreams.by_upstream.items()
        ]

    def _status(self, upstream: Upstream, upstream_id: str, ordered: int, now: int) -> dict[str, object]:
        health = upstream.health  # None until the upstream is passed to the policy
        report_age_ms = (now - upstream.reported_at) // MILLISECOND_NS if upstream.reported_at else None
        return {
            "upstream": upstream_id,
            "state": upstream.state.name,
            "ordered": ordered,
            "policy_in_flight": len(getattr(health, "in_flight", ())),
            "in_flight": self._upstream_client.in_flight[upstream],
            "connections": self._upstream_client.connections(upstream),
            "report_age_ms": report_age_ms,
            "circuit_open_ms": max(0, getattr(health, "circuit_open_until", 0) - now) // MILLISECOND_NS,
        }

    def latest_congestion(self) -> tuple[float, int] | None:
        """Return congestion and time (ns) of the zone's latest load report; None if there is no report."""
        cache = self._latest_reporting_cache()
        return (cache.congestion, cache.reported_at) if cache and cache.reported_at else None

    def record_peer_congestion(self, congestion: float, reported_at: int) -> None:
        """Store the congestion of this zone that another front received, if it is the latest report."""
        cache = self._latest_reporting_cache()
        if cache and cache.reported_at < reported_at:
            record_load_report(cache, {CONGESTION_FIELD: congestion}, reported_at)

    def _latest_reporting_cache(self) -> Upstream | None:
        """Return the zone's cache with the latest load report; None if the zone has no cache."""
        zone = self._driver.policy.parameters.zone
        caches = [
            upstream
            for upstream in self._upstreams.by_upstream
            if upstream.role is UpstreamRole.CACHE and upstream.zone == zone
        ]
        return max(caches, key=lambda cache: cache.reported_at, default=None)

    def run_probes(self) -> None:
        """Send the load probes that the policy orders; never returns."""
        request_classes = self._driver.policy.parameters.request_classes
        timeout = max(request_class.client_timeout for request_class in request_classes)
        while True:
            upstream = self._driver.next_probe()
            gevent.spawn(self._guard.call, "load_probe", self._probe_load, upstream, timeout)

    def _probe_load(self, upstream: Upstream, timeout: int) -> None:
        report = self._upstream_client.request_load_report(upstream, timeout)
        self._driver.record_load_report(upstream, report)
