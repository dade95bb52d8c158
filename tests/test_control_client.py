"""A front's side of the control plane: the client against scripted nodes, and the front as a process."""

import gevent
import pytest

from marbleglade.control.client import ConfigurationRefusedError, ControlClient
from marbleglade.control.settings import ControlSettings, NodeSettings, RegionSettings
from marbleglade.life.counters import Counters
from marbleglade.life.guard import Guard
from marbleglade.life.log import Log
from marbleglade.standins.controlnode import StandInNode
from marbleglade.wire.coordlines import Purge

from .conftest import MS, until

S = 1000 * MS
PATIENCE = 20  # seconds: far above what anything here takes, also on a busy machine


class RecordingTarget:
    """What a front would be told."""

    def __init__(self):
        self.purges, self.lists, self.taken_away, self.versions, self.limits = [], [], [], [], []
        self.refuses: dict[int, str] = {}
        self.fails = 0  # events that can't be applied, from the next one on

    def apply(self, event):
        if self.fails:
            self.fails -= 1
            raise RuntimeError("seeded")
        (self.purges if isinstance(event, Purge) else self.lists).append(event)

    def take_away(self, change):
        self.taken_away += [member.id for member in change.members]

    def configure(self, version, text):
        if version in self.refuses:
            raise ConfigurationRefusedError(self.refuses[version])
        self.versions.append((version, text))

    def limit_age(self, oldest):
        self.limits.append(oldest)

    @property
    def active(self):
        """The caches in use after all changes so far."""
        held: dict[str, str] = {}
        for change in self.lists:
            held = {} if change.whole else held
            held |= {member.id: member.state for member in change.members}
        return {name for name, state in held.items() if state == "active"}


class RecordingDiscovery:
    def __init__(self):
        self.calls = []

    def resume(self):
        self.calls.append("resume")

    def stand_by(self):
        self.calls.append("stand by")


def cache(name, state="active", started_ms=1):
    return {
        "id": name,
        "addr": "127.0.0.1:9",
        "zone": "z",
        "kind": "box",
        "cell": 0,
        "state": state,
        "started_ms": started_ms,
    }


class Rig:
    """A client in this process between scripted nodes; n1, n2, n3 stand in zones of their own."""

    def __init__(self, sink, count=2, **settings):
        self.nodes = [StandInNode(f"n{number}", "d", f"s{number}") for number in range(1, count + 1)]
        self.settings = ControlSettings(
            "d",
            (RegionSettings("east", ("127.0.0.1", 9), ("f1",)),),
            tuple(
                NodeSettings(node.name, "east", f"z{node.name}", node.address, ("127.0.0.1", 9))
                for node in self.nodes
            ),
            settings.get("purge_deadline", 2600 * MS),
            5000 * MS,
            6144,
        )
        self.target, self.discovery = RecordingTarget(), RecordingDiscovery()
        self.counters = Counters()
        guard = Guard(self.counters, Log("f1", self.counters, sink=sink.fileno()))
        self.client = ControlClient(self.settings, "f1", 77, self.target, guard, self.discovery)
        self.by_name = {node.name: node for node in self.nodes}

    def start(self):
        self.loop = gevent.spawn(self.client.run)

    def node(self, name):
        return self.by_name[name]

    @property
    def primary(self):
        return self.by_name.get(self.client.primary)

    @property
    def secondary(self):
        names = [one["node"] for one in self.survey if one["current"] and one["node"] != self.client.primary]
        return self.by_name[names[0]]

    @property
    def survey(self):
        return self.client.survey()["nodes"]

    def settled(self, count=2):
        """Waits until as many nodes are up to date and one of them is the primary."""
        wait(lambda: self.client.primary and sum(one["current"] for one in self.survey) == count)

    def close(self):
        self.loop.kill()
        for node in self.nodes:
            node.close()


def wait(holds):
    until(holds, PATIENCE, 0.005)


@pytest.fixture
def rig(tmp_path):
    rigs = []
    with (tmp_path / "log").open("ab") as sink:

        def make(count=2, **settings):
            rigs.append(Rig(sink, count, **settings))
            return rigs[-1]

        yield make
        for one in rigs:
            one.close()


def listed(rig, names=("a", "b")):
    """Starts with all nodes telling the same list, and waits until the front uses two of them."""
    for node in rig.nodes:
        node.list([cache(name) for name in names], whole=True)
    rig.start()
    rig.settled(min(2, len(rig.nodes)))


def test_the_first_word_of_either_node_is_applied_and_both_are_confirmed(rig):
    one = rig()
    listed(one)
    assert one.target.active == {"a", "b"}
    one.secondary.purge(7, 0, 100)
    wait(lambda: one.target.purges)
    one.primary.purge(7, 0, 100)
    one.primary.purge(8, 0, 100)
    wait(lambda: len(one.target.purges) == 2)
    wait(lambda: "applied 3" in one.primary.heard and "applied 2" in one.secondary.heard)
    assert one.counters.counts["control.repeated_purge"] == 1
    assert one.discovery.calls == ["stand by"]
