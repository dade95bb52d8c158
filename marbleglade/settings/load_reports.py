"""Evaluation of the load reports of upstreams."""

from __future__ import annotations

from ..model.upstream import Upstream

CONGESTION_FIELD = "x1"  # transfers on the zone's link / transfers that fit it at full throughput


def record_load_report(upstream: Upstream, report: dict[str, float], now: int) -> None:
    """Store the congestion from a load report in its upstream; ignore a report without congestion.

    Args:
        upstream: The upstream that sent the report.
        report: The values of the report, by the field names of the deployment.
        now: The time at which the report arrived, ns.
    """
    if CONGESTION_FIELD in report:
        upstream.congestion = report[CONGESTION_FIELD]
        upstream.reported_at = now
