"""Assembles one control node's part in the quorum: its replica, store, connections and server.

Nodes and operators connect to `quorum_address` and write JSON lines (`codec.py`). A node opens a connection
to each other node and only writes to it; it reads from the connections that the other nodes opened. Every
wait has a time limit and every queue has a maximum length. A message that does not fit is dropped, which the
algorithm tolerates like a loss in the network.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from ...runtime import clock
from ...runtime.counters import Counters
from ...runtime.error_guard import ErrorGuard
from ..node.configuration_source import VersionedDocument
from ..node.node_log import NodeLog
from ..settings import ControlSettings, NodeSettings
from .messages import ReplicaHello
from .peer_connection import PeerConnection
from .replica import Replica
from .replica_driver import HEARTBEAT_INTERVAL_NS, ReplicaDriver
from .server import QuorumServer
from .state import Value
from .store import Store


def open_quorum_node(settings: ControlSettings, name: str, directory: str) -> QuorumNode:
    """Open the part of the node `name` in the quorum, with its store in `directory`.

    Raises:
        OSError: The store can't be used or the address can't be listened on; the message is one line.
        ValueError: The settings list no node with this name.
    """
    node = settings.node(name)
    if node is None:
        raise ValueError(f"the settings list no node named {name}")
    counters = Counters()
    store = Store(directory, settings.deployment, name)
    return QuorumNode(settings, node, store, ErrorGuard(counters, NodeLog(name, counters)))


class QuorumNode:
    """The `ConfigurationSource` of a control node that distributes the versions chosen by the quorum.

    Args:
        settings: The settings of the control plane.
        node: The settings of this node.
        store: The store of this node's replica.
        guard: Counts and logs exceptions.

    Raises:
        OSError: The node can't listen on its `quorum_address`.
    """

    def __init__(
        self, settings: ControlSettings, node: NodeSettings, store: Store, guard: ErrorGuard
    ) -> None:
        self.store = store
        self._observers: list[Callable[[VersionedDocument], None]] = []
        members = tuple(member.name for member in settings.nodes)
        hello = ReplicaHello(settings.deployment, node.name)
        self.peers = {
            member.name: PeerConnection(hello, member.quorum_address, guard)
            for member in settings.nodes
            if member.name != node.name
        }
        replica = Replica(node.name, members, store.state, HEARTBEAT_INTERVAL_NS, clock.now())
        self.driver = ReplicaDriver(replica, store, self.peers, self._notify_observers, guard)
        self.server = QuorumServer(node.quorum_address, settings, self.driver, guard)
        self.greenlets: list[gevent.Greenlet] = []

    def subscribe(self, observer: Callable[[VersionedDocument], None]) -> None:
        """Call the observer with each version that is chosen from now on."""
        self._observers.append(observer)

    def current(self) -> VersionedDocument | None:
        """Return the newest chosen version in this node's store; None if there is none."""
        chosen = self.store.state.chosen
        return VersionedDocument(chosen.version, chosen.text) if chosen.version else None

    def run(self) -> None:
        """Run until the greenlet is killed or the store has failed permanently."""
        loops = [self.server.run, *(peer.run for peer in self.peers.values())]
        self.greenlets = [gevent.spawn(loop) for loop in loops]
        try:
            self.driver.run()
        finally:
            self.close()

    def close(self) -> None:
        """Stop all greenlets, and close all connections."""
        gevent.killall(self.greenlets, block=False)
        self.server.close()
        for peer in self.peers.values():
            peer.close()

    def _notify_observers(self, value: Value) -> None:
        for observer in self._observers:
            observer(VersionedDocument(value.version, value.text))
