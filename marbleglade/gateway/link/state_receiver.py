"""Handles messages on the state of a peer gateway: start, clock, purges, drain and status of requests."""

from __future__ import annotations

from ...deployment.names import REMOTE_KIND
from ...model.upstream import UpstreamState
from ...model.watch_event import Endpoint, EndpointListChange, Purge
from ...runtime import clock
from ...runtime.units import MICROSECOND_NS, MILLISECOND_NS
from ...transport.upstream_connection import UpstreamResult
from ..clock_offset import PPM, ClockOffset
from . import recovery
from .connection import MessageHandlers
from .frames import InvalidLinkFrameError
from .links import Link, RegionLinks
from .messages import (
    CancelMessage,
    ConnectionRefused,
    DrainNotice,
    Heartbeat,
    Hello,
    PurgeMessage,
    PurgesComplete,
    StatusQuery,
    StatusReply,
    region_purge,
    request_status,
)


class LinkStateReceiver:
    """Handles all messages of a link except the responses.

    Args:
        region_links: The links to the region.

    Attributes:
        handlers: The handlers by type of message; each is called with the link and the message.
    """

    def __init__(self, region_links: RegionLinks) -> None:
        self._region_links = region_links
        self._purge_receiver = region_links.purge_receiver
        self._counters = region_links.counters
        self._log = region_links.log
        self.handlers: MessageHandlers = {
            Hello: self._on_hello,
            ConnectionRefused: self._on_refused,
            PurgeMessage: self._on_purge,
            PurgesComplete: self._on_purges_complete,
            Heartbeat: self._on_heartbeat,
            DrainNotice: self._on_drain,
            StatusReply: self._on_request_status,
        }

    def _on_refused(self, link: Link, message: ConnectionRefused) -> None:
        self._counters.add("link.refused")
        self._log.info("link.refused", link=link.name, reason=message.why)
        link.connected().close("refused")

    def _on_hello(self, link: Link, message: Hello) -> None:
        ends = self._region_links.ends
        if (
            message.region != ends.remote_region
            or message.gateway != link.name
            or message.to_region != ends.local_region
        ):
            raise InvalidLinkFrameError(
                f"hello from gateway {message.gateway} of {message.region} to {message.to_region}, expected "
                f"{link.name} of {ends.remote_region} to {ends.local_region}"
            )
        link.connected().apply_peer_windows(message)
        if message.start_ms != link.start_ms:
            self._peer_restarted(link, message.start_ms)

    def _peer_restarted(self, link: Link, start_ms: int) -> None:
        """Reset the link for a new incarnation of the peer, which has no state from the one before."""
        for forwarded in list(link.detached.values()):
            del link.detached[forwarded.number]
            result = recovery.result_after_peer_restart()
            self._region_links.complete(forwarded, UpstreamResult(result))
        link.start_ms = start_ms
        link.purge_index = 0
        link.upstream = None
        link.clock_offset = ClockOffset(link.clock_offset.drift_ratio * PPM)

    def _on_purge(self, link: Link, message: PurgeMessage) -> None:
        if message.index <= link.purge_index:
            raise InvalidLinkFrameError(f"purge {message.index} received after purge {link.purge_index}")
        link.purge_index = message.index
        self._purge_receiver.add(region_purge(message))
        self._counters.add("purge.from_other_region")
        # Convert the time of the purge to the latest one by this clock that the bounds of the offset allow.
        if link.clock_offset.is_known:
            latest = link.clock_offset.to_local(message.at_ms * MILLISECOND_NS, clock.unix_ns()).latest
            purged_at_ms = latest // MILLISECOND_NS + 1
        else:
            purged_at_ms = clock.unix_ns() // MILLISECOND_NS
        purge = Purge(message.index, message.thing, message.group, purged_at_ms)
        self._region_links.listener.purge_received(purge)

    def _on_purges_complete(self, link: Link, message: PurgesComplete) -> None:
        if message.index < link.purge_index:
            raise InvalidLinkFrameError(
                f"purges complete up to {message.index}, below purge {link.purge_index}"
            )
        link.purge_index = message.index
        link.purges_complete = message

    def _on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        is_exchange = bool(message.echo_ns)
        if is_exchange and not link.clock_offset.add_exchange(
            sent_at=message.echo_ns,
            peer_received_at=message.came_ns,
            peer_sent_at=message.sent_ns,
            received_at=clock.unix_ns(),
        ):
            raise InvalidLinkFrameError("times of a heartbeat exchange contradict each other")
        if message.deaf:
            return
        if link.up:
            self._purge_receiver.confirm(message.sent_ns // MILLISECOND_NS, clock.now())
            self._fail_over_detached()
        else:
            self._bring_up(link, message.sent_ns // MILLISECOND_NS)

    def _fail_over_detached(self) -> None:
        """End detached requests that need not wait for their link, as another link to the region is up."""
        for link in self._region_links.links:
            if link.up:
                continue
            for forwarded in list(link.detached.values()):
                result = recovery.result_while_sibling_is_up(forwarded.request.request_class)
                if result:
                    del link.detached[forwarded.number]
                    self._region_links.complete(forwarded, UpstreamResult(result))

    def _bring_up(self, link: Link, heartbeat_ms: int) -> None:
        """Permit forwarding once the peer's clock offset is known and all earlier purges were received.

        Args:
            link: The link.
            heartbeat_ms: When the latest heartbeat was sent, Unix milliseconds by the peer's clock.
        """
        if not link.purges_complete or not link.clock_offset.is_known or not link.start_ms:
            return
        region_was_up = any(sibling.up for sibling in self._region_links.links)
        self._synchronize_purges(link, link.purges_complete, heartbeat_ms)
        if not region_was_up:
            self._region_links.concurrency_limit.restart(clock.now())
        link.up = True
        link.dial_attempts = 0
        offset = link.clock_offset
        self._log.info(
            "link.up",
            link=link.name,
            start_ms=link.start_ms,
            detached=len(link.detached),
            offset_us=(offset.low + offset.high) // 2 // MICROSECOND_NS,
            bound_us=(offset.high - offset.low) // 2 // MICROSECOND_NS,
        )
        self._update_endpoint(link, UpstreamState.ACTIVE)
        self._fail_over_detached()
        for forwarded in list(link.detached.values()):
            query = StatusQuery(number=forwarded.number)
            if part := forwarded.received_part:
                query.had.CopyFrom(part)
            link.connected().send(query)

    def _synchronize_purges(self, link: Link, complete: PurgesComplete, heartbeat_ms: int) -> None:
        """Treat objects as purged if a purge of them may have been missed while no link was up."""
        purges = self._purge_receiver
        purged_up_to_ms = purges.all_purged_up_to_ms
        if not purges.mark_synchronized(complete.since_ms, heartbeat_ms, clock.now()):
            self._counters.add("purge.may_be_missing")
        if purges.all_purged_up_to_ms > purged_up_to_ms:
            purged_up_to_ns = purges.all_purged_up_to_ms * MILLISECOND_NS
            latest = link.clock_offset.to_local(purged_up_to_ns, clock.unix_ns()).latest
            self._region_links.listener.purges_missed(latest // MILLISECOND_NS + 1)

    def _update_endpoint(self, link: Link, state: UpstreamState) -> None:
        """Add or update a gateway as an upstream; an incarnation that announced its drain stays draining."""
        is_active = state is UpstreamState.ACTIVE
        if is_active and link.draining_start_ms == link.start_ms:
            return
        by_id = self._region_links.upstreams.by_id
        if link.upstream is None or not is_active:
            if link.upstream is None:
                started_at = link.clock_offset.to_local(link.start_ms * MILLISECOND_NS, clock.unix_ns())
                started_ms = started_at.earliest // MILLISECOND_NS
            else:
                started_ms = by_id[link.name].started_ms
            endpoint = Endpoint(link.name, link.address, REMOTE_KIND, REMOTE_KIND, 0, state, started_ms)
            change = EndpointListChange(0, False, [endpoint])
            self._region_links.listener.endpoint_changed(self._region_links.ends.remote_region, change)
        if registered := by_id.get(link.name):
            link.upstream = registered.upstream
            self._region_links.link_by_upstream[link.upstream] = link

    def _on_drain(self, link: Link, _message: DrainNotice) -> None:
        if link.upstream is not None and link.draining_start_ms != link.start_ms:
            self._update_endpoint(link, UpstreamState.DRAINING)
        link.draining_start_ms = link.start_ms
        self._log.info("link.draining", link=link.name)

    def _on_request_status(self, link: Link, message: StatusReply) -> None:
        forwarded = link.detached.pop(message.number, None)
        if forwarded is None:  # the request ended before the status arrived
            link.connected().send(CancelMessage(number=message.number))
            return
        status = request_status(message)
        self._counters.add(f"forward.status_{status.name.lower()}")
        result = recovery.result_of_status(status)
        if result is None:
            forwarded.detached_until = 0
            link.in_flight[forwarded.number] = forwarded
        else:
            self._region_links.complete(forwarded, UpstreamResult(result))
