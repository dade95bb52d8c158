"""Cost of the load view by the number of fronts where control nodes aggregate it, on simulated time.

Loaded fleet agents of `fleet_agent` each send reports to one of eight nodes, which answers with the view.
Nodes exchange their partial views once a period. Lines are encoded and decoded as on real connections, but
without sockets. The figures of a front include all that its agent sends and receives, also probes of members.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from marbleglade.control.messages import (
    LoadReport,
    LoadView,
    decode_request,
    decode_stream_line,
    encode_load_view,
    encode_request,
)
from marbleglade.control.node.partial_view import decode_partial_view, encode_partial_view
from marbleglade.fleet.agent import CONTROL_NODE
from marbleglade.fleet.gossip_messages import Outgoing
from marbleglade.fleet.load_view import AggregatedView, FrontReport
from marbleglade.fleet.load_view_aggregation import NodeLoadView
from marbleglade.fleet.messages import FleetMessage
from marbleglade.protocols import fleet_datagrams

from . import operators
from .fit import fit_slopes_by_name
from .fleet_agent import (
    MEASURED_SECONDS,
    NS_PER_S,
    PROBE_INTERVAL,
    SAMPLED_FRONTS,
    SETTLING_SECONDS,
    ResourceUse,
    SimulatedFleet,
    UnexpectedMessageError,
)
from .records import Point, Slope

NODES = operators.CONTROL_MACHINES
VIEW_PERIOD = PROBE_INTERVAL // 2
COMMAND = "python -O -m benchmarks.capacity --only load_views"
FRONT_ROLE, NODE_ROLE = "front", "control machine"


@dataclass(slots=True)
class SimulatedNode:
    """A control node's aggregation of the load view, with its traffic and processor time."""

    views: NodeLoadView = field(default_factory=lambda: NodeLoadView(VIEW_PERIOD))
    use: ResourceUse = field(default_factory=ResourceUse)

    def answer(self, front: int, line: bytes, now: int) -> bytes:
        """Add a front's report and return the line with the view. Raises `UnexpectedMessageError`."""
        started_at = time.process_time_ns()
        report = _decode_report(line)
        self.views.add_report(front, report, now)
        answer = encode_load_view(LoadView(fleet_datagrams.encode(self.views.view_for(report.zone, now))))
        self.use.processor_ns += time.process_time_ns() - started_at
        self._count(len(line), len(answer))
        return answer

    def partial_view(self, now: int) -> bytes:
        """Return the line with the partial view, counted as sent to each other node."""
        started_at = time.process_time_ns()
        line = encode_partial_view(self.views.partial_view(now))
        self.use.processor_ns += time.process_time_ns() - started_at
        self._count(0, len(line) * (NODES - 1))
        return line

    def receive(self, node: str, line: bytes, now: int) -> None:
        """Add the partial view of another node."""
        started_at = time.process_time_ns()
        self.views.add_partial_view(node, decode_partial_view(line), now)
        self.use.processor_ns += time.process_time_ns() - started_at
        self._count(len(line), 0)

    def _count(self, received: int, sent: int) -> None:
        self.use.received_bytes += received
        self.use.sent_bytes += sent


class FleetWithControlNodes(SimulatedFleet):
    """Fleet agents whose load view is aggregated by control nodes."""

    def __init__(self, count: int) -> None:
        super().__init__(count, loaded=True)
        self.nodes = [SimulatedNode() for _ in range(NODES)]
        for number, agent in enumerate(self.agents):
            agent.use_control_nodes(number)

    def send(self, sender: int, messages: list[Outgoing[FleetMessage]]) -> None:
        """Send datagrams to other fronts, and reports to the front's node, which answers at once."""
        super().send(sender, [one for one in messages if one.to != CONTROL_NODE])
        for one in messages:
            if one.to == CONTROL_NODE:
                self._send_report(sender, fleet_datagrams.encode(one.message))

    def _send_report(self, sender: int, report: bytes) -> None:
        node, use = self.nodes[sender % NODES], self.resource_use[sender]
        line = encode_request(LoadReport(report))
        answer = node.answer(sender, line.rstrip(b"\n"), self.now)
        use.sent_bytes += len(line)
        use.received_bytes += len(answer)
        self.agents[sender].adopt_view(_decode_view(answer), self.now)

    def run(self, seconds: int) -> None:
        """Run for this many simulated seconds; nodes exchange partial views once a period."""
        for _ in range(seconds * NS_PER_S // VIEW_PERIOD):
            self.advance(VIEW_PERIOD)
            lines = [node.partial_view(self.now) for node in self.nodes]
            for sender, line in enumerate(lines):
                for receiver, node in enumerate(self.nodes):
                    if receiver != sender:
                        node.receive(f"c{sender}", line, self.now)


def _decode_report(line: bytes) -> FrontReport:
    """Decode a front's report line, as a node does. Raises `UnexpectedMessageError`."""
    request = decode_request(line)
    report = fleet_datagrams.decode(request.data) if isinstance(request, LoadReport) else None
    if not isinstance(report, FrontReport):
        raise UnexpectedMessageError(f"expected a load report, received {line!r}")
    return report


def _decode_view(line: bytes) -> AggregatedView:
    """Decode a node's view line, as a front does. Raises `UnexpectedMessageError`."""
    message = decode_stream_line(line)
    view = fleet_datagrams.decode(message.data) if isinstance(message, LoadView) else None
    if not isinstance(view, AggregatedView):
        raise UnexpectedMessageError(f"expected a load view, received {line!r}")
    return view


def measure(count: int) -> list[Point]:
    """Measure a fleet of one size: the mean of the fronts, and the highest figure of any node."""
    fleet = FleetWithControlNodes(count)
    fleet.run(SETTLING_SECONDS)
    sampled = list(range(count))[:: max(1, count // SAMPLED_FRONTS)]
    fleet.resource_use = [ResourceUse() for _ in range(count)]
    fleet.timed = frozenset(sampled)
    for node in fleet.nodes:
        node.use = ResourceUse()
    fleet.run(MEASURED_SECONDS)
    if any(agent.view is None or agent.view.fronts != count for agent in fleet.agents):
        raise RuntimeError(
            "the view of at least one front does not cover all fronts, so the figures are invalid"
        )
    nodes = [node.use for node in fleet.nodes]
    fronts = [fleet.resource_use[number] for number in sampled]
    return [
        *_points("fleet viewed by nodes front", FRONT_ROLE, fronts, statistics.fmean, count),
        *_points("load view control machine", NODE_ROLE, nodes, max, count),
    ]


def _points(
    name: str, role: str, resource_use: list[ResourceUse], summary: Callable[[list[float]], float], count: int
) -> list[Point]:
    figures = (
        ("bytes sent", "B/s", [use.sent_bytes / MEASURED_SECONDS for use in resource_use]),
        ("bytes received", "B/s", [use.received_bytes / MEASURED_SECONDS for use in resource_use]),
        ("processor time", "core", [use.processor_ns / MEASURED_SECONDS / NS_PER_S for use in resource_use]),
    )
    return [
        Point(f"{name} {quantity}", role, quantity, unit, {"fronts": count}, summary(values), COMMAND)
        for quantity, unit, values in figures
    ]


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure fleets of all sizes and fit the slopes by fronts."""
    points = [point for count in ((50, 200) if quick else (50, 200, 730, 1460)) for point in measure(count)]
    return points, fit_slopes_by_name(points, "fronts")
