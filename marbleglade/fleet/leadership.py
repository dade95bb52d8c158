"""Leadership: one front performs a task for the whole fleet, under a lease with a growing term.

The preferred holder of a task is chosen by weighted rendezvous hashing over the members that are alive
(Thaler, Ravishankar 1998). Two leaders at once do no harm: the later term overrides the earlier one, and a
leader that receives a later term steps down until the later leader has been silent for a lease. A leader that
is no longer the preferred holder by its own membership view also steps down.

This module does no I/O, reads no clock and has no randomness; times are nanoseconds of the caller's monotonic
clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from functools import lru_cache

from ..runtime.stable_hash import HASH_LIMIT, stable_hash

LEASE_PERIODS = 3  # periods without a message of the leader after which another front takes over
EXTRA_PROBERS = 8  # expected number of fronts that probe an open circuit beside the assigned prober
VIEWS_PER_ROTATION = 8  # views after which other fronts become the extra probers
MAX_TERM_JUMP = 1 << 20  # a term that exceeds the latest one by more than this is ignored as invalid
NO_LEADER = -1
# The rendezvous hash key of extra half-open probes, by upstream and rotation. All fronts need the same text.
EXTRA_PROBE_TASK = b"try %d %d"


def _equal_weight(_: int) -> float:
    return 1.0


@lru_cache(1 << 14)
def rendezvous_draw(task: bytes, number: int) -> float:
    """Hash a task and a member number to a fraction in (0, 1) that is the same at all fronts."""
    return (stable_hash(b"%d " % number + task) + 1) / (HASH_LIMIT + 1)


def preferred_holder(
    task: bytes, members: Iterable[int], weight: Callable[[int], float] = _equal_weight
) -> int | None:
    """Return the member that should hold a task; few tasks get another holder when members join or leave.

    Args:
        task: The task's name, which is hashed.
        members: The numbers of the candidates.
        weight: Returns a member's weight. The probability of a member is proportional to its weight, and a
            member of weight 0 is excluded.
    """
    best_score = math.inf
    best = None
    for number in members:
        member_weight = weight(number)
        if member_weight <= 0:
            continue
        score = -math.log(rendezvous_draw(task, number)) / member_weight
        if score < best_score:
            best_score, best = score, number
    return best


def is_extra_prober(upstream: int, reporters: int, number: int, view_number: int) -> bool:
    """Return whether a front probes an open circuit beside its assigned prober.

    Where very many fronts have the circuit open, each front rarely receives requests for objects that this
    upstream caches, so a single prober would detect its recovery late. The extra probers rotate.

    Args:
        upstream: The upstream's number.
        reporters: Number of fronts that have the circuit open.
        number: The front's number.
        view_number: The sequence number of the view.
    """
    if reporters <= EXTRA_PROBERS:
        return False
    rotation = view_number // VIEWS_PER_ROTATION
    return rendezvous_draw(EXTRA_PROBE_TASK % (upstream, rotation), number) * reporters < EXTRA_PROBERS


class Leadership:
    """One front's state in the leadership of a task.

    Args:
        task: The task's name.
        own_number: The number of this front.
        period: Nanoseconds between two messages of the leader.
        now: The current time, ns.
    """

    def __init__(self, task: bytes, own_number: int, period: int, now: int) -> None:
        self.task = task
        self.own_number = own_number
        self.period = period
        self.term = 0  # the latest term received or started
        self.leader = NO_LEADER  # the leader of that term
        self.last_contact_at = now  # time of the last message of that leader, ns
        self.is_leader = False

    def tick(self, is_preferred: bool, now: int) -> bool:
        """Take over or step down if necessary, and return whether this front leads.

        Args:
            is_preferred: Whether this front is the preferred holder by its own membership view.
            now: The current time, ns.
        """
        if self.is_leader:
            self.is_leader = is_preferred
        elif is_preferred and self._is_vacant(now):
            self.is_leader = True
            self.leader = self.own_number
            self.term += 1
        if self.is_leader:
            self.last_contact_at = now
        return self.is_leader

    def accept_leader(self, term: int, leader: int, now: int) -> bool:
        """Process the term of a leader's message; false if the message must be ignored."""
        if (term, leader) < (self.term, self.leader) or term > self.term + MAX_TERM_JUMP:
            return False
        if leader != self.own_number:
            self.is_leader = False
        self.term = term
        self.leader = leader
        self.last_contact_at = now
        return True

    def _is_vacant(self, now: int) -> bool:
        return self.leader == self.own_number or now - self.last_contact_at > LEASE_PERIODS * self.period
