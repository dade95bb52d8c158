"""A model of control nodes, fronts and connections without sockets, whose messages a test delivers."""

from collections import deque

import pytest

from marbleglade.control.events.session import Session, resumable_index
from marbleglade.control.messages import EventsApplied, FrontHello
from marbleglade.control.node.control_node import ControlNode
from marbleglade.control.settings import ControlSettings, NodeSettings, RegionSettings
from marbleglade.control.status.merge import NodeAnswer
from marbleglade.control.status.node_status import decode_status, encode_status
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange, Heartbeat, Purge
from marbleglade.protocols.discovery_protocol import InvalidLineError
from tests.control.events.stream_reader import Reader

FRONTS = ("f1", "f2", "f3")
NODES = ("c1", "c2", "c3")
UNUSED_ADDRESS = ("127.0.0.1", 9)
SETTINGS = ControlSettings(
    "test",
    (RegionSettings("east", UNUSED_ADDRESS, FRONTS),),
    tuple(NodeSettings(name, "east", "zone", UNUSED_ADDRESS, UNUSED_ADDRESS) for name in NODES),
    2600 * 1_000_000,
    5000 * 1_000_000,
    1024,
)


class DiscoveryService:
    """The events of the discovery service since it last restarted its event numbers."""

    def __init__(self):
        self.restart_count = 0  # number of restarts of the event numbers
        self.events = []

    def publish(self, event):
        event.index = len(self.events) + 1
        self.events.append(event)

    def restart(self):
        """Restart the numbers; publish the current list as an incomplete one, and the last purge."""
        endpoints = {}
        for event in self.events:
            if isinstance(event, EndpointListChange):
                endpoints |= {endpoint.id: endpoint for endpoint in event.endpoints}
        purges = [event for event in self.events if isinstance(event, Purge)]
        self.restart_count, self.events = self.restart_count + 1, []
        present = [endpoint for endpoint in endpoints.values() if endpoint.state != UpstreamState.REMOVED]
        self.publish(EndpointListChange(0, False, present))
        for purge in purges[-1:]:
            self.publish(Purge(0, purge.object_id, purge.group, purge.unix_ms))


class FrontIncarnation:
    """One incarnation of a front: its applied state and its connections by node name."""

    def __init__(self, name, start_ms):
        self.name, self.start_ms = name, start_ms
        self.purged = {}
        self.lists = {}  # endpoint list by stream
        self.connections = {}
        self.positions = {}  # number of the last applied event by stream

    def has_applied(self, identity):
        return self.purged.get(identity.object_id, 0) >= identity.unix_ms


class Connection:
    """A connection between a front and a node; messages are queued until a test delivers them."""

    def __init__(self, incarnation, node, number):
        self.incarnation, self.node, self.number = incarnation, node, number
        log, confirmation = node.control.event_log, node.control.confirmation
        stream = log.stream if log.stream in incarnation.positions else "-"
        last = incarnation.positions.get(stream, 0)
        record = confirmation.admit(incarnation.name, incarnation.start_ms)
        hello = FrontHello(incarnation.name, incarnation.start_ms, stream)
        if previous := node.connections.get(record.connection):
            node.close(previous)
        resumed = resumable_index(hello, last, log, record)
        confirmation.record_connected(incarnation.name, incarnation.start_ms, number, 1)
        self.session = Session(log, 1024)
        self.reader = Reader(last, self.session.start_for_front(resumed))
        self.reader.endpoints = incarnation.lists.setdefault(log.stream, self.reader.endpoints)
        self.lines, self.acknowledgements, self.acknowledged = deque(), deque(), 0

    def send(self, now):
        batch = self.session.next_batch(now)
        if batch:
            self.session.record_written(batch, len(batch))
            self.lines.extend(batch.splitlines())

    def apply(self, count):
        """Apply up to `count` received lines at the front, in order."""
        for _ in range(min(count, len(self.lines))):
            self.reader.read(self.lines.popleft())
        for (_, object_id), unix_ms in self.reader.purged.items():
            self.incarnation.purged[object_id] = max(unix_ms, self.incarnation.purged.get(object_id, 0))
        if self.snapshot_complete:
            self.incarnation.positions[self.session.log.stream] = self.reader.last_index

    @property
    def snapshot_complete(self):
        return self.reader.last_index >= self.reader.snapshot_to

    def acknowledge(self):
        if self.snapshot_complete and self.reader.last_index > self.acknowledged:
            self.acknowledged = self.reader.last_index
            self.acknowledgements.append(self.acknowledged)

    def receive(self, now):
        """Read one acknowledgement at the node."""
        if self.acknowledgements:
            index = self.acknowledgements.popleft()
            self.session.accept_applied(EventsApplied(index))
            self.node.control.confirmation.record_applied(self.incarnation.name, self.number, index, now)


class Node:
    """A control node without sockets, with its position in the discovery events and its connections."""

    def __init__(self, name, discovery, sink):
        self.name, self.discovery, self.sink = name, discovery, sink
        self.connection_count = 0
        self.start()

    def start(self):
        self.control = ControlNode(SETTINGS, self.name, sink=self.sink)
        self.connections, self.restart_count, self.position = {}, self.discovery.restart_count, 0

    def receive(self):
        """Receive the next event of the discovery service, or a heartbeat if there is none."""
        sequence, events = self.control.discovery_client.sequence, self.discovery.events
        if self.restart_count != self.discovery.restart_count:
            self.restart_count, self.position = self.discovery.restart_count, 0
            if sequence.last_index > len(events):
                with pytest.raises(InvalidLineError):
                    sequence.receive(Heartbeat(len(events)))
            else:  # the numbers do not reveal the restart; the client continues from its last index
                self.position = sequence.last_index
        if self.position < len(events):
            sequence.receive(events[self.position])
            self.position += 1
        else:
            sequence.receive(Heartbeat(len(events)))

    def receive_all(self):
        while self.restart_count != self.discovery.restart_count or self.position < len(
            self.discovery.events
        ):
            self.receive()
        self.receive()

    def connect(self, incarnation):
        self.connection_count += 1
        connection = Connection(incarnation, self, self.connection_count)
        self.connections[connection.number] = connection
        incarnation.connections[self.name] = connection

    def close(self, connection):
        self.connections.pop(connection.number, None)
        self.control.confirmation.record_disconnected(
            connection.incarnation.name, connection.number, connection.session.sent_index
        )
        if connection.incarnation.connections.get(self.name) is connection:
            del connection.incarnation.connections[self.name]

    def answer(self):
        return NodeAnswer(self.name, decode_status(encode_status(self.control.status())))
