"""An upstream client without upstreams, for benchmarks that send a front events but no requests."""

from __future__ import annotations

from collections import Counter

from marbleglade.model.upstream import Upstream
from marbleglade.protocols.client_protocol import ClientRequest
from marbleglade.state.body_budget import BodyBudget
from marbleglade.state.decisions import AttemptOrder
from marbleglade.transport.upstream_connection import UpstreamResult


class NoUpstreamError(RuntimeError):
    """An upstream was to be contacted, although the front has none."""


class NoUpstreams:
    """Replaces the upstream client of a front that has no upstreams.

    Attributes:
        body_budget: Budget of 0 bytes for response bodies.
        in_flight: Requests in flight by upstream; always empty.
    """

    def __init__(self) -> None:
        self.body_budget = BodyBudget(0)
        self.in_flight: Counter[Upstream] = Counter()

    def execute(self, client_request: ClientRequest, order: AttemptOrder) -> UpstreamResult:
        """Raise `NoUpstreamError`."""
        raise NoUpstreamError(
            f"request {client_request.trace_id}: attempt {order} needs an upstream, but the front has none"
        )

    def request_load_report(self, upstream: Upstream, timeout: int) -> dict[str, float]:
        """Raise `NoUpstreamError`."""
        raise NoUpstreamError(
            f"load report of {upstream} requested within {timeout} ns, but the front has no upstreams"
        )

    def release_body(self, result: UpstreamResult) -> None:
        """Raise `NoUpstreamError`."""
        raise NoUpstreamError(f"body of {result} released, but the front has no upstreams")

    def drop_connections(self, upstreams: list[Upstream]) -> None:
        """Do nothing: there are no connections."""

    def connections(self, _upstream: Upstream) -> int:
        """Return the number of connections, which is 0."""
        return 0
