"""The validated settings of one instance: parameters of the policy, and settings of the transport.

The front and the simulator's adapter both read their settings with this module.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model.parameters import Parameters
from ..model.request import RequestClass
from ..model.upstream import UpstreamRole
from .parameters_reader import read_parameters, read_sections
from .request_classes import read_request_classes

NO_KIND = -1  # the settings have no machine kind for the role


@dataclass(slots=True, eq=False)
class Environment:
    """The validated settings of one instance; times are in nanoseconds.

    Attributes:
        parameters: The parameters of the policy.
        request_classes: The request classes by name.
        parent_kind: Index of the parents' machine kind in `kinds`; `NO_KIND` if there is none.
        origin_kind: Index of the origin's machine kind in `kinds`; `NO_KIND` if there is none.
        kinds: Names of the machine kinds.
        zones: Names of the zones; empty if the front's own zone is the only one.
        connect_timeout: Time limit for connecting to an upstream.
        idle_timeout: Time after which upstreams close an idle connection; 0 if it is unknown.
        streams_per_connection: Maximum number of concurrent requests on one connection to an upstream.
        max_open_requests: Maximum number of open requests; 0 for no limit.
        response_slack: Time after the deadline within which a response still counts.
        peer_messages: Whether fronts may send datagrams to each other.
    """

    parameters: Parameters
    request_classes: dict[str, RequestClass]
    parent_kind: int
    origin_kind: int
    kinds: list[str]
    zones: list[str]
    connect_timeout: int
    idle_timeout: int
    streams_per_connection: int
    max_open_requests: int
    response_slack: int
    peer_messages: bool

    def role(self, kind: int) -> UpstreamRole:
        """Return the role of the machine kind with this index in `kinds`."""
        if kind == self.origin_kind:
            return UpstreamRole.ORIGIN
        if kind == self.parent_kind:
            return UpstreamRole.PARENT
        return UpstreamRole.CACHE


def read_environment(settings: object, seed: int, local_link_capacity: float = 0.0) -> Environment:
    """Read and validate settings.

    Args:
        settings: The settings, as decoded from JSON.
        seed: Seed of the policy's random numbers.
        local_link_capacity: Number of concurrent transfers at full throughput that fit the front's own link;
            0 for no local cache.

    Raises:
        InvalidSettingError: A setting is missing or invalid; the message names it.
    """
    sections = read_sections(settings)
    top, limits, deployment = sections.top, sections.limits, sections.deployment
    request_classes = read_request_classes(top, deployment)
    parameters = read_parameters(sections, list(request_classes.values()), seed, local_link_capacity)
    # If the settings have no connect timeout, the longest client timeout is used in its place.
    longest = max(request_class.client_timeout for request_class in request_classes.values())
    return Environment(
        parameters=parameters,
        request_classes=request_classes,
        parent_kind=deployment.optional_integer("ParentKind", NO_KIND, minimum=NO_KIND),
        origin_kind=deployment.integer("StoreKind", minimum=NO_KIND),
        kinds=top.names("Skus"),
        zones=top.names("Dcs"),
        connect_timeout=limits.optional_time("ConnectTimeout") or longest,
        idle_timeout=limits.optional_time("IdleClose"),
        streams_per_connection=limits.optional_integer("StreamsPerConn", 1) or 1,
        max_open_requests=limits.optional_integer("MaxOpen"),
        response_slack=sections.rules.optional_time("AnswerSlack"),
        peer_messages=bool(limits.value.get("PeerMessages")),
    )
