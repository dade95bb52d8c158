"""Datagrams between the fronts of a tier. They are hints: lost, late or garbled ones do no harm."""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket

from ..life.guard import Guard
from .datagrams import LONGEST, Hint, decode, encode


class Peers:
    def __init__(self, listen: tuple[str, int], peers: list[tuple[str, int]], everyone: tuple[str, int],
                 heed: Callable[[Hint], None], guard: Guard) -> None:
        self.peers, self.everyone, self.heed = set(peers), everyone, heed
        self.guard, self.counters = guard, guard.counters
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)

    def renew(self, peers: list[tuple[str, int]], everyone: tuple[str, int] | None) -> None:
        self.peers, self.everyone = set(peers), everyone or self.everyone

    def tell(self, hint: Hint) -> None:
        """To every front of the tier; what can't go at once does not go."""
        data = encode(hint)
        if data is None:
            self.counters.add("peer.too_long")
            return
        self.sock.settimeout(0.0)
        try:
            self.sock.sendto(data, self.everyone)
            self.counters.add("peer.sent")
        except OSError:
            self.counters.add("peer.not_sent")
        finally:
            self.sock.settimeout(None)

    def run(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(LONGEST + 1)
            except OSError:     # a peer that is gone may answer so
                self.counters.add("peer.trouble")
                continue
            hint = decode(data) if sender in self.peers else None
            self.counters.add("peer.heard" if hint else "peer.dropped")
            if hint:
                self.guard.run("peer", self.heed, hint)
