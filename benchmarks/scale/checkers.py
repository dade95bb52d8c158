"""Correctness checks of a scale run. They use no code of marbleglade, do no I/O and read no clock.

They compare the issued purges with the fronts' own records of applied purges and cached versions. The group
of an object comes from `workload.group_of`, as in the load itself.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages.fronts import AppliedPurge, CachedVersion
from .workload import group_of

MILLISECOND_US = 1000
MAX_NOTES = 10
RECONNECT_US = 2_000_000  # time allowed for a front to reconnect after a disconnection

PurgeIdentity = tuple[int, int, int]  # object, group, Unix milliseconds


@dataclass(frozen=True, slots=True)
class IssuedPurge:
    """A purge that the run issued at `issued_us` (Unix microseconds)."""

    object: int
    group: int
    unix_ms: int
    issued_us: int

    @property
    def identity(self) -> PurgeIdentity:
        """The key of the purge in the records of fronts and control nodes."""
        return self.object, self.group, self.unix_ms


@dataclass(frozen=True, slots=True)
class Disconnection:
    """A period in which a front was disconnected and may have missed purges, in Unix microseconds."""

    begin_us: int
    end_us: int


@dataclass(slots=True)
class FrontIncarnation:
    """One incarnation of a front: from a start of its process to its end.

    Attributes:
        front: Name of the front.
        start_ms: Start in Unix milliseconds; 0 if not known yet.
        connected_us: Unix microseconds from which on every purge must reach the front.
        end_us: End in Unix microseconds; 0 while the front runs.
        disconnections: Periods in which the front was disconnected.
    """

    front: str
    start_ms: int
    connected_us: int
    end_us: int = 0
    disconnections: list[Disconnection] = field(default_factory=list)

    def must_apply(self, issued_us: int, deadline_us: int) -> bool:
        """Whether this incarnation has to apply, within the deadline, a purge issued at `issued_us`."""
        if issued_us < self.connected_us or (self.end_us and issued_us + deadline_us > self.end_us):
            return False
        return not any(
            disconnection.begin_us <= issued_us + deadline_us
            and issued_us <= disconnection.end_us + RECONNECT_US
            for disconnection in self.disconnections
        )


@dataclass(frozen=True, slots=True)
class Confirmation:
    """`control status` showed a purge as applied everywhere at `confirmed_us` (Unix microseconds)."""

    object: int
    group: int
    unix_ms: int
    confirmed_us: int

    @property
    def identity(self) -> PurgeIdentity:
        """The key of the confirmed purge."""
        return self.object, self.group, self.unix_ms


@dataclass(slots=True)
class Violations:
    """The number of times that a rule was broken; `notes` describes the first `MAX_NOTES` cases."""

    count: int = 0
    notes: list[str] = field(default_factory=list)

    def add(self, note: str) -> None:
        """Count one violation."""
        self.count += 1
        if len(self.notes) < MAX_NOTES:
            self.notes.append(note)


class AppliedIndex:
    """The time at which each incarnation of a front first applied each purge."""

    def __init__(self, applied: Iterable[AppliedPurge]) -> None:
        self.times: dict[PurgeIdentity, dict[tuple[str, int], int]] = defaultdict(dict)
        for record in applied:
            self.add(record)

    def add(self, record: AppliedPurge) -> None:
        """Add one record; the earliest time counts."""
        fronts = self.times[record.object, record.group, record.unix_ms]
        key = record.front, record.start_ms
        fronts[key] = min(record.applied_us, fronts.get(key, record.applied_us))

    def first_applied_us(self, identity: PurgeIdentity, incarnation: FrontIncarnation) -> int | None:
        """Unix microseconds at which the incarnation first applied the purge; None if it has not."""
        return self.times.get(identity, {}).get((incarnation.front, incarnation.start_ms))


def missed_purges(
    issued: list[IssuedPurge], index: AppliedIndex, incarnations: list[FrontIncarnation]
) -> Violations:
    """Find purges that a running front never applied.

    Disconnections are not considered: all ended before this check, so the front must have caught up.
    """
    found = Violations()
    for incarnation in incarnations:
        if incarnation.end_us:
            continue
        for purge in issued:
            if (
                purge.issued_us >= incarnation.connected_us
                and index.first_applied_us(purge.identity, incarnation) is None
            ):
                found.add(f"{incarnation.front} never applied {purge.identity}")
    return found


def purge_latencies_s(
    issued: list[IssuedPurge], index: AppliedIndex, incarnations: list[FrontIncarnation], deadline_us: int
) -> dict[PurgeIdentity, float]:
    """Return for each purge the seconds until every front that has to apply it has done so.

    Omits purges that no front has to apply and purges that one of these fronts never applied.
    """
    seconds: dict[PurgeIdentity, float] = {}
    for purge in issued:
        required = [
            incarnation
            for incarnation in incarnations
            if incarnation.must_apply(purge.issued_us, deadline_us)
        ]
        applied = [
            applied_us
            for incarnation in required
            if (applied_us := index.first_applied_us(purge.identity, incarnation)) is not None
        ]
        if applied and len(applied) == len(required):
            seconds[purge.identity] = max(0, max(applied) - purge.issued_us) / 1e6
    return seconds


def seconds_after_heal(
    issued: list[IssuedPurge], index: AppliedIndex, incarnations: list[FrontIncarnation]
) -> float | None:
    """Return the longest time, in seconds, until a front applied a purge issued during a disconnection.

    Purges issued in the `RECONNECT_US` after the disconnection count too. The time begins at the end of the
    disconnection, or at the issue of the purge if that was later. Fronts that ended before `RECONNECT_US` had
    passed are left out. Return None if there was no such purge, or if one was never applied.
    """
    longest: float | None = None
    for incarnation in incarnations:
        for disconnection in incarnation.disconnections:
            if incarnation.end_us and incarnation.end_us <= disconnection.end_us + RECONNECT_US:
                continue
            for purge in issued:
                if not disconnection.begin_us <= purge.issued_us < disconnection.end_us + RECONNECT_US:
                    continue
                applied_us = index.first_applied_us(purge.identity, incarnation)
                if applied_us is None:
                    return None
                seconds = max(0, applied_us - max(purge.issued_us, disconnection.end_us)) / 1e6
                longest = seconds if longest is None else max(longest, seconds)
    return longest


def stale_versions(
    cached: list[CachedVersion],
    cached_at_us: int,
    issued: list[IssuedPurge],
    confirmed: list[Confirmation],
    incarnations: list[FrontIncarnation],
    deadline_us: int,
) -> Violations:
    """Find cached versions that a purge should have removed.

    A purge should have removed a version if it was confirmed as applied everywhere before the fronts reported
    their versions, or if its deadline had passed by then and the front was connected.

    Args:
        cached: The versions that the fronts reported.
        cached_at_us: The time of these reports, Unix microseconds.
        issued: The purges that the run issued.
        confirmed: The purges that `control status` showed as applied everywhere.
        incarnations: The incarnations of all fronts.
        deadline_us: The time within which a connected front has to apply a purge, in microseconds.
    """
    confirmed_at = {entry.identity: entry.confirmed_us for entry in reversed(confirmed)}
    current = {incarnation.front: incarnation for incarnation in incarnations if not incarnation.end_us}
    by_target: dict[tuple[str, int], list[IssuedPurge]] = defaultdict(list)
    for purge in issued:
        by_target[("object", purge.object) if purge.object else ("group", purge.group)].append(purge)
    found = Violations()
    for version in cached:
        purges = by_target[("object", version.object)] + by_target[("group", group_of(version.object))]
        for purge in purges:
            if version.issued_ms > purge.unix_ms:
                continue
            done = confirmed_at.get(purge.identity, cached_at_us + 1) <= cached_at_us
            incarnation = current.get(version.front)
            overdue = (
                incarnation is not None
                and cached_at_us - purge.issued_us > deadline_us
                and incarnation.must_apply(purge.issued_us, deadline_us)
            )
            if done or overdue:
                found.add(
                    f"{version.front} has object {version.object:x} as issued at {version.issued_ms} ms, "
                    f"purged at {purge.unix_ms} ms"
                )
                break
    return found


def false_confirmations(
    confirmed: list[Confirmation], index: AppliedIndex, incarnations: list[FrontIncarnation]
) -> Violations:
    """Find purges that were confirmed as applied everywhere before every running front had applied them.

    Only incarnations that ran at the time of the confirmation are checked, as the control plane cannot wait
    for fronts that start later.
    """
    found = Violations()
    for confirmation in confirmed:
        for incarnation in incarnations:
            running = incarnation.start_ms * MILLISECOND_US <= confirmation.confirmed_us and not (
                incarnation.end_us and incarnation.end_us <= confirmation.confirmed_us
            )
            if not running:
                continue
            applied_us = index.first_applied_us(confirmation.identity, incarnation)
            if applied_us is None or applied_us > confirmation.confirmed_us:
                found.add(
                    f"purge {confirmation.identity} was confirmed, but {incarnation.front} had not applied it"
                )
    return found
