"""State of a gateway's links to another region, and of the requests in flight on them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ...model.request import Request
from ...model.upstream import Upstream
from ...model.watch_event import EndpointListChange, Purge
from ...protocols.client_protocol import ClientRequest
from ...runtime.error_guard import ErrorGuard
from ...runtime.loop_monitor import LoopMonitor
from ...state.body_budget import BodyBudget
from ...state.decisions import AttemptOrder
from ...state.purge_history import PurgeHistory
from ...state.upstream_registry import UpstreamRegistry
from ...transport.upstream_connection import UpstreamResult
from ..clock_offset import ClockOffset
from ..concurrency_limit import ConcurrencyLimit
from ..partial_bodies import PartialBodies, PartialBody
from ..purge_log import PurgeReceiver
from .connection import LinkConnection
from .flow_control import BodyReceiver
from .messages import PurgesComplete, ReceivedPart, ResponseHead, received_part_message

MAX_PURGE_RECORDS = 1 << 14


class ObjectPartKey(NamedTuple):
    """Identifies one part of an object."""

    object_id: int
    part: int


class LinkDownError(Exception):
    """Raised when a link is used while it has no connection; the argument is the name of the link."""


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """An attempt that was forwarded to a gateway of another region.

    Attributes:
        number: The number of the forwarded request; it rises across all links to the region.
        client_request: The client's request.
        order: The policy's order to make the attempt, through which its result is reported.
        deadline: When the attempt times out, ns.
        partial_body: The part of the response that was already stored when the request was forwarded; None:
            nothing.
        response_head: The head of the response; None until it was received.
        body_receiver: Assembles the response's body; None until its head was received.
        reserved_bytes: Bytes of the body budget that are reserved for the response.
        detached_until: The time until which a detached request waits for its link, ns; 0: it is not detached.
    """

    number: int
    client_request: ClientRequest
    order: AttemptOrder
    deadline: int
    partial_body: PartialBody | None
    response_head: ResponseHead | None = None
    body_receiver: BodyReceiver | None = None
    reserved_bytes: int = 0
    detached_until: int = 0

    @property
    def request(self) -> Request:
        """The policy's state of the request."""
        return self.order.attempt.request

    @property
    def object_key(self) -> ObjectPartKey:
        """The requested object and the requested part of it."""
        return ObjectPartKey(self.request.object_id, self.client_request.part)

    @property
    def received_part(self) -> ReceivedPart | None:
        """The part of the response's body that was received; None if nothing was."""
        receiver = self.body_receiver
        if receiver and receiver.received_bytes and self.response_head:
            head = self.response_head
            return received_part_message(head.tag, head.issued_ms, receiver.received_bytes)
        if self.partial_body:
            partial = self.partial_body
            return received_part_message(partial.tag, partial.issued_ms, len(partial.data))
        return None


@dataclass(slots=True, eq=False)
class Link:
    """The link to one gateway of the other region, connected or not.

    Attributes:
        name: The name of the gateway.
        address: The host and port of the gateway.
        upstream: The gateway as an upstream of the policy; None until it was listed as one.
        start_ms: The incarnation of the gateway: when it started by its own clock, ms; 0: unknown.
        purge_index: All purges of that incarnation up to this number were received.
        connection_number: The number of the latest connection.
        connection: The present connection; None while the link is disconnected.
        purges_complete: The message of this connection which states that all earlier purges were sent; None
            until it was received.
        up: True while requests may be forwarded.
        draining_start_ms: The latest incarnation of the gateway that has announced its drain; 0: none.
        in_flight: Forwarded requests on the present connection, by number.
        detached: Forwarded requests of earlier connections whose status is unknown, by number.
        clock_offset: The offset of the gateway's clock from the local clock.
        dial_attempts: Attempts to connect since the link was last up.
    """

    name: str
    address: tuple[str, int]
    upstream: Upstream | None = None
    start_ms: int = 0
    purge_index: int = 0
    connection_number: int = 0
    connection: LinkConnection | None = None
    purges_complete: PurgesComplete | None = None
    up: bool = False
    draining_start_ms: int = 0
    in_flight: dict[int, ForwardedRequest] = field(default_factory=dict)
    detached: dict[int, ForwardedRequest] = field(default_factory=dict)
    clock_offset: ClockOffset = field(default_factory=lambda: ClockOffset(0))
    dial_attempts: int = 0

    def connected(self) -> LinkConnection:
        """Return the present connection.

        Raises:
            LinkDownError: The link is disconnected.
        """
        if self.connection is None:
            raise LinkDownError(self.name)
        return self.connection


@dataclass(frozen=True, slots=True)
class LinkEnds:
    """The two ends of the links to a region.

    Attributes:
        local_region: The region of this gateway.
        local_gateway: The name of this gateway.
        start_ms: The incarnation of this gateway: when it started, Unix milliseconds.
        remote_region: The region that the links lead to.
    """

    local_region: str
    local_gateway: str
    start_ms: int
    remote_region: str


class RegionListener(Protocol):
    """Receives the endpoint changes and the purges of other regions."""

    def endpoint_changed(self, region: str, change: EndpointListChange) -> None:
        """Handle a gateway of the region that has come up or started draining."""

    def purge_received(self, purge: Purge) -> None:
        """Handle a purge of the region; its time is Unix milliseconds by this gateway's clock."""

    def purges_missed(self, before_ms: int) -> None:
        """Treat all objects issued up to this Unix millisecond as purged, since purges may be missing."""


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """The settings of all links, from the deployment.

    Attributes:
        silence_timeout_ns: A connection is closed if nothing is received for this time, ns.
        drift_ppm: The greatest drift between the clocks of two regions, parts per million.
        peer_keeps_journal: The gateways of the other regions answer status queries after a disconnection, and
            resume responses.
    """

    silence_timeout_ns: int
    drift_ppm: float
    peer_keeps_journal: bool


@dataclass(frozen=True, slots=True)
class RegionState:
    """The state that this gateway keeps for another region.

    Attributes:
        upstreams: The region's gateways as upstreams of the policy.
        purge_history: The purges known to this gateway.
        partial_bodies: The first bytes of response bodies that were not received completely.
        concurrency_limit: Bounds the requests in flight at the region.
    """

    upstreams: UpstreamRegistry
    purge_history: PurgeHistory
    partial_bodies: PartialBodies
    concurrency_limit: ConcurrencyLimit


@dataclass(frozen=True, slots=True)
class SharedComponents:
    """Components that are shared by the links and the message handlers of all regions.

    Attributes:
        body_budget: Bounds the bytes of bodies in memory.
        listener: Receives the endpoint changes and purges of other regions.
        guard: Provides the log and the counters; records exceptions.
        loop_monitor: Measures for how long this process was delayed.
    """

    body_budget: BodyBudget
    listener: RegionListener
    guard: ErrorGuard
    loop_monitor: LoopMonitor


class RegionLinks:
    """All links to one region, and the components that they share.

    Args:
        ends: The two ends of the links.
        gateways: Names and addresses of the region's gateways.
        settings: The settings of the links.
        state: The state kept for the region; its fields become attributes of the same name.
        shared: Components shared by all regions; its fields become attributes of the same name.

    Attributes:
        links: The link to each gateway of the region.
        link_by_upstream: The links by the upstream that represents their gateway in the policy.
        purge_receiver: The purges received from the region.
        last_number: The number of the last forwarded request.
    """

    def __init__(
        self,
        ends: LinkEnds,
        gateways: Iterable[tuple[str, tuple[str, int]]],
        settings: LinkSettings,
        state: RegionState,
        shared: SharedComponents,
    ) -> None:
        self.ends = ends
        self.settings = settings
        self.upstreams = state.upstreams
        self.purge_history = state.purge_history
        self.partial_bodies = state.partial_bodies
        self.concurrency_limit = state.concurrency_limit
        self.body_budget = shared.body_budget
        self.listener = shared.listener
        self.guard = shared.guard
        self.counters = shared.guard.counters
        self.log = shared.guard.log
        self.loop_monitor = shared.loop_monitor
        self.links = [
            Link(name, address, clock_offset=ClockOffset(settings.drift_ppm)) for name, address in gateways
        ]
        self.link_by_upstream: dict[Upstream, Link] = {}
        self.purge_receiver = PurgeReceiver(MAX_PURGE_RECORDS)
        self.last_number = 0

    def complete(self, forwarded: ForwardedRequest, result: UpstreamResult) -> None:
        """Report the result of a forwarded request, unless it already has one."""
        if forwarded.order.result.ready():
            return  # `Requester._finish` releases the reserved bytes
        if result.response:
            forwarded.reserved_bytes = 0  # the owner of the response releases them
        forwarded.order.result.set(result)
