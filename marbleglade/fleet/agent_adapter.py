"""Connects a fleet agent to its datagram socket, to the control nodes and to the front's policy."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

from ..maintenance.adapter import MaintenanceAdapter
from ..maintenance.messages import MaintenanceMessage
from ..model.fleet_view import FleetView
from ..policy_driver import PolicyDriver
from ..protocols import fleet_datagrams
from ..request_handler import RequestHandler
from ..runtime import clock
from ..runtime.units import MILLISECOND_NS, SECOND_NS
from ..transport.peer_datagrams import Address, PeerSocket
from .agent import ALL_FRONTS, CONTROL_NODE, FleetAgent
from .gossip_messages import Outgoing
from .load_view import AggregatedView, ZoneLoad
from .messages import FleetMessage

# The shortest timer of the fleet and of maintenance is a quarter of a probe interval, which is a 24th of a
# maintenance lease. With a longer period, rounds of queries would be skipped, and leases would expire in a
# fleet with a short probe interval.
TICKS_PER_PROBE_INTERVAL = 4
MAX_TICK_PERIOD_NS = SECOND_NS // 4


class FleetAdapter:
    """Sends and receives for one front's fleet agent, and makes no decisions itself.

    Args:
        name: The front's name, which seeds the agent's random draws.
        probe_interval: Nanoseconds between two probes.
        driver: The driver of the front's policy, which receives the fleet views.
        front: The request handler, whose monitor stores the zone's load reports.
        peers: The datagram socket; a member's number is its position in the socket's list of peers.
        log: Writes an event to the log.
        plan_path: Path of the maintenance plan; "" if there is none.

    Attributes:
        tick_period: Nanoseconds between two calls of `tick`.
    """

    def __init__(
        self,
        name: str,
        probe_interval: int,
        driver: PolicyDriver,
        front: RequestHandler,
        peers: PeerSocket,
        log: Callable[..., None],
        plan_path: str = "",
    ) -> None:
        self.driver = driver
        self.front = front
        self.peers = peers
        self.log = log
        self.tick_period = min(probe_interval // TICKS_PER_PROBE_INTERVAL, MAX_TICK_PERIOD_NS)
        started_ms = clock.unix_ns() // MILLISECOND_NS
        parameters = driver.policy.parameters
        self.agent = FleetAgent(
            peers.addresses.index(peers.listen),
            len(peers.addresses),
            started_ms,
            parameters,
            probe_interval,
            clock.now(),
            parameters.seed ^ zlib.crc32(name.encode()),
        )
        self.applied_view: FleetView | None = None
        self.logged_version = -1
        self.logged_term = -1
        self.send_report: Callable[[bytes], object] | None = None
        self.maintenance: MaintenanceAdapter | None = None
        if plan_path:
            self.maintenance = MaintenanceAdapter(
                plan_path, self.agent, started_ms, probe_interval, driver, front, log
            )
        peers.attach_fleet(self)

    def use_control_nodes(self, number: int, send_report: Callable[[bytes], object]) -> None:
        """Use the load views of control nodes from now on.

        Args:
            number: This front's position in the control plane's settings.
            send_report: Sends an encoded load report to this front's control node.
        """
        self.send_report = send_report
        self.agent.use_control_nodes(number)

    def handle_load_view(self, data: bytes) -> None:
        """Apply an encoded load view from a control node; anything else is ignored."""
        view = fleet_datagrams.decode(data)
        if isinstance(view, AggregatedView):
            self.agent.adopt_view(view, clock.now())
            self._apply_view()

    def reload_plan(self) -> None:
        """Read the maintenance plan again and apply it at once."""
        if self.maintenance is None:
            return
        self.maintenance.reload_plan()
        self._send_maintenance(self.maintenance.tick(clock.now()))

    def tick(self) -> None:
        """Run the timers and send the messages that are due; called every `tick_period`."""
        self._send(self.agent.tick(clock.now(), self.driver.observations, self._zone_load))
        self._apply_view()
        if self.maintenance:
            self._send_maintenance(self.maintenance.tick(clock.now()))

    def handle_datagram(self, data: bytes, sender: Address) -> bool:
        """Process a datagram that is not an anti-entropy message; false if its kind or sender is unknown."""
        message = fleet_datagrams.decode(data)
        number = self.peers.member_numbers.get(sender)
        if number is None:
            return False
        if message is None:
            return self._handle_maintenance(number, data)
        self._send(self.agent.receive(number, message, clock.now()))
        self._apply_view()
        return True

    def handle_new_peers(self) -> None:
        """Resize the membership to the new list of peers."""
        self.agent.membership.resize(len(self.peers.addresses))

    def leave(self) -> None:
        """Announce that this front leaves the fleet intentionally."""
        self._send(self.agent.membership.leave(clock.now()))

    def _handle_maintenance(self, sender: int, data: bytes) -> bool:
        if self.maintenance is None:
            return False
        answers = self.maintenance.handle_datagram(sender, data, clock.now())
        if answers is None:
            return False
        self._send_maintenance(answers)
        return True

    def _apply_view(self) -> None:
        """Pass a new view to the policy, and log changes of membership and leadership."""
        agent = self.agent
        if agent.fleet_view is not None and agent.fleet_view is not self.applied_view:
            self.applied_view = agent.fleet_view
            self.driver.apply_fleet_view(agent.fleet_view)
            if load := agent.zone_load():
                self.front.monitor.record_peer_congestion(load.value, load.reported_at)
        if agent.membership.version != self.logged_version:
            self.logged_version = agent.membership.version
            self.log("membership", **agent.status(clock.now()))
        if agent.leadership.term != self.logged_term:
            self.logged_term = agent.leadership.term
            self.log("leadership", **agent.leadership_status())

    def _zone_load(self) -> ZoneLoad | None:
        """Return the latest load reported by this zone's caches, with its age; None if there is none."""
        if not (last := self.front.monitor.latest_congestion()):
            return None
        value, reported_at = last
        return ZoneLoad(value, max(0, clock.now() - reported_at) // MILLISECOND_NS)

    def _send(self, outgoing: Iterable[Outgoing[FleetMessage]]) -> None:
        """Encode messages and send each to one member, to all members, or to the control node."""
        for item in outgoing:
            data = fleet_datagrams.encode(item.message)
            if item.to == ALL_FRONTS:
                self._broadcast(data)
            elif item.to != CONTROL_NODE:
                self._send_to_member(data, item.to)
            elif self.send_report is not None:
                self.send_report(data)

    def _send_maintenance(self, outgoing: Iterable[Outgoing[MaintenanceMessage]]) -> None:
        for item in outgoing:
            self._send_to_member(MaintenanceAdapter.encode(item.message), item.to)

    def _send_to_member(self, data: bytes, number: int) -> None:
        if number < len(self.peers.addresses):
            self.peers.send_data(data, self.peers.addresses[number])

    def _broadcast(self, data: bytes) -> None:
        if self.peers.broadcast_address:
            self.peers.send_data(data, self.peers.broadcast_address)
            return
        for number in self.agent.membership.alive_peers():
            self.peers.send_data(data, self.peers.addresses[number])
