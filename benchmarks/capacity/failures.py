"""The failures that operators expect: what each loses, and how service and control recover from it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from marbleglade.fleet import member_table
from marbleglade.transport import discovery_watch

from . import operators
from .budgets import PURGED_STATE
from .markdown import table
from .number_format import with_unit
from .records import CapacityRecord
from .scale_record import ScaleRecord
from .totals import Term, total

PARTITION_SECONDS = 3600  # duration of the partition between regions
CATCH_UP_BYTES_PER_S = 6144  # rate to one front that catches up; default of the control plane's settings
PROBE_INTERVAL_S = 1.0  # default interval between probes of a fleet agent


@dataclass(frozen=True, slots=True)
class Failure:
    """One row of the table of failures.

    Attributes:
        event: What fails, and how often.
        lost: The state and requests that are lost.
        mechanism: What limits the effect of the failure.
        service: How soon requests are served again.
        control: How soon the control of fronts works again.
        basis: Whether the row is measured, simulated, tested or worked out.
    """

    event: str
    lost: str
    mechanism: str
    service: str
    control: str
    basis: str


def suspicion_seconds(fronts: int) -> tuple[float, float]:
    """Return the least and most seconds for which a member is suspected before it is considered dead."""
    size = PROBE_INTERVAL_S * max(1.0, math.log10(fronts))
    return size * member_table.MIN_SUSPICION_RATIO, size * member_table.MAX_SUSPICION_RATIO


def failures(recorded: CapacityRecord, scale: ScaleRecord | None) -> list[Failure]:
    """Return all rows of the table."""
    return [
        _front_machine(recorded),
        _control_machine(scale),
        _cache_machine(),
        _restarts(recorded),
        _rack_or_switch(),
        _zone(scale),
        _region_partition(recorded, scale),
    ]


def failure_table(recorded: CapacityRecord, scale: ScaleRecord | None) -> list[str]:
    """Return the table of failures in Markdown."""
    return table(
        ("event", "lost", "carried by", "service is back", "control is back", "how known"),
        (
            (one.event, one.lost, one.mechanism, one.service, one.control, one.basis)
            for one in failures(recorded, scale)
        ),
    )


def _front_machine(recorded: CapacityRecord) -> Failure:
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


def _restarts(recorded: CapacityRecord) -> Failure:
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


def _rack_or_switch() -> Failure:
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


def _region_partition(recorded: CapacityRecord, scale: ScaleRecord | None) -> Failure:
    purges = operators.EXPECTED_PURGES_PER_S * PARTITION_SECONDS
    line_bytes = recorded.slope("watch").per["purge_per_s"]
    transfer_s = purges * line_bytes / CATCH_UP_BYTES_PER_S
    return Failure(
        "regions lose each other for an hour (now and then)",
        "confirmation of the other side's purges; nothing in the own region",
        "each region's discovery service and control nodes go on; after healing all is applied before "
        "anything older is given out",
        "not touched; what can't be known to be unpurged is not given out",
        f"{purges:,} purges of {with_unit(line_bytes, 'B')} at {CATCH_UP_BYTES_PER_S:,} B/s: "
        f"{with_unit(transfer_s, 's')}; applying them takes a front {_catch_up_time(recorded, purges)}; "
        + _scale_seconds(scale, "purge_after_cut_s", "after a cut of scaled length all were applied within "),
        f"worked out; scaled cut {_scale_basis(scale, 'purge_after_cut_s')}",
    )


def _catch_up_time(recorded: CapacityRecord, purges: int) -> str:
    """Return the processor time in which a front applies `purges` purges in a row, by scan and by index."""
    found = []
    for way in ("scan", "index"):
        names = [f"purge by {way} of {what}" for what in PURGED_STATE]
        if names[0] in {slope.name for slope in recorded.slopes}:
            per_purge = total(recorded, map(Term, names[:-1]), operators.FRONTS)
            recent = recorded.slope(names[-1]).per["recent_purge"]
            seconds = purges * (per_purge + max(0.0, recent) * purges / 2)
            found.append(f"{with_unit(seconds, 's')} of processor time with purges by {way}")
    return ", ".join(found)


def _scale_seconds(scale: ScaleRecord | None, field: str, prefix: str) -> str:
    """Return the prefix and this field of the scale run's summary, or "not measured"."""
    value = scale.summary.get(field) if scale else None
    return "not measured" if value is None else f"{prefix}{with_unit(value, 's')}"


def _scale_basis(scale: ScaleRecord | None, field: str) -> str:
    """Return whether this field was measured in the scale run and, if it is known, why not."""
    if scale and scale.summary.get(field) is not None:
        return "measured on loopback in the scale run"
    return "not measured" + (
        f" ({scale.not_measured[field]})" if scale and field in scale.not_measured else ""
    )
