"""A purge is confirmed across several control nodes only if each front has applied it: a state machine."""

import os

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from marbleglade.control.events.session import ProtocolError
from marbleglade.control.messages import EventsApplied
from marbleglade.control.status.merge import NodeAnswer, merge
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange, Purge
from tests.control.events.control_plane_model import (
    FRONTS,
    NODES,
    SETTINGS,
    DiscoveryService,
    FrontIncarnation,
    Node,
)
from tests.control.events.stream_reader import endpoint
from tests.harness.units import SECOND_NS

node_names, front_names = st.sampled_from(NODES), st.sampled_from(FRONTS)


class ControlPlane(RuleBasedStateMachine):
    """Nodes, fronts and a discovery service; only rules deliver messages between them."""

    @initialize()
    def start_model(self):
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.now, self.start_count = SECOND_NS, 0
        self.discovery = DiscoveryService()
        self.discovery.publish(EndpointListChange(0, True, [endpoint("a"), endpoint("b")]))
        self.nodes = {name: Node(name, self.discovery, self.sink) for name in NODES}
        for node in self.nodes.values():
            node.receive_all()
        self.fronts, self.all_incarnations, self.purges = {}, {}, []
        # By node and front: the start of the last incarnation at the node, and whether it left.
        self.last_starts = {name: {} for name in NODES}
        for name in FRONTS:
            self.start_front(name)

    def start_front(self, name):
        self.start_count += 1
        self.fronts[name] = FrontIncarnation(name, self.start_count)
        self.all_incarnations[name, self.start_count] = self.fronts[name]

    def connections(self):
        return [connection for name in NODES for connection in self.nodes[name].connections.values()]

    def draw_connection_index(self, data):
        connections = self.connections()
        return data.draw(st.sampled_from(range(len(connections)))) if connections else None

    # Rules of the discovery service.

    @rule(object_id=st.integers(1, 4))
    def purge(self, object_id):
        self.now += SECOND_NS
        purge = Purge(0, object_id, 0, 1000 + len(self.purges))
        self.purges.append(purge)
        self.discovery.publish(purge)

    @rule(
        name=st.sampled_from("abc"),
        state=st.sampled_from([UpstreamState.ACTIVE, UpstreamState.DRAINING, UpstreamState.REMOVED]),
    )
    def change(self, name, state):
        self.discovery.publish(EndpointListChange(0, False, [endpoint(name, state)]))

    @rule()
    def restart_discovery(self):
        self.discovery.restart()

    # Rules of nodes.

    @rule(name=node_names, count=st.integers(1, 4))
    def receive(self, name, count):
        for _ in range(count):
            self.nodes[name].receive()

    @rule(name=node_names)
    def restart_node(self, name):
        node = self.nodes[name]
        for connection in list(node.connections.values()):
            connection.incarnation.connections.pop(name, None)
        self.last_starts[name].clear()
        node.start()
        node.receive_all()

    # Rules of fronts and connections.

    @rule(front=front_names, name=node_names)
    def connect(self, front, name):
        incarnation = self.fronts[front]
        if name in incarnation.connections:
            return
        self.nodes[name].connect(incarnation)
        self.last_starts[name][front] = incarnation.start_ms, False

    @rule(front=front_names)
    def restart_front(self, front):
        """Start a new incarnation; old connections and their messages remain until the node closes them."""
        self.start_front(front)

    @rule(data=st.data(), count=st.integers(1, 9))
    def exchange(self, data, count):
        """Execute random steps of one connection."""
        index = self.draw_connection_index(data)
        if index is None:
            return
        connection = self.connections()[index]
        steps = data.draw(
            st.lists(st.sampled_from(["send", "apply", "acknowledge", "receive"]), min_size=1, max_size=6)
        )
        self.now += SECOND_NS // 4
        for step in steps:
            is_current = self.fronts[connection.incarnation.name] is connection.incarnation
            if step == "send":
                connection.send(self.now)
            elif step == "apply" and is_current:
                connection.apply(count)
            elif step == "acknowledge" and is_current:
                connection.acknowledge()
            elif step == "receive":
                connection.receive(self.now)

    @rule(front=front_names)
    def catch_up(self, front):
        """Apply and acknowledge all events at a front, on all of its connections."""
        for connection in list(self.fronts[front].connections.values()):
            self.deliver_all(connection)

    @rule(data=st.data())
    def close_connection(self, data):
        index = self.draw_connection_index(data)
        if index is not None:
            connection = self.connections()[index]
            connection.node.close(connection)

    @rule(front=front_names)
    def leave(self, front):
        incarnation = self.fronts[front]
        for name, connection in list(incarnation.connections.items()):
            connection.node.control.confirmation.record_left(front, connection.number)
            connection.node.close(connection)
            self.last_starts[name][front] = incarnation.start_ms, True
        self.start_front(front)

    @precondition(lambda self: self.connections())
    @rule(data=st.data(), distance=st.integers(1, 3))
    def acknowledge_unsent_event(self, data, distance):
        connection = self.connections()[self.draw_connection_index(data)]
        with pytest.raises(ProtocolError):
            connection.session.accept_applied(EventsApplied(connection.session.sent_index + distance))

    def deliver_all(self, connection):
        while (wait := connection.session.time_until_ready(self.now)) is not None:
            self.now += wait
            connection.send(self.now)
        connection.apply(len(connection.lines))
        connection.acknowledge()
        while connection.acknowledgements:
            connection.receive(self.now)

    # Checks.

    def status(self, names=NODES):
        answers = [
            self.nodes[name].answer() if name in names else NodeAnswer(name, None, "no answer")
            for name in NODES
        ]
        return merge(SETTINGS, answers)

    def expected_incarnations(self, names):
        """Yield each front that did not leave, with its last incarnation at these nodes or None."""
        for front in FRONTS:
            starts = [self.last_starts[name][front] for name in names if front in self.last_starts[name]]
            start_ms = max((start_ms for start_ms, _ in starts), default=None)
            if (start_ms, True) not in starts:
                yield front, start_ms and self.all_incarnations[front, start_ms]

    def check(self, names):
        for summary in self.status(names).purges:
            if summary.missing_fronts.count:
                continue
            assert summary.duration_ms is not None
            for front, incarnation in self.expected_incarnations(names):
                assert incarnation and incarnation.has_applied(summary.identity), (front, summary)
                connections = [
                    connection for name in names for connection in self.nodes[name].connections.values()
                ]
                assert any(connection.incarnation is incarnation for connection in connections), (
                    f"{front} is not connected and may have restarted"
                )

    @invariant()
    def check_with_all_answers(self):
        self.check(NODES)

    @rule(name=node_names)
    def check_without_answer_of_one_node(self, name):
        names = [node for node in NODES if node != name]
        self.check(names)
        assert self.status(names).unreachable_nodes == [name]

    @rule()
    def deliver_everything(self):
        """Connect every front to two nodes; deliver and acknowledge all events."""
        for node in self.nodes.values():
            node.receive_all()
        for front in FRONTS:
            for name in NODES[:2]:
                self.connect(front, name)
            self.catch_up(front)

    def teardown(self):
        if not hasattr(self, "nodes"):
            return
        self.deliver_everything()
        status = self.status()
        assert status.connected_count == len(FRONTS) and not status.absent_fronts.count
        for name in NODES[:2]:
            log = self.nodes[name].control.event_log
            for incarnation in self.fronts.values():
                assert incarnation.lists[log.stream].endpoints == log.endpoints.endpoints
        tracked_at_first_node = {purge.identity("c1") for purge in self.nodes["c1"].answer().status.purges}
        assert all(
            not purge.missing_fronts.count
            for purge in status.purges
            if purge.identity in tracked_at_first_node
        )
        os.close(self.sink)


def test_no_purge_that_a_listed_front_misses_is_confirmed():
    run_state_machine_as_test(
        ControlPlane,
        settings=settings(
            max_examples=120,
            stateful_step_count=40,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
