"""The routing state of a request: its current region and the regions that may follow."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.request import Request
from ..protocols.client_protocol import ClientRequest
from ..request_handler import RequestHandler


@dataclass(slots=True, eq=False)
class RegionAttempt:
    """The run of a request in one region.

    Attributes:
        region: The name of the region.
        handler: The request handler of the region.
        client_request: The client's request, with a `max_age_ns` that accounts for the region's purges.
        request: The request as the region's policy represents it.
    """

    region: str
    handler: RequestHandler
    client_request: ClientRequest
    request: Request


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """The regions to which a request is sent, one after another.

    Attributes:
        deadline: The time at which the client's timeout ends, ns.
        remaining_regions: The names of the regions that have not been tried, in order.
        current: The attempt in the current region; None if the request is rejected as a routing loop.
        finished: True once the request is abandoned or its client has left.
        client_half_closed: True once the client has closed its sending side; it has most likely left.
    """

    deadline: int
    remaining_regions: list[str]
    current: RegionAttempt | None = None
    finished: bool = False
    client_half_closed: bool = False
