"""Aggregates load reports of fronts and partial views of the other control nodes into load views.

Fronts send load reports on their connections, and the node answers each with the aggregated view. The node
connects to the other nodes to receive their partial views. Without `view_period_ms` in the settings the
service is disabled and ignores reports.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

import gevent

from ...fleet.load_view import AggregatedView, FrontReport
from ...fleet.load_view_aggregation import NodeLoadView
from ...protocols import fleet_datagrams
from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...runtime.units import SECOND_NS
from ..events.session import ProtocolError
from ..settings import ControlSettings
from .partial_view import encode_partial_view
from .partial_view_reader import PartialViewReader

MAX_ANSWERS_PER_PERIOD = 4  # per front; reports that arrive sooner are ignored


class LoadViewService:
    """Receives reports, exchanges partial views with other nodes, and returns the aggregated view.

    Args:
        settings: The settings of the control plane.
        node: The name of this node.
        guard: Counts ignored reports and records errors.
    """

    def __init__(self, settings: ControlSettings, node: str, guard: ErrorGuard) -> None:
        self.guard = guard
        self.period_ns = settings.view_period_ns
        self.views = NodeLoadView(self.period_ns)
        self.front_numbers = settings.front_numbers()
        self.answered_at: dict[str, int] = {}
        self.readers = [
            PartialViewReader(
                peer, settings.deployment, self.period_ns, partial(self._add_partial_view, peer.name), guard
            )
            for peer in settings.nodes
            if peer.name != node
        ]

    def workers(self, send_to_nodes: Callable[[bytes], None]) -> Iterator[Callable[[], None]]:
        """Yield the functions to run, each in its own greenlet, until the node stops.

        Args:
            send_to_nodes: Writes a line to every node that requested partial views.
        """
        if self.period_ns:
            yield partial(self._publish_partial_views, send_to_nodes)
            yield from (reader.run for reader in self.readers)

    def handle_report(self, front: str, data: bytes) -> bytes:
        """Handle an encoded load report; return the encoded view for that front, or `b""` to send none.

        Raises:
            ProtocolError: The data is not a load report.
        """
        report = fleet_datagrams.decode(data)
        if not isinstance(report, FrontReport):
            raise ProtocolError("bad_report", "the data is not a load report")
        now = clock.now()
        too_early = (
            now - self.answered_at.get(front, now - self.period_ns) < self.period_ns // MAX_ANSWERS_PER_PERIOD
        )
        if not self.period_ns or too_early:
            self.guard.counters.add("control.report_ignored")
            return b""
        self.answered_at[front] = now
        self.views.add_report(self.front_numbers[front], report, now)
        return fleet_datagrams.encode(self.views.view_for(report.zone, now))

    def _add_partial_view(self, node: str, view: AggregatedView) -> None:
        self.views.add_partial_view(node, view, clock.now())

    def _publish_partial_views(self, send_to_nodes: Callable[[bytes], None]) -> None:
        """Send this node's partial view to the other nodes once per period."""
        while True:
            gevent.sleep(self.period_ns / SECOND_NS)
            self.guard.call("load_views", self._publish_partial_view, send_to_nodes)

    def _publish_partial_view(self, send_to_nodes: Callable[[bytes], None]) -> None:
        send_to_nodes(encode_partial_view(self.views.partial_view(clock.now())))
