"""Datagrams between fronts that are peers. Lost, late and garbled datagrams do no harm."""

from __future__ import annotations

import itertools
import zlib
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import gevent
from gevent import socket

from ..fleet.anti_entropy import AntiEntropy
from ..model.peer_update import PeerUpdate
from ..protocols.update_datagrams import (
    MAX_DATAGRAM_BYTES,
    Message,
    UpdateQuery,
    UpdateReply,
    decode,
    encode,
)
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from .sockets import BIND_RETRY_PAUSE_S, CALLS_PER_TURN, RETRY_PAUSE_S

Address = tuple[str, int]


class FleetListener(Protocol):
    """Handles datagrams of the fleet, if this front belongs to one."""

    def handle_datagram(self, data: bytes, sender: Address) -> bool:
        """Process a datagram that is no anti-entropy message; return False if its kind is unknown."""

    def handle_new_peers(self) -> None:
        """Update the agent after the list of peers was replaced."""


class PeerSocket:
    """The datagram socket of a front, which exchanges anti-entropy messages with its peers.

    Args:
        listen: The address of this front, to which the socket is bound.
        peers: The addresses of all fronts; their order gives the member numbers. May include this front.
        seed: Seed of the pseudorandom choice of peers to query.
        anti_entropy: The updates that this front has received, and its state of anti-entropy.
        on_update: Called with each new update from a peer.
        last_discovery_contact: Returns when a line of the discovery service was last received, ns; 0: never.
        guard: Records exceptions, and provides the counters.
        broadcast_address: An address that reaches all fronts, if there is one.
    """

    def __init__(
        self,
        listen: Address,
        peers: list[Address],
        seed: int,
        anti_entropy: AntiEntropy,
        on_update: Callable[[PeerUpdate], None],
        last_discovery_contact: Callable[[], int],
        guard: ErrorGuard,
        broadcast_address: Address | None = None,
    ) -> None:
        self.listen = listen
        self.seed = seed
        self.query_count = 0
        self.anti_entropy = anti_entropy
        self.on_update = on_update
        self.last_discovery_contact = last_discovery_contact
        self.guard = guard
        self.counters = guard.counters
        self.broadcast_address: Address | None = None
        self.fleet: FleetListener | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.is_bound = False
        with suppress(OSError):  # `run` retries
            self._bind()
        self.replace_peers(peers, broadcast_address)

    def attach_fleet(self, fleet: FleetListener) -> None:
        """Pass datagrams of the fleet to its agent from now on."""
        self.fleet = fleet

    def replace_peers(self, peers: list[Address], broadcast_address: Address | None) -> None:
        """Replace the list of peers, and the broadcast address if a new one is given."""
        self.broadcast_address = broadcast_address or self.broadcast_address
        self.addresses = peers
        self.member_numbers = {address: number for number, address in enumerate(peers)}
        self.others = [address for address in peers if address != self.listen]
        if self.fleet:
            self.fleet.handle_new_peers()

    def record(self, update: PeerUpdate) -> None:
        """Record a removal or purge from the discovery service, for peers that query."""
        self.anti_entropy.record(update, clock.now())

    def tick(self) -> None:
        """Send the queries to peers that are due."""
        self._record_discovery_contact()
        if not self.others:
            return
        for query in self.anti_entropy.next_queries(clock.now()):
            self.query_count += 1
            position = zlib.crc32(b"%d %d" % (self.seed, self.query_count)) % len(self.others)
            self.counters.add("peer.queries")
            self.send(query, self.others[position])

    def send(self, message: Message, receiver: Address) -> None:
        """Encode and send a message; drop it if it is too long."""
        data = encode(message)
        if data is None:
            self.counters.add("peer.too_long")
            return
        self.send_data(data, receiver)

    def send_data(self, data: bytes, receiver: Address) -> None:
        """Send a datagram; drop it if sending would block or fails.

        Nothing is sent before the socket is bound, as peers ignore datagrams from unlisted addresses.
        """
        if not self.is_bound:
            self.counters.add("peer.not_sent")
            return
        self.sock.settimeout(0.0)
        try:
            self.sock.sendto(data, receiver)
            self.counters.add("peer.sent")
        except OSError:
            self.counters.add("peer.not_sent")
        finally:
            self.sock.settimeout(None)

    def run(self) -> None:
        """Bind the socket once the address is free, then receive datagrams forever."""
        self._wait_until_bound()
        for count in itertools.count(1):
            if not count % CALLS_PER_TURN:  # a flood of datagrams or errors must not starve other greenlets
                gevent.sleep(0)
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # for example, the port of a peer is unreachable
                self.counters.add("peer.receive_errors")
                gevent.sleep(RETRY_PAUSE_S)
                continue
            self.counters.add("peer.received" if self._dispatch(data, sender) else "peer.dropped")

    def _bind(self) -> None:
        self.sock.bind(self.listen)
        self.is_bound = True

    def _wait_until_bound(self) -> None:
        while not self.is_bound:
            try:
                self._bind()
            except OSError:
                self.counters.add("peer.not_bound")
                gevent.sleep(BIND_RETRY_PAUSE_S)

    def _dispatch(self, data: bytes, sender: Address) -> bool:
        """Process a datagram; return False if its sender or its kind is unknown."""
        if sender not in self.member_numbers:
            return False
        message = decode(data)
        if message:
            self.guard.call("peer", self._receive, message, sender)
            return True
        if self.fleet is None:
            return False
        return bool(self.guard.call("peer", self.fleet.handle_datagram, data, sender))

    def _receive(self, message: Message, sender: Address) -> None:
        now = clock.now()
        if isinstance(message, UpdateQuery):
            self._record_discovery_contact()
            for reply in self.anti_entropy.answer(message, now):
                self.send(reply, sender)
        elif isinstance(message, UpdateReply):
            for update in self.anti_entropy.apply_reply(message, now):
                self.on_update(update)
        elif self.anti_entropy.record(message, now):
            self.on_update(message)

    def _record_discovery_contact(self) -> None:
        if contact_at := self.last_discovery_contact():
            self.anti_entropy.record_contact(contact_at)
