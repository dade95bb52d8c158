"""Congestion estimates for links that are shared by several fronts and transfers.

All work is measured as transfer time: the time in ns that the bytes would take at the full throughput of a
single transfer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..model.fleet_view import FILLS_LINK, FIRST_ZONE_LINK, ORIGIN_FETCHES_LINK

CONGESTED_THROUGHPUT = 0.6  # ratio to the throughput of an idle link, below which a link is congested
CONGESTED_SLOWDOWN = 1 / CONGESTED_THROUGHPUT
NO_SLOWDOWN = 1.0  # ratio of time taken to time at full throughput on an uncongested link

# Every slowdown estimate includes a prior, weighted like work of a sixteenth of the window, so that a few
# transfers outweigh it.
PRIOR_WINDOW_DIVISOR = 16
# Factor on the prior's weight if the prior is the slowdown observed by the fleet. It then weighs like half a
# window.
FLEET_EVIDENCE_WEIGHT = 8

# If a link is congested while this front has on average at most this many transfers on it, other fronts have
# filled it, and its capacity cannot be derived from this front's transfers.
MIN_CONGESTED_CONCURRENCY = 2
CAPACITY_GAIN = 1 / 8  # weight of one observation in the capacity estimate of a congested link
CAPACITY_GROWTH = 0.1  # transfers added to the capacity by each observation without congestion
MIN_CAPACITY = 1.0  # transfers, so that an idle link is always used
# Share of the capacity in use below which the estimate does not grow: such a load does not show that more
# transfers would fit.
BUSY_SHARE = 1 / 2

MAX_PROBE_BACKOFF_FACTOR = 8  # ratio of the longest to the shortest interval between probes of a link


class DecayingSum:
    """A sum whose terms lose weight with age.

    An update multiplies the sum by 1 - elapsed / window. This is close to exponential decay while updates are
    frequent, and the sum is 0 after a whole window without updates.

    Args:
        now: The present time, ns.
        window: Time over which terms lose their weight, ns.
    """

    def __init__(self, now: int, window: int) -> None:
        self.sum = 0.0
        self.updated_at = now
        self.window = window

    def add(self, amount: float, now: int) -> None:
        """Decay the sum to `now`, ns, then add an amount."""
        remaining = max(0.0, 1 - (now - self.updated_at) / self.window)
        self.sum = self.sum * remaining + amount
        self.updated_at = now


class LinkModel:
    """The congestion of one link: this front's transfers on it, its capacity and its recent slowdown.

    Args:
        fleet_size: Number of fronts that share the link.
        now: The present time, ns.
        window: Time over which observations lose their weight, ns.
        group: The model of all links of the same kind, used as the prior of this one.
    """

    def __init__(self, fleet_size: int, now: int, window: int, group: LinkModel | None = None) -> None:
        self.fleet_size = fleet_size
        self.group = group
        self.in_flight = 0  # transfers of this front
        self.capacity = 0.0  # transfers of this front at full throughput; 0 if no limit was observed
        self.loss_rate = 0.0  # recent share of attempts that ended late without success
        self.work_done = DecayingSum(now, window)
        self.time_spent = DecayingSum(now, window)
        self.concurrent_time = DecayingSum(now, window)  # time spent times transfers in flight
        self.next_probe_at = now  # earliest time of the next probe while the link is congested, ns
        self.probe_backoff = 0  # interval to the next probe after a failed one, ns
        self.total_work = 0  # work since the process started, ns
        self.total_time = 0  # time spent since the process started, ns
        self.fleet_slowdown = NO_SLOWDOWN  # slowdown observed by the fleet
        self.fleet_slowdown_until = 0  # time at which `fleet_slowdown` expires, ns

    def slowdown(self, now: int) -> float:
        """Return the ratio of recent time spent to time at full throughput, weighted with a prior.

        The prior is the fleet's observation while that is valid, else the slowdown of the group.

        The call also decays the sums to `now`. Decay in two steps differs from decay in one step, so an
        additional call changes later results.
        """
        self.work_done.add(0, now)
        self.time_spent.add(0, now)
        prior_weight = self.work_done.window / PRIOR_WINDOW_DIVISOR
        if now < self.fleet_slowdown_until:
            prior_weight *= FLEET_EVIDENCE_WEIGHT
            prior = self.fleet_slowdown
        else:
            prior = self.group.slowdown(now) if self.group else NO_SLOWDOWN
        return (prior_weight * prior + self.time_spent.sum) / (prior_weight + self.work_done.sum)

    def predict_time(self, work: int, now: int) -> int:
        """Predict the time, ns, of one more transfer from the mean load of all fronts on the link.

        This front's load is its number of transfers in flight. The load of the other fronts is estimated from
        the slowdown.
        """
        own_load = (self.in_flight + 1) / self.capacity if self.capacity else NO_SLOWDOWN
        others_load = (self.fleet_size - 1) * self.slowdown(now)
        return int(work * max(NO_SLOWDOWN, (own_load + others_load) / self.fleet_size))

    def record_probe(self, succeeded: bool, now: int, min_backoff: int) -> None:
        """Record a probe of a congested link.

        Success halves the recent time spent, but not below the time at full throughput. Failure delays the
        next probe.

        Args:
            succeeded: Whether the probe was answered in time.
            now: The present time, ns.
            min_backoff: Time to the next probe after a first failure, ns; each further failure doubles it.
        """
        if succeeded:
            self.probe_backoff = 0
            self.next_probe_at = now
            self.time_spent.sum = max(self.time_spent.sum / 2, self.work_done.sum)
        else:
            longest = min_backoff * MAX_PROBE_BACKOFF_FACTOR
            self.probe_backoff = min(max(self.probe_backoff * 2, min_backoff), longest)
            self.next_probe_at = now + self.probe_backoff

    def observe(self, in_flight: int, work: int, time_spent: int, now: int) -> None:
        """Record one transfer, weighted by its work, since small transfers say little about the link.

        Args:
            in_flight: Number of this front's transfers on the link when the transfer began.
            work: Transfer time at full throughput, ns.
            time_spent: Actual duration of the transfer, ns.
            now: The present time, ns.
        """
        time_spent = max(time_spent, work, 1)
        self._add(work, time_spent, now)
        if self.group:
            self.group._add(work, time_spent, now)
        self.concurrent_time.add(in_flight * time_spent, now)
        throughput = self.work_done.sum / self.time_spent.sum
        concurrency = self.concurrent_time.sum / self.time_spent.sum
        self._adjust_capacity(throughput, concurrency)

    def _add(self, work: int, time_spent: int, now: int) -> None:
        self.work_done.add(work, now)
        self.time_spent.add(time_spent, now)
        self.total_work += work
        self.total_time += time_spent

    def _adjust_capacity(self, throughput: float, concurrency: float) -> None:
        """Update the capacity estimate.

        While the link is congested, the estimate starts at the concurrency and approaches the number of
        transfers at full throughput that the link carried recently. Otherwise it grows, but only if more than
        `BUSY_SHARE` of it is in use.

        Args:
            throughput: Throughput of one transfer relative to an idle link, 0 to 1.
            concurrency: Mean number of this front's transfers on the link.
        """
        full_speed_transfers = concurrency * throughput  # equivalent number at full throughput
        congested = throughput < CONGESTED_THROUGHPUT
        if congested and (self.capacity or concurrency > MIN_CONGESTED_CONCURRENCY):
            if self.capacity:
                self.capacity += (full_speed_transfers - self.capacity) * CAPACITY_GAIN
            else:
                self.capacity = concurrency
            self.capacity = max(MIN_CAPACITY, self.capacity)
        elif self.capacity:
            growth = CAPACITY_GROWTH if concurrency > self.capacity * BUSY_SHARE else 0
            self.capacity = max(self.capacity + growth, full_speed_transfers)


@dataclass(slots=True, eq=False)
class LinkReservation:
    """One transfer on a link, reserved by an attempt."""

    link: LinkModel
    in_flight: int  # this front's transfers on the link, including this one, when the attempt began


class NumberedLink(NamedTuple):
    """A link and the number under which fronts exchange its observations; see `model.fleet_view`."""

    number: int
    link: LinkModel


class SharedLinks:
    """Models of the links that do not belong to a single upstream."""

    def __init__(self, fleet_size: int, now: int, window: int) -> None:
        self.caches = LinkModel(fleet_size, now, window)  # combined links of the zone's caches
        self.fills = LinkModel(fleet_size, now, window)
        self.origin_fetches = LinkModel(fleet_size, now, window)  # fills that only the origin can serve

    def numbered_links(self, zone: int) -> list[NumberedLink]:
        """Return each link with the number under which the fronts of a zone exchange its observations."""
        return [
            NumberedLink(ORIGIN_FETCHES_LINK, self.origin_fetches),
            NumberedLink(FILLS_LINK, self.fills),
            NumberedLink(FIRST_ZONE_LINK + zone, self.caches),
        ]
