"""Forwards requests to the gateways of one remote region.

The remote region's request handler uses this class in place of `UpstreamClient`: `execute` sends an attempt
and blocks until it has ended. The policy selects the gateway and decides about retries.
"""

from __future__ import annotations

from collections import Counter

from ..model.attempt import AttemptResult
from ..model.upstream import Upstream
from ..protocols.client_protocol import ClientRequest
from ..runtime import clock
from ..runtime.timeouts import wait_until_ready
from ..runtime.units import MICROSECOND_NS, MILLISECOND_NS, SECOND_NS
from ..state.decisions import AttemptOrder
from ..transport.attempt_message import max_age_ms
from ..transport.upstream_connection import UpstreamResult
from .link.dialer import LinkDialer
from .link.links import ForwardedRequest, Link, RegionLinks
from .link.messages import CancelMessage, DrainNotice, request_message
from .link.response_receiver import ResponseReceiver
from .link.state_receiver import LinkStateReceiver
from .partial_bodies import PartialBody


class Requester:
    """Sends attempts to one remote region over the links to its gateways.

    Args:
        region_links: The links to the region, with the state that they share.

    Attributes:
        region_links: The links to the region, with the state that they share.
        in_flight: The number of attempts in flight to each upstream; upstreams without any are not listed.
    """

    def __init__(self, region_links: RegionLinks) -> None:
        self.region_links = region_links
        self.body_budget = region_links.body_budget
        self.in_flight: Counter[Upstream] = Counter()
        self._counters = region_links.counters
        self._concurrency_limit = region_links.concurrency_limit
        self._partial_bodies = region_links.partial_bodies
        handlers = {**LinkStateReceiver(region_links).handlers, **ResponseReceiver(region_links).handlers}
        self._dialer = LinkDialer(region_links, handlers)

    @property
    def links(self) -> list[Link]:
        """The links to the region, one for each of its gateways."""
        return self.region_links.links

    # Attempts.

    def execute(self, client_request: ClientRequest, order: AttemptOrder) -> UpstreamResult:
        """Forward a request, block until the attempt has ended and return its result."""
        attempt = order.attempt
        if client_request.check_client_end:
            self.region_links.guard.call("client_end", client_request.check_client_end)
        if order.result.ready() or attempt.request.finished or attempt.request.client_half_closed:
            self._counters.add("forward.withheld")
            return UpstreamResult(AttemptResult.CANCELLED)
        link = self.region_links.link_by_upstream.get(attempt.upstream)
        time_left = attempt.sent_at + attempt.timeout - clock.now()
        if link is None or not link.up or time_left <= 0:
            self._counters.add("forward.no_link")
            return UpstreamResult(AttemptResult.CONNECT_FAILED)
        is_routing_loop = self.region_links.ends.remote_region in client_request.via_regions
        if is_routing_loop or not self._concurrency_limit.try_acquire():
            self._counters.add("forward.rejected_locally")
            return UpstreamResult(AttemptResult.REJECTED)
        return self._forward(link, client_request, order, time_left)

    def _forward(
        self, link: Link, client_request: ClientRequest, order: AttemptOrder, time_left: int
    ) -> UpstreamResult:
        """Send a request and wait until it has ended or `time_left` ns have passed."""
        upstream = order.attempt.upstream
        self.in_flight[upstream] += 1
        forwarded = self._send(link, client_request, order, time_left)
        result: UpstreamResult | None = None
        try:
            if wait_until_ready(order.result, time_left / SECOND_NS):
                result = order.result.get() or UpstreamResult(AttemptResult.CANCELLED)
        finally:
            if not order.result.ready():
                order.result.set(None)
            self._finish(forwarded, result)
            self.in_flight[upstream] -= 1
            if not self.in_flight[upstream]:
                del self.in_flight[upstream]
        return result or UpstreamResult(AttemptResult.TIMEOUT)

    def _send(
        self, link: Link, client_request: ClientRequest, order: AttemptOrder, time_left: int
    ) -> ForwardedRequest:
        self.region_links.last_number += 1
        number = self.region_links.last_number
        partial = self._partial_bodies.get((order.attempt.request.object_id, client_request.part))
        forwarded = ForwardedRequest(number, client_request, order, clock.now() + time_left, partial)
        link.in_flight[number] = forwarded
        message = request_message(
            number,
            client_request,
            time_left,
            self._max_age_ms(link, client_request, order),
            self.region_links.ends.local_region,
            partial if self.region_links.settings.peer_keeps_journal else None,
        )
        self._counters.add("forward.sent")
        connection = link.connected()
        connection.send(message)
        if client_request.body:
            connection.send_body(number, client_request.body)
        return forwarded

    def _max_age_ms(self, link: Link, client_request: ClientRequest, order: AttemptOrder) -> int:
        """Return the greatest age of a response, ms, that the policy, the client and the last purge allow.

        0 is `DEFAULT_MAX_AGE`. A response issued before the object's last purge exceeds the age.
        """
        allowed_ms = max_age_ms(client_request, order)
        object_id = int(client_request.object_id, 16)
        purged_ms = self.region_links.purge_receiver.latest_ms(object_id, client_request.group)
        if not purged_ms:
            return allowed_ms
        now_ns = clock.unix_ns()
        earliest_remote_ms = link.clock_offset.to_remote(now_ns, now_ns).earliest // MILLISECOND_NS
        since_purge_ms = max(1, earliest_remote_ms - purged_ms - 1)
        fresh_ms = client_request.request_class.freshness_lifetime // MILLISECOND_NS
        return min(allowed_ms or fresh_ms or since_purge_ms, since_purge_ms)

    def _finish(self, forwarded: ForwardedRequest, result: UpstreamResult | None) -> None:
        """Release the resources of an attempt that has ended, and notify the remote gateway.

        Args:
            forwarded: The attempt.
            result: The result of the attempt; None if it timed out.
        """
        has_response = result is not None and result.response is not None
        for link in self.links:
            in_flight = link.in_flight.pop(forwarded.number, None)
            if in_flight is not None and link.connection:
                link.connection.send_queue.remove_body(forwarded.number)
                send = link.connection.send_later if has_response else link.connection.send
                send(CancelMessage(number=forwarded.number, had=has_response))
            link.detached.pop(forwarded.number, None)
        if has_response:
            self._partial_bodies.remove(forwarded.object_key)
        else:
            self._save_partial_body(forwarded)
            self.body_budget.release(forwarded.reserved_bytes)
        forwarded.reserved_bytes = 0
        forwarded.body_receiver = None
        outcome = result.result if result else AttemptResult.TIMEOUT
        if outcome is AttemptResult.OK:
            self._concurrency_limit.release_served()
        else:
            overloaded = outcome in (AttemptResult.REJECTED, AttemptResult.TIMEOUT)
            self._concurrency_limit.release_failed(overloaded, clock.now())

    def _save_partial_body(self, forwarded: ForwardedRequest) -> None:
        """Store the received bytes of a body for the next request for the object, most likely a retry."""
        head, receiver = forwarded.response_head, forwarded.body_receiver
        if head is None or receiver is None or not receiver.received_bytes:
            return
        expires_at = clock.now() + forwarded.request.request_class.client_timeout
        body = PartialBody(head.tag, head.issued_ms, receiver.data(), expires_at)
        self._partial_bodies.put(forwarded.object_key, body)

    # The remaining methods of the `AttemptSender` interface.

    def request_load_report(self, upstream: Upstream, timeout: int) -> dict[str, float]:  # noqa: ARG002
        """Return an empty load report, since gateways send heartbeats but no load reports."""
        return {}

    def release_body(self, result: UpstreamResult) -> None:
        """Release the bytes of a result's body from the body budget."""
        if result.response and result.response.body:
            self.body_budget.release(len(result.response.body))

    def drop_connections(self, upstreams: list[Upstream]) -> None:
        """Do nothing, since each link detects the restart of its gateway."""

    def connections(self, upstream: Upstream) -> int:
        """Return the number of connections to a gateway, which is 0 or 1."""
        link = self.region_links.link_by_upstream.get(upstream)
        return int(bool(link and link.connection))

    # Periodic work, drain and status.

    def maintain_link(self, link: Link) -> None:
        """Connect one link, and reconnect it after each disconnection, until this gateway stops."""
        self._dialer.maintain_link(link)

    def sweep(self) -> None:
        """End the requests whose wait for their link has timed out, and remove expired partial bodies."""
        now = clock.now()
        for link in self.links:
            overdue = [forwarded for forwarded in link.detached.values() if forwarded.detached_until <= now]
            for forwarded in overdue:
                link.detached.pop(forwarded.number)
                self._counters.add("forward.link_not_restored")
                self.region_links.complete(forwarded, UpstreamResult(AttemptResult.RESET))
        self._partial_bodies.expire(now)

    def send_heartbeats(self) -> None:
        """Send a heartbeat on each connection, and close the connections whose peer is silent."""
        for link in self.links:
            if link.connection:
                link.connection.send_heartbeat()
                link.connection.check_liveness()

    def announce_drain(self) -> None:
        """Notify the region's gateways that this gateway is draining."""
        for link in self.links:
            if link.connection:
                link.connection.send(DrainNotice())

    def close_connections(self) -> None:
        """Close all connections immediately."""
        for link in self.links:
            if link.connection:
                link.connection.close("ended")

    def link_status(self) -> list[dict[str, object]]:
        """Return one row with the state of each link, for the status report."""
        now = clock.now()
        return [self._status_of(link, now) for link in self.links]

    def _status_of(self, link: Link, now: int) -> dict[str, object]:
        offset = link.clock_offset
        silent_ms = (now - link.connection.received_at) // MILLISECOND_NS if link.connection else None
        return {
            "link": link.name,
            "region": self.region_links.ends.remote_region,
            "up": link.up,
            "start_ms": link.start_ms,
            "in_flight": len(link.in_flight),
            "detached": len(link.detached),
            "purge_index": link.purge_index,
            "offset_us": (offset.low + offset.high) // 2 // MICROSECOND_NS if offset.is_known else None,
            "silent_ms": silent_ms,
            "region_in_flight": self._concurrency_limit.in_flight,
            "region_concurrency_limit": int(self._concurrency_limit.limit),
        }
