"""Table of the fleet's members: their status by the rules of SWIM, and the updates to send to other members.

Of two updates about a member, the one with the later start time overrides the other. With equal start times
the incarnation decides, and then the status. A suspicion expires sooner the more members confirm it, and a
front refutes a suspicion about itself.

This module does no I/O and reads no clock, and its randomness is seeded; see `membership`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..runtime.units import MILLISECOND_NS
from .gossip_messages import MemberStatus, MemberUpdate, Precedence
from .seeded_random import seeded_fraction
from .update_queue import UpdateQueue

# Ratios to the probe interval.
MIN_SUSPICION_RATIO = 2  # the shortest suspicion, per decimal logarithm of the number of members
MAX_SUSPICION_RATIO = 6  # the longest suspicion, per decimal logarithm of the number of members
NEW_MEMBER_TIME = 16  # time after a change of a member for which messages to it include the state of others

MAX_CONFIRMATIONS = 3  # confirmations with which a suspicion is the shortest
MAX_LOCAL_HEALTH = 4  # worst value of the local health multiplier; 0 is the best
MAX_UPDATES_PER_DATAGRAM = 10  # member updates in one datagram
MAX_START_AHEAD_MS = 60_000  # an update with a start time further ahead of the clock than this is invalid


@dataclass(slots=True)
class Member:
    """The state of one member, by the latest update about it.

    Attributes:
        status: The member's status.
        started_ms: Start time of the member's process, in Unix milliseconds; 0 until an update states it.
        incarnation: Number of suspicions that this process has refuted.
        suspicion_ends_at: Time at which a suspected member is declared dead, ns.
        changed_at: Time of the last change of start, incarnation or status, ns.
        suspected_by: Numbers of the members that suspect this one.
    """

    status: MemberStatus = MemberStatus.ALIVE
    started_ms: int = 0
    incarnation: int = 0
    suspicion_ends_at: int = 0
    changed_at: int = 0
    suspected_by: set[int] = field(default_factory=set)

    @property
    def precedence(self) -> Precedence:
        """The precedence that an update about this member has to exceed."""
        return Precedence(self.started_ms, self.incarnation, self.status)


class MemberTable:
    """One front's view of all members.

    Args:
        own_number: The number of this front.
        count: Number of members in the list of peers.
        started_ms: When this front started, in Unix milliseconds.
        probe_interval: Nanoseconds between two probes that a front sends; all timeouts are ratios to it.
        now: The current time, ns.
        seed: Seed of the random choices.
    """

    def __init__(
        self, own_number: int, count: int, started_ms: int, probe_interval: int, now: int, seed: int
    ) -> None:
        self.own_number = own_number
        self.probe_interval = probe_interval
        self.seed = seed
        self.draw_count = 0
        self.members: dict[int, Member] = {number: Member() for number in range(count)}
        self.own_entry = self.members[own_number]
        self.own_entry.started_ms = started_ms
        self.local_health = 0  # Lifeguard's local health multiplier
        self.last_tick_at = now
        self.created_at = now
        self.created_ms = started_ms
        self.update_queue = UpdateQueue()
        self.version = 0  # grows with each change of the list of members or of those alive
        self.is_leaving = False
        self._enqueue(self.own_update())

    def alive(self) -> list[int]:
        """Return the numbers of the members that are alive, with this front unless it is leaving."""
        return [number for number, member in self.members.items() if member.status.is_alive]

    def alive_peers(self) -> list[int]:
        """Return the numbers of the members that are alive, without this front."""
        return [number for number in self.alive() if number != self.own_number]

    def healthy(self) -> list[int]:
        """Return the numbers of the unsuspected members, or of all alive members if all are suspected."""
        unsuspected = [
            number for number, member in self.members.items() if member.status is MemberStatus.ALIVE
        ]
        return unsuspected or self.alive()

    def resize(self, count: int) -> None:
        """Add or remove members after a change of the number of peers."""
        removed = [number for number in self.members if number >= count and number != self.own_number]
        for number in removed:
            del self.members[number]
            self.update_queue.discard(number)
        for number in range(count):
            self.members.setdefault(number, Member())
        self.version += 1

    def own_update(self) -> MemberUpdate:
        """Return the update that this front sends about itself."""
        status = MemberStatus.LEFT if self.is_leaving else MemberStatus.ALIVE
        entry = self.own_entry
        return MemberUpdate(self.own_number, status, entry.started_ms, entry.incarnation)

    def updates_for(self, receiver: int) -> list[MemberUpdate]:
        """Return the updates to piggyback on a message to the member `receiver`.

        A suspicion or death of the receiver comes first, so that the receiver can refute it.
        """
        entry = self.members.get(receiver)
        updates: list[MemberUpdate] = []
        excluded = None
        if entry and entry.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            updates.append(self._update_from_entry(receiver))
            excluded = receiver
        updates += self.update_queue.take(MAX_UPDATES_PER_DATAGRAM - len(updates), excluded)
        if entry and self.last_tick_at - entry.changed_at < NEW_MEMBER_TIME * self.probe_interval:
            self._add_state_for_new_member(receiver, updates)
        return updates

    def apply_update(self, update: MemberUpdate, now: int) -> None:
        """Apply an update if its precedence exceeds that of the described member's entry."""
        entry = self.members.get(update.number)
        latest_start_ms = self.created_ms + (now - self.created_at) // MILLISECOND_NS + MAX_START_AHEAD_MS
        if entry is None or update.started_ms > latest_start_ms:
            return
        if update.number == self.own_number:
            self.refute(update)
            return
        if (
            update.status is MemberStatus.SUSPECT
            and entry.status is MemberStatus.SUSPECT
            and (update.started_ms, update.incarnation) == (entry.started_ms, entry.incarnation)
        ):
            self._confirm_suspicion(entry, update)
            return
        if update.precedence <= entry.precedence:
            return
        was_alive = entry.status.is_alive
        entry.started_ms = update.started_ms
        entry.incarnation = update.incarnation
        entry.status = update.status
        entry.suspected_by = {update.source}
        entry.changed_at = now
        entry.suspicion_ends_at = now + self._suspicion_timeout(0)
        if entry.status.is_alive is not was_alive:
            self.version += 1
        self._enqueue(update)

    def refute(self, update: MemberUpdate) -> None:
        """Announce that this front is alive if an update about it states another status."""
        if self.is_leaving or update.status is MemberStatus.ALIVE:
            return
        if update.precedence <= self.own_entry.precedence:
            # The update is outdated, so its sender has not received the newer one yet.
            if self.own_number not in self.update_queue:
                self._enqueue(self.own_update())
            return
        self.own_entry.started_ms = update.started_ms
        self.own_entry.incarnation = update.incarnation + 1
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
        self._enqueue(self.own_update())

    def _random(self) -> float:
        self.draw_count += 1
        return seeded_fraction(b"%d %d" % (self.seed, self.draw_count))

    def _sample(self, numbers: list[int], count: int) -> list[int]:
        """Return up to `count` of the numbers, drawn at random without replacement."""
        remaining = list(numbers)
        return [
            remaining.pop(int(self._random() * len(remaining))) for _ in range(min(count, len(remaining)))
        ]

    def _enqueue(self, update: MemberUpdate) -> None:
        self.update_queue.put(update, len(self.members))

    def _update_from_entry(self, number: int) -> MemberUpdate:
        """Return an update with the entry of a member in this table, with this front as the source."""
        entry = self.members[number]
        return MemberUpdate(number, entry.status, entry.started_ms, entry.incarnation, self.own_number)

    def _add_state_for_new_member(self, receiver: int, updates: list[MemberUpdate]) -> None:
        """Fill up the updates with this front, then unreachable members, then others.

        A recently started member has all listed members as alive, without their start times.
        """
        included = {update.number for update in updates} | {receiver}
        if self.own_number not in included and len(updates) < MAX_UPDATES_PER_DATAGRAM:
            updates.append(self.own_update())
            included.add(self.own_number)
        known = [
            number for number, entry in self.members.items() if entry.started_ms and number not in included
        ]
        unreachable = [number for number in known if not self.members[number].status.is_alive]
        free = MAX_UPDATES_PER_DATAGRAM - len(updates)
        picked = self._sample(unreachable, free)
        picked += self._sample([number for number in known if number not in picked], free - len(picked))
        updates += [self._update_from_entry(number) for number in picked]

    def _confirm_suspicion(self, entry: Member, update: MemberUpdate) -> None:
        """Shorten a suspicion if the update's source is one more member that confirms it."""
        if update.source in entry.suspected_by or len(entry.suspected_by) > MAX_CONFIRMATIONS:
            return
        entry.suspected_by.add(update.source)
        self._enqueue(update)
        timeout = self._suspicion_timeout(len(entry.suspected_by) - 1)
        entry.suspicion_ends_at = min(entry.suspicion_ends_at, entry.changed_at + timeout)

    def _suspicion_timeout(self, confirmations: int) -> int:
        """Return the duration of a suspicion with this number of confirmations, in nanoseconds."""
        shortening = math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1)
        log_size = max(1.0, math.log10(max(1, len(self.members))))
        ratio = max(
            MIN_SUSPICION_RATIO,
            MAX_SUSPICION_RATIO - (MAX_SUSPICION_RATIO - MIN_SUSPICION_RATIO) * shortening,
        )
        return int(self.probe_interval * log_size * ratio)
