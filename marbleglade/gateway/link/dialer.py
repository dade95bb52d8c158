"""Connects the links to another region, runs the connections, and detaches requests when one is closed."""

from __future__ import annotations

import zlib
from functools import partial

import gevent
from gevent import socket

from ...runtime import clock
from ...runtime.units import MILLISECOND_NS, SECOND_NS
from ...transport.upstream_connection import UpstreamResult
from . import recovery
from .connection import (
    CONNECTION_WINDOW_BYTES,
    INITIAL_CREDIT_BYTES,
    LinkConnection,
    MessageHandlers,
)
from .frames import VERSION
from .links import ForwardedRequest, Link, RegionLinks
from .messages import Hello
from .recovery import AwaitLink

MIN_BACKOFF_SHIFT = 4  # the shortest pause between two attempts to connect is the silence timeout / 2**n
MAX_BACKOFF_DOUBLINGS = 5
MIN_JITTER_FACTOR = 0.5  # the pause is multiplied by a factor from this value to one above it


class LinkDialer:
    """Connects the links to one region and runs their connections.

    Args:
        region_links: The links to the region.
        handlers: The handlers by type of message; each is called with the link and the message.
    """

    def __init__(self, region_links: RegionLinks, handlers: MessageHandlers) -> None:
        self._region_links = region_links
        self._handlers = handlers
        self._silence_timeout_ns = region_links.settings.silence_timeout_ns
        self._jitter_draws = 0

    def _next_jitter(self) -> float:
        """Return the next pseudorandom number from 0 to 1; this gateway's start time seeds the sequence."""
        self._jitter_draws += 1
        seed = b"%d %d" % (self._region_links.ends.start_ms, self._jitter_draws)
        return zlib.crc32(seed) / 2**32

    def maintain_link(self, link: Link) -> None:
        """Connect one link, and reconnect it after each disconnection, as long as the gateway runs."""
        while True:
            self._region_links.guard.call("link", self._connect, link)
            # The pause grows up to the silence timeout, so that a recovering region is not flooded.
            doublings = min(link.dial_attempts, MAX_BACKOFF_DOUBLINGS)
            pause = min(
                self._silence_timeout_ns, (self._silence_timeout_ns >> MIN_BACKOFF_SHIFT) << doublings
            )
            gevent.sleep(pause * (MIN_JITTER_FACTOR + self._next_jitter()) / SECOND_NS)

    def _connect(self, link: Link) -> None:
        """Try to connect once, and run the connection until it is closed."""
        link.dial_attempts += 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(self._silence_timeout_ns / SECOND_NS)
            sock.connect(link.address)
        except OSError:
            sock.close()
            self._region_links.counters.add("link.connect_failed")
            return
        link.connection_number += 1
        link.purges_complete = None
        link.connection = connection = LinkConnection(
            sock, self._silence_timeout_ns, self._region_links.guard, self._region_links.loop_monitor
        )
        connection.send(self._hello(link))
        connection.send_heartbeat()
        try:
            connection.read_until_closed(
                {kind: partial(handler, link) for kind, handler in self._handlers.items()}
            )
        finally:
            connection.close("ended")
            self._on_disconnected(link, connection)

    def _hello(self, link: Link) -> Hello:
        ends = self._region_links.ends
        return Hello(
            version=VERSION,
            region=ends.local_region,
            gateway=ends.local_gateway,
            start_ms=ends.start_ms,
            to_region=ends.remote_region,
            turn=link.connection_number,
            known_start_ms=link.start_ms,
            known_index=link.purge_index,
            opening=INITIAL_CREDIT_BYTES,
            window=CONNECTION_WINDOW_BYTES,
        )

    def _on_disconnected(self, link: Link, connection: LinkConnection) -> None:
        was_up = link.up
        link.up = False
        link.connection = None
        if was_up:
            self._region_links.log.info(
                "link.down",
                link=link.name,
                reason=connection.close_reason,
                silent_ms=(clock.now() - connection.received_at) // MILLISECOND_NS,
                in_flight=len(link.in_flight),
            )
        for forwarded in list(link.in_flight.values()):
            self._detach(link, forwarded)

    def _detach(self, link: Link, forwarded: ForwardedRequest) -> None:
        """Detach a request until the link is up again, or end it, as `recovery` decides."""
        attempt = forwarded.order.attempt
        decision = recovery.result_after_disconnect(
            attempt.request.request_class,
            sent_at=attempt.sent_at,
            now=clock.now(),
            attempt_deadline=forwarded.deadline,
            peer_keeps_journal=self._region_links.settings.peer_keeps_journal,
        )
        counters = self._region_links.counters
        counters.add("forward.disconnected")
        if forwarded.body_receiver:
            counters.add("forward.disconnected_bytes", forwarded.body_receiver.received_bytes)
        if isinstance(decision, AwaitLink):
            forwarded.detached_until = decision.deadline
            link.detached[forwarded.number] = forwarded
            del link.in_flight[forwarded.number]
        else:
            self._region_links.complete(forwarded, UpstreamResult(decision))
