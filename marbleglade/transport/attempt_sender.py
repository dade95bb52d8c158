"""The interface through which a request handler sends attempts.

`UpstreamClient` sends them to caches, parents and the origin; a gateway's `Requester` sends them to the
gateways of another region.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from ..model.upstream import Upstream
from ..protocols.client_protocol import ClientRequest
from ..state.body_budget import BodyBudget
from ..state.decisions import AttemptOrder
from .upstream_connection import UpstreamResult


class AttemptSender(Protocol):
    """Sends attempts and load report requests, and blocks until each has ended."""

    @property
    def body_budget(self) -> BodyBudget:
        """The budget for response bodies in memory."""

    @property
    def in_flight(self) -> Counter[Upstream]:
        """The number of requests in flight, by upstream."""

    def execute(self, client_request: ClientRequest, order: AttemptOrder) -> UpstreamResult:
        """Send an attempt and block until it has ended."""

    def request_load_report(self, upstream: Upstream, timeout: int) -> dict[str, float]:
        """Return an upstream's load report, or an empty one if none was received within `timeout` ns."""

    def release_body(self, result: UpstreamResult) -> None:
        """Release the bytes of a response's body from the body budget."""

    def drop_connections(self, upstreams: list[Upstream]) -> None:
        """Stop reusing connections to upstreams that were removed, have moved or have restarted."""

    def connections(self, upstream: Upstream) -> int:
        """Return the number of connections to an upstream."""
