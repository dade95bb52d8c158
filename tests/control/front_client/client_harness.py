"""Runs a control plane client in the process of the test, against scripted nodes."""

from functools import partial
from pathlib import Path

import gevent
import orjson

from marbleglade.control.configuration.document import ConfigurationRejectedError
from marbleglade.control.front_client.client import ControlClient
from marbleglade.control.settings import ControlSettings, NodeSettings, RegionSettings
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Purge
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from marbleglade.testing.control_node import StandInControlNode
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until

WAIT_LIMIT_S = 20  # far above the time that any step takes, also on a busy machine
wait = partial(wait_until, seconds=WAIT_LIMIT_S, interval=0.005)


class RecordingTarget:
    """A control target that records the calls of the client."""

    def __init__(self):
        self.purges, self.lists, self.withdrawn, self.versions, self.limits = [], [], [], [], []
        self.rejections: dict[int, str] = {}  # the reason for rejecting each version
        self.failures_left = 0  # number of next events whose application fails

    def apply(self, event):
        if self.failures_left:
            self.failures_left -= 1
            raise RuntimeError("failure requested by the test")
        (self.purges if isinstance(event, Purge) else self.lists).append(event)

    def withdraw(self, change):
        self.withdrawn += [endpoint.id for endpoint in change.endpoints]

    def configure(self, version, text):
        if version in self.rejections:
            raise ConfigurationRejectedError(self.rejections[version])
        self.versions.append((version, text))

    def limit_cache_age(self, max_age):
        self.limits.append(max_age)

    @property
    def active(self):
        """The ids of the active caches after all list changes so far."""
        states: dict[str, str] = {}
        for change in self.lists:
            states = {} if change.complete else states
            states |= {endpoint.id: endpoint.state for endpoint in change.endpoints}
        return {name for name, state in states.items() if state is UpstreamState.ACTIVE}


class RecordingDiscovery:
    """A watch of the discovery service that records the calls of the client."""

    def __init__(self):
        self.calls = []

    def resume(self):
        self.calls.append("resume")

    def pause(self):
        self.calls.append("pause")


def cache(name, state="active", started_ms=1):
    """An entry of the list of caches, as a node sends it."""
    return {
        "id": name,
        "addr": "127.0.0.1:9",
        "zone": "z",
        "kind": "box",
        "cell": 0,
        "state": state,
        "started_ms": started_ms,
    }


class ClientHarness:
    """A client in the process of the test, and scripted nodes n1, n2 and so on, each in its own zone."""

    def __init__(self, sink, count=2, purge_deadline=2600 * NS_PER_MS, apply_load_view=None):
        self.nodes = [StandInControlNode(f"n{number}", "d", f"s{number}") for number in range(1, count + 1)]
        self.settings = ControlSettings(
            "d",
            (RegionSettings("east", ("127.0.0.1", 9), ("f1",)),),
            tuple(
                NodeSettings(node.name, "east", f"z{node.name}", node.address, ("127.0.0.1", 9))
                for node in self.nodes
            ),
            purge_deadline,
            5000 * NS_PER_MS,
            6144,
        )
        self.target, self.discovery = RecordingTarget(), RecordingDiscovery()
        self.counters = Counters()
        guard = ErrorGuard(self.counters, Log("f1", self.counters, sink=sink.fileno()))
        self.client = ControlClient(
            self.settings,
            "f1",
            77,
            self.target,
            guard,
            self.discovery,
            apply_load_view=apply_load_view,
        )
        self.path = Path(sink.name)
        self.greenlet = None
        self.by_name = {node.name: node for node in self.nodes}

    def start(self):
        self.greenlet = gevent.spawn(self.client.run)

    def node(self, name):
        return self.by_name[name]

    @property
    def primary(self):
        return self.by_name.get(self.client.primary)

    @property
    def secondary(self):
        names = [state["node"] for state in self.node_statuses if state["current"]]
        return self.by_name[next(name for name in names if name != self.client.primary)]

    @property
    def node_statuses(self):
        return self.client.status()["nodes"]

    def wait_until_current(self, count=2):
        """Waits until `count` nodes are current and the client has a primary."""
        wait(lambda: self.client.primary and sum(state["current"] for state in self.node_statuses) == count)

    def disconnect_reasons(self):
        """The logged reasons why connections ended, in order."""
        lines = [orjson.loads(line) for line in self.path.read_bytes().splitlines()]
        return [line["disconnected"] for line in lines if "disconnected" in line]

    def close(self):
        self.client.close()
        if self.greenlet:
            self.greenlet.join(WAIT_LIMIT_S)
        for node in self.nodes:
            node.close()


def start_with_list(harness, names=("a", "b")):
    """Starts the client with all nodes sending the same list, and waits until up to two nodes are current."""
    for node in harness.nodes:
        node.announce([cache(name) for name in names], full_list=True)
    harness.start()
    harness.wait_until_current(min(2, len(harness.nodes)))
