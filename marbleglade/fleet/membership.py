"""Membership of the fleet: which fronts are alive, by gossip with probes, suspicion and refutation.

The protocol is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey
2018): a front whose own probes fail waits longer before it suspects others, a suspected member is notified
first, and a suspicion expires sooner the more members confirm it. A member that leaves intentionally has a
status distinct from that of a dead member. Members that left or died are still probed, at a lower rate, so
that the parts of a partitioned fleet merge again once the network recovers.

This module does no I/O and reads no clock, and its randomness is seeded. Times are integer nanoseconds of the
caller's monotonic clock, a member's number is its position in the list of peers, and its start time is in
Unix milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .gossip_messages import Ack, Gossip, MemberStatus, MemberUpdate, Outgoing, Ping, PingRequest
from .member_table import MAX_LOCAL_HEALTH, MemberTable

ACK_TIMEOUT = 1 / 3  # share of the probe timeout after which indirect probes are requested
PAUSE_THRESHOLD = 2  # probe intervals; more time between two ticks means that the process was paused

# Number of members that are requested to probe a target indirectly, and that a leaving front notifies.
INDIRECT_PROBES = 3
PROBES_PER_UNREACHABLE_PROBE = 4  # every fourth probe goes to a member that left or died, if there is any


@dataclass(slots=True, frozen=True)
class ProbeRequester:
    """The member that requested an indirect probe, and the sequence number of the request."""

    member: int
    sequence: int


@dataclass(slots=True)
class Probe:
    """A ping that has not been acknowledged yet."""

    target: int
    sent_at: int  # ns
    is_indirect: bool = False  # whether this front has requested indirect probes of the target
    requester: ProbeRequester | None = None  # set if another member requested this probe


class Membership(MemberTable):
    """The membership protocol of one front, which probes members and answers their messages."""

    def __init__(
        self, own_number: int, count: int, started_ms: int, probe_interval: int, now: int, seed: int
    ) -> None:
        super().__init__(own_number, count, started_ms, probe_interval, now, seed)
        self.last_sequence = 0
        self.probe_count = 0
        self.next_probe_at = now + int(probe_interval * self._random())
        self.probes: dict[int, Probe] = {}  # unacknowledged probes by sequence number
        self.probe_order: list[int] = []  # members still to probe in this round, the next one last

    def leave(self, now: int) -> list[Outgoing[Gossip]]:
        """Leave the fleet intentionally: notify a few members at once, and start no more probe rounds."""
        self.is_leaving = True
        self.own_entry.status = MemberStatus.LEFT
        self.version += 1
        self._enqueue(self.own_update())
        return [self._ping(number, now) for number in self._sample(self.alive_peers(), INDIRECT_PROBES)]

    def rejoin(self) -> None:
        """Undo `leave`: announce this front as alive, with a new incarnation."""
        self.is_leaving = False
        self.own_entry.status = MemberStatus.ALIVE
        self.own_entry.incarnation += 1
        self.version += 1
        self._enqueue(self.own_update())

    def tick(self, now: int) -> list[Outgoing[Gossip]]:
        """Run the timers and return the messages that are due; called several times per probe interval."""
        if now - self.last_tick_at > self.probe_interval * PAUSE_THRESHOLD:
            self._compensate_for_pause(now - self.last_tick_at)
        self.last_tick_at = now
        timeout = self.probe_interval * (1 + self.local_health)
        outgoing = self._check_probes(timeout, now)
        self._expire_suspicions(now)
        if now >= self.next_probe_at and not self.is_leaving:
            self.next_probe_at = max(self.next_probe_at + timeout, now + timeout // 2)
            target = self._next_probe_target()
            if target is not None:
                outgoing.append(self._ping(target, now))
        return outgoing

    def receive(self, sender: int, message: Gossip, now: int) -> list[Outgoing[Gossip]]:
        """Apply the updates of a message, and return the messages to send to its sender or to others."""
        for update in message.updates:
            self.apply_update(update, now)
        if isinstance(message, Ping):
            if message.target != self.own_number:
                return []
            return [Outgoing(sender, Ack(message.sequence, self.updates_for(sender)))]
        if isinstance(message, PingRequest):
            return self._probe_on_behalf(sender, message, now)
        return self._receive_ack(message)

    def _compensate_for_pause(self, paused: int) -> None:
        """Discard probes, extend suspicions and set the local health to its worst value after a pause.

        A paused process reads no messages, so their absence does not show that the members failed.
        """
        self.probes.clear()
        self.local_health = MAX_LOCAL_HEALTH
        for member in self.members.values():
            member.suspicion_ends_at += paused

    def _check_probes(self, timeout: int, now: int) -> list[Outgoing[Gossip]]:
        """Request indirect probes where an acknowledgement is late, and suspect targets after the timeout.

        Each timeout also worsens the local health. A probe that another member requested is only discarded.
        """
        outgoing: list[Outgoing[Gossip]] = []
        for sequence, probe in list(self.probes.items()):
            waited = now - probe.sent_at
            if not probe.is_indirect and not probe.requester and waited >= timeout * ACK_TIMEOUT:
                probe.is_indirect = True
                outgoing += self._request_indirect_probes(sequence, probe.target)
            if waited >= timeout:
                del self.probes[sequence]
                if not probe.requester:
                    self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
                    self._suspect(probe.target, now)
        return outgoing

    def _request_indirect_probes(self, sequence: int, target: int) -> list[Outgoing[Gossip]]:
        helpers = self._sample([number for number in self.alive_peers() if number != target], INDIRECT_PROBES)
        return [
            Outgoing(helper, PingRequest(sequence, target, self.updates_for(helper))) for helper in helpers
        ]

    def _expire_suspicions(self, now: int) -> None:
        for number, entry in self.members.items():
            is_expired = entry.status is MemberStatus.SUSPECT and now >= entry.suspicion_ends_at
            if is_expired and number != self.own_number:
                self._apply_observation(number, MemberStatus.DEAD, now)

    def _suspect(self, number: int, now: int) -> None:
        entry = self.members.get(number)
        if entry and entry.status.is_alive:
            self._apply_observation(number, MemberStatus.SUSPECT, now)

    def _apply_observation(self, number: int, status: MemberStatus, now: int) -> None:
        """Apply a status that this front has determined itself, for a probed or suspected member."""
        entry = self.members[number]
        update = MemberUpdate(number, status, entry.started_ms, entry.incarnation, self.own_number)
        self.apply_update(update, now)

    def _next_probe_target(self) -> int | None:
        """Return the next member to probe; None if there is none.

        Every fourth target is a member that left or died, if there is any. The others are the alive members,
        each once per round in random order.
        """
        self.probe_count += 1
        if self.probe_count % PROBES_PER_UNREACHABLE_PROBE == 0:
            unreachable = [number for number, entry in self.members.items() if not entry.status.is_alive]
            if unreachable:
                return unreachable[int(self._random() * len(unreachable))]
        while self.probe_order:
            number = self.probe_order.pop()
            if number in self.members and self.members[number].status.is_alive:
                return number
        peers = self.alive_peers()
        self.probe_order = self._sample(peers, len(peers))
        return self.probe_order.pop() if self.probe_order else None

    def _ping(self, target: int, now: int, requester: ProbeRequester | None = None) -> Outgoing[Gossip]:
        self.last_sequence = (self.last_sequence + 1) & 0xFFFF_FFFF
        self.probes[self.last_sequence] = Probe(target, now, requester=requester)
        return Outgoing(target, Ping(self.last_sequence, target, self.updates_for(target)))

    def _probe_on_behalf(self, sender: int, request: PingRequest, now: int) -> list[Outgoing[Gossip]]:
        """Probe a member for a requester; one at a time for each requester, which bounds the traffic."""
        is_known = request.target in self.members and request.target != self.own_number
        is_busy = any(probe.requester and probe.requester.member == sender for probe in self.probes.values())
        if not is_known or is_busy:
            return []
        return [self._ping(request.target, now, ProbeRequester(sender, request.sequence))]

    def _receive_ack(self, ack: Ack) -> list[Outgoing[Gossip]]:
        probe = self.probes.pop(ack.sequence, None)
        if probe is None:
            return []
        if probe.requester:
            receiver = probe.requester.member
            return [Outgoing(receiver, Ack(probe.requester.sequence, self.updates_for(receiver)))]
        self.local_health = max(0, self.local_health - 1)
        return []
