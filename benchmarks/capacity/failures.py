"""The events of the operators' list: what is lost, what carries it, how long service and control take."""

from __future__ import annotations

import math
from dataclasses import dataclass

from marbleglade.fleet import member_table
from marbleglade.transport import discovery_watch

from . import operators
from .budgets import PURGED_STATE
from .markdown import table
from .number_format import with_unit
from .records import Measurement
from .scale_record import ScaleRecord
from .totals import Term, total

CUT_SECONDS = 3600  # for which regions lose each other
CATCH_UP = 6144  # bytes a second of one front that catches up: the default of the control plane's settings
PROBE = 1.0  # seconds between probes of a fleet agent, by default


@dataclass(frozen=True, slots=True)
class Failure:
    """One row of the table."""

    event: str
    lost: str
    mechanism: str
    service: str
    control: str
    basis: str


def suspicion_seconds(fronts: int) -> tuple[float, float]:
    """Return the least and most seconds for which a fleet agent suspects a member before it is dead."""
    size = PROBE * max(1.0, math.log10(fronts))
    return size * member_table.MIN_SUSPICION_RATIO, size * member_table.MAX_SUSPICION_RATIO


def failures(recorded: Measurement, scale: ScaleRecord | None) -> list[Failure]:
    """All rows."""
    return [
        _front_machine(recorded),
        _control_machine(scale),
        _cache_machine(),
        _restarts(recorded),
        _rack(),
        _zone(scale),
        _regions(recorded, scale),
    ]


def failure_table(recorded: Measurement, scale: ScaleRecord | None) -> list[str]:
    """The rows as a table."""
    return table(
        ("event", "lost", "carried by", "service is back", "control is back", "how known"),
        (
            (one.event, one.lost, one.mechanism, one.service, one.control, one.basis)
            for one in failures(recorded, scale)
        ),
    )


def _front_machine(recorded: Measurement) -> Failure:
    least, most = suspicion_seconds(operators.FRONTS)
    takeover = recorded.value("aggregator takeover", fronts=operators.FRONTS)
    dead = recorded.value("member held dead", fronts=operators.FRONTS)
    return Failure(
        "a front machine fails (2 machines a day of any kind)",
        "its open requests and connections, its own copies and directory",
        "clients' retry at another front; fleet agents hold it dead; duties are taken over",
        "as fast as clients and the load balancer turn away: not ours",
        f"held dead everywhere after {with_unit(dead, 's')} (by the settings {with_unit(least, 's')} to "
        f"{with_unit(most, 's')} after the first missed probe); where it was the view aggregator "
        f"{with_unit(takeover, 's')} without a view",
        f"simulated time, {operators.FRONTS} fronts",
    )


def _control_machine(scale: ScaleRecord | None) -> Failure:
    return Failure(
        "a control machine fails",
        "its streams; nothing that a front needs",
        "each front watches a second node in another zone; the first word of either counts",
        "not touched",
        _scale_seconds(
            scale,
            "purge_everywhere_s_worst",
            "worst purge of the scale run, a node killed and one hung among its faults: ",
        ),
        _scale_basis(scale, "purge_everywhere_s_worst"),
    )


def _cache_machine() -> Failure:
    return Failure(
        "a cache machine fails",
        f"the copies of one in {operators.CACHES}; requests under way there",
        "requests are tried again elsewhere within the budget of retries; the circuit opens; the discovery "
        "service delists it",
        "a retry: within the latency target of its class",
        f"a list change: heartbeat bound {with_unit(discovery_watch.SILENCE_TIMEOUT_S, 's')} at worst before "
        "the control plane",
        "worked out; retries are tested, see docs/crossings.md",
    )


def _restarts(recorded: Measurement) -> Failure:
    entry = recorded.slope("memory by directory")
    refill = operators.DIRECTORY_ENTRIES * entry.per["directory_entry"]
    return Failure(
        "110 restarts or replacements a day, planned",
        f"own copies and the directory ({with_unit(refill, 'B')} of state), no request",
        "the front answers what is open, then ends; the maintenance plan bounds how many are out at once",
        "no gap: others serve meanwhile; a restarted front fills as it is asked",
        "a new start counts as confirmed only after it has caught up",
        "tested with processes (docs/work.md); amount of state measured",
    )


def _rack() -> Failure:
    return Failure(
        "a rack or switch (every month or two)",
        "all machines behind it at once, at most one control node where racks are zones' parts",
        "as for single machines; a front's two control nodes stand in different zones",
        "as for single machines",
        "as for single machines",
        "worked out",
    )


def _zone(scale: ScaleRecord | None) -> Failure:
    fronts, caches = operators.FRONTS / operators.ZONES, operators.CACHES / operators.ZONES
    return Failure(
        "a zone (a few times a year)",
        f"about {math.ceil(fronts)} fronts and {math.ceil(caches)} caches with their copies, and the control "
        "nodes there",
        "the second control node stands in another zone; a majority of nodes stays where no zone holds half",
        "other zones take the load: 1 in 11 more each; refill of the lost caches' share from parents",
        _scale_seconds(scale, "purge_after_cut_s", "purges after a cut applied everywhere within "),
        f"load worked out; purges {_scale_basis(scale, 'purge_after_cut_s')}",
    )


def _regions(recorded: Measurement, scale: ScaleRecord | None) -> Failure:
    purges = operators.PURGES_PER_S * CUT_SECONDS
    line_bytes = recorded.slope("watch").per["purge_per_s"]
    paced = purges * line_bytes / CATCH_UP
    return Failure(
        "regions lose each other for an hour (now and then)",
        "confirmation of the other side's purges; nothing in the own region",
        "each region's discovery service and control nodes go on; after healing all is applied before "
        "anything older is given out",
        "not touched; what can't be known to be unpurged is not given out",
        f"{purges:,} purges of {with_unit(line_bytes, 'B')} at {CATCH_UP:,} B/s: {with_unit(paced, 's')}; "
        f"applying them takes a front {_applying(recorded, purges)}; "
        + _scale_seconds(scale, "purge_after_cut_s", "after a cut of scaled length all were applied within "),
        f"worked out; scaled cut {_scale_basis(scale, 'purge_after_cut_s')}",
    )


def _applying(recorded: Measurement, purges: int) -> str:
    """Processor time of a front that is told so many purges one after the other, for each way recorded."""
    found = []
    for way in ("scan", "index"):
        names = [f"purge by {way} of {what}" for what in PURGED_STATE]
        if names[0] in {slope.name for slope in recorded.slopes}:
            once = total(recorded, map(Term, names[:-1]), operators.FRONTS)
            recent = recorded.slope(names[-1]).per["recent_purge"]
            seconds = purges * (once + max(0.0, recent) * purges / 2)
            found.append(f"{with_unit(seconds, 's')} of processor time with purges by {way}")
    return ", ".join(found)


def _scale_seconds(scale: ScaleRecord | None, field: str, prefix: str) -> str:
    """The figure of that field of the scale run's summary behind a prefix, or that there is none."""
    value = scale.summary.get(field) if scale else None
    return "not measured" if value is None else f"{prefix}{with_unit(value, 's')}"


def _scale_basis(scale: ScaleRecord | None, field: str) -> str:
    """How that field is known."""
    if scale and scale.summary.get(field) is not None:
        return "measured on loopback in the scale run"
    return "not measured" + (
        f" ({scale.not_measured[field]})" if scale and field in scale.not_measured else ""
    )
