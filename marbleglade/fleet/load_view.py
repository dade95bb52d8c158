"""Load reports of fronts and the aggregated load view, which a leader or a control node computes from them.

A report holds sums over the last few periods rather than differences, so a lost, duplicated or late report
does no harm: the latest report of each front is used while it is fresh. The aggregation trims the most
extreme throughputs and bounds the weight of each front, so that a front with wrong values changes the view
little.

This module does no I/O, reads no clock and has no randomness. Times are nanoseconds of the caller's monotonic
clock, and milliseconds in messages.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from ..runtime.units import MILLISECOND_NS
from .leadership import preferred_holder

NO_FRONT = 65535  # stands for no front; no front has this number
UNKNOWN_AGE_MS = 65535  # the age of a zone's load if no load report of the zone has arrived
FRESH_PERIODS = 3  # periods for which a report or a view is used after its arrival
WINDOW_PERIODS = 4  # periods covered by the sums in a report
TRIM_DIVISOR = 16  # one front in 16 is trimmed at either end of the throughputs
MAX_MEDIAN_RATIO = 4  # bound of a front's work on a link, in medians; the bound of its totals is twice this
MIN_BOUNDED_SAMPLE = 3  # with fewer fronts, no value is bounded by the median
MIN_TRIMMED_SAMPLE = 5  # with this many fronts or more, at least one is trimmed at either end
MAX_OPEN_CIRCUITS = 8  # upstreams with an open circuit, in a report or a view
MAX_RECOVERED = 6  # upstreams that recovered, in a report or a view
MAX_LINKS = 9  # links in a report or a view
MAX_ZONE_LOADS = 6  # zones with their load, in a report or a view

# Rendezvous hash keys, which assign each of these tasks to one front: half-open probes, by the hash of the
# ejected upstream's name, and load probes, by zone. Another text would assign the tasks to other fronts, so
# all leaders and control nodes, which aggregate views, need the same texts.
HALF_OPEN_PROBE_TASK = b"try %d"
LOAD_PROBE_TASK = b"probe %d"


class LinkWork(NamedTuple):
    """The transfers on a link.

    Attributes:
        work_ms: Milliseconds that the transfers would have taken at full throughput.
        duration_ms: Milliseconds that they took.
    """

    work_ms: int
    duration_ms: int


@dataclass(slots=True)
class ZoneLoad:
    """The latest load reported by the caches of a zone.

    Attributes:
        value: The congestion of these caches.
        age_ms: Milliseconds from that report to the sending of this one; `UNKNOWN_AGE_MS` if there is none.
        prober: In a view, the front that sends load probes in the zone on behalf of all fronts there.
    """

    value: float
    age_ms: int
    prober: int = NO_FRONT


@dataclass(slots=True)
class OpenCircuit:
    """An open circuit: the number of fronts where it is open, and the front that sends half-open probes."""

    reporters: int
    prober: int


@dataclass(slots=True)
class FrontReport:
    """The load that one front observed over the last `WINDOW_PERIODS`.

    Attributes:
        sequence: Sequence number, which grows with each report and also across restarts.
        zone: The zone of the front.
        load_ms: Transfer time of the requested objects, in milliseconds.
        first_requests: Number of requests that are not retries by clients.
        retry_cost: Cost of the retries; a cheap retry counts less than 1.
        rejected: Number of rejected requests.
        links: The transfers, by link number.
        zone_loads: The latest load, by zone.
        open_circuits: Hashed names of the upstreams whose circuit is open at this front.
        recovered: Hashed names of the upstreams where a half-open probe of this front recently succeeded.
    """

    sequence: int
    zone: int = 0
    load_ms: int = 0
    first_requests: int = 0
    retry_cost: int = 0
    rejected: int = 0
    links: dict[int, LinkWork] = field(default_factory=dict)
    zone_loads: dict[int, ZoneLoad] = field(default_factory=dict)
    open_circuits: list[int] = field(default_factory=list)
    recovered: list[int] = field(default_factory=list)


@dataclass(slots=True)
class AggregatedView:
    """The aggregated load of many fronts, computed in a leader's term; other fields as in `FrontReport`."""

    term: int
    sequence: int
    fronts: int = 0
    load_ms: int = 0
    first_requests: int = 0
    retry_cost: int = 0
    rejected: int = 0
    links: dict[int, LinkWork] = field(default_factory=dict)
    zone_loads: dict[int, ZoneLoad] = field(default_factory=dict)
    open_circuits: dict[int, OpenCircuit] = field(default_factory=dict)
    recovered: list[int] = field(default_factory=list)


@dataclass(slots=True)
class ReceivedReport:
    """The latest report of a front, and the time of its arrival, ns."""

    received_at: int
    report: FrontReport


class SlidingSums:
    """The growth of cumulative counters over the last `WINDOW_PERIODS`."""

    def __init__(self) -> None:
        self.previous: dict[Hashable, int] = {}
        self.increments: deque[dict[Hashable, int]] = deque(maxlen=WINDOW_PERIODS)

    def add_period(self, counters: dict[Hashable, int]) -> None:
        """End a period, with the current values of the counters."""
        self.increments.append({name: self._increment(name, value) for name, value in counters.items()})
        self.previous = dict(counters)

    def sum(self, name: Hashable) -> int:
        """Return the growth of a counter within the window."""
        return sum(period.get(name, 0) for period in self.increments)

    def _increment(self, name: Hashable, value: int) -> int:
        """Return the growth since the last period.

        A counter that decreased has restarted from zero, because its upstream was removed and added again.
        """
        previous = self.previous.get(name, 0)
        return value - previous if value >= previous else value


class LoadAggregator:
    """Stores the latest report of each front and computes the load view from them.

    Args:
        period: Nanoseconds between two reports of a front.
        load_probes_allowed: Whether fronts send load probes; if not, the view has no zone loads.
        max_zones: Most zones whose load and links the view has; 0 for as many as fit a datagram.
    """

    def __init__(self, period: int, load_probes_allowed: bool = False, max_zones: int = 0) -> None:
        self.period = period
        self.load_probes_allowed = load_probes_allowed
        self.max_links = max_zones + 2 if max_zones else MAX_LINKS
        self.max_zone_loads = max_zones or MAX_ZONE_LOADS
        self.reports: dict[int, ReceivedReport] = {}  # by front
        self.sequence = 0

    def add_report(self, sender: int, report: FrontReport, now: int) -> bool:
        """Store a report; false if it is not newer than the fresh report stored for that front."""
        last = self.reports.get(sender)
        if last and report.sequence <= last.report.sequence and self._is_fresh(last, now):
            return False
        self.reports[sender] = ReceivedReport(now, report)
        return True

    def aggregate(self, term: int, now: int) -> AggregatedView:
        """Compute the view from all fresh reports, and discard the others."""
        self.reports = {
            sender: received for sender, received in self.reports.items() if self._is_fresh(received, now)
        }
        reports = [received.report for received in self.reports.values()]
        self.sequence += 1
        view = AggregatedView(
            term,
            self.sequence,
            fronts=len(reports),
            load_ms=bounded_sum([report.load_ms for report in reports]),
            first_requests=bounded_sum([report.first_requests for report in reports]),
            retry_cost=bounded_sum([report.retry_cost for report in reports]),
            rejected=bounded_sum([report.rejected for report in reports]),
        )
        keys = sorted({key for report in reports for key in report.links})
        for key in keys[: self.max_links]:
            view.links[key] = trimmed_throughput(
                [report.links[key] for report in reports if key in report.links]
            )
        if self.load_probes_allowed:
            view.zone_loads = self._latest_zone_loads(now)
        view.open_circuits = self._open_circuits()
        view.recovered = merge_recovered(report.recovered for report in reports)
        return view

    def _is_fresh(self, received: ReceivedReport, now: int) -> bool:
        return now - received.received_at < FRESH_PERIODS * self.period

    def _open_circuits(self) -> dict[int, OpenCircuit]:
        """Return the circuits that the most fronts have open.

        The prober of a circuit is one of these fronts, because they would use the upstream.
        """
        counts = Counter(
            upstream for received in self.reports.values() for upstream in set(received.report.open_circuits)
        )
        circuits = {}
        for upstream, reporters in counts.most_common(MAX_OPEN_CIRCUITS):
            fronts = [
                sender
                for sender, received in self.reports.items()
                if upstream in received.report.open_circuits
            ]
            circuits[upstream] = OpenCircuit(reporters, assign_circuit_prober(upstream, fronts))
        return circuits

    def _latest_zone_loads(self, now: int) -> dict[int, ZoneLoad]:
        """Return the latest load of each zone, with one front of the zone as its load prober."""
        fronts: dict[int, list[int]] = {}
        for sender, received in sorted(self.reports.items(), key=lambda item: item[0]):
            fronts.setdefault(received.report.zone, []).append(sender)
        loads = {
            zone: ZoneLoad(0.0, UNKNOWN_AGE_MS, assign_load_prober(zone, fronts[zone]))
            for zone in sorted(fronts)[: self.max_zone_loads]
        }
        for received in self.reports.values():
            waited_ms = (now - received.received_at) // MILLISECOND_NS
            for zone, load in received.report.zone_loads.items():
                age_ms = min(load.age_ms + waited_ms, UNKNOWN_AGE_MS)
                if zone in loads and age_ms < loads[zone].age_ms:
                    loads[zone].value = load.value
                    loads[zone].age_ms = age_ms
        return loads


def assign_circuit_prober(upstream: int, fronts: Iterable[int]) -> int:
    """Choose the front that sends half-open probes to an ejected upstream; `NO_FRONT` if there is none."""
    return _assign_prober(HALF_OPEN_PROBE_TASK % upstream, fronts)


def assign_load_prober(zone: int, fronts: Iterable[int]) -> int:
    """Choose the front that sends the load probes of a zone; `NO_FRONT` if there is none."""
    return _assign_prober(LOAD_PROBE_TASK % zone, fronts)


def _assign_prober(task: bytes, fronts: Iterable[int]) -> int:
    chosen = preferred_holder(task, sorted(fronts))
    return NO_FRONT if chosen is None else chosen


def merge_recovered(lists: Iterable[list[int]]) -> list[int]:
    """Merge lists of recovered upstreams, and keep at most `MAX_RECOVERED`."""
    return sorted({upstream for upstreams in lists for upstream in upstreams})[:MAX_RECOVERED]


def bounded_sum(values: list[int]) -> int:
    """Sum the positive values, each bounded to a multiple of their median."""
    positive = [value for value in values if value > 0]
    if len(positive) < MIN_BOUNDED_SAMPLE:
        return int(sum(positive))
    bound = MAX_MEDIAN_RATIO * 2 * median(positive)
    return int(sum(min(value, bound) for value in positive))


def trimmed_throughput(samples: list[LinkWork]) -> LinkWork:
    """Sum the transfers of all fronts except those with the highest and the lowest throughput."""
    samples = [sample for sample in samples if sample.work_ms > 0]
    if len(samples) >= MIN_BOUNDED_SAMPLE:
        bound = MAX_MEDIAN_RATIO * median(sample.work_ms for sample in samples)
        samples = [_bounded_work(sample, bound) for sample in samples]
    samples.sort(key=lambda sample: sample.duration_ms / sample.work_ms)
    trimmed = max(len(samples) // TRIM_DIVISOR, int(len(samples) >= MIN_TRIMMED_SAMPLE))
    if trimmed:
        samples = samples[trimmed:-trimmed]
    return LinkWork(sum(sample.work_ms for sample in samples), sum(sample.duration_ms for sample in samples))


def _bounded_work(sample: LinkWork, bound: float) -> LinkWork:
    """Reduce a sample to a bound of its work, at the same throughput."""
    if sample.work_ms <= bound:
        return sample
    return LinkWork(int(bound), int(sample.duration_ms * bound / sample.work_ms))
