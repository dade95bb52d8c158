"""Configuration versions are distributed from their source through a control node to fronts."""

import gevent

from marbleglade.control.messages import ConfigurationEvent
from marbleglade.control.node.configuration_source import VersionedDocument
from marbleglade.control.node.control_node import ControlNode
from tests.control.node.control_plane_processes import WAIT_LIMIT_S, wait_until


class ScriptedConfigurationSource:
    """A configuration source whose versions are published by the test."""

    def __init__(self, version, text):
        self.document = VersionedDocument(version, text)
        self.observers = []

    def subscribe(self, observer):
        self.observers.append(observer)

    def publish(self, version, text):
        for observer in self.observers:
            observer(VersionedDocument(version, text))

    def run(self):
        gevent.sleep(WAIT_LIMIT_S)

    def current(self):
        return self.document


def test_configuration_versions_are_sent_to_fronts_and_the_status_shows_where_they_are_in_force(start_plane):
    plane = start_plane(fronts=2, running=False)
    source = ScriptedConfigurationSource(3, "third")
    node = ControlNode(plane.settings, "c1", source)
    node.start()
    try:
        wait_until(lambda: node.last_heartbeat_at)
        plain, first, second = plane.watch("follow 0"), plane.front(1), plane.front(2)
        wait_until(
            lambda: all(ConfigurationEvent(2, 3, "third") in watcher.events for watcher in (first, second))
        )
        source.publish(4, "fourth")
        source.publish(4, "another fourth")
        source.publish(2, "second")
        wait_until(lambda: all(watcher.last_index == 3 for watcher in (plain, first, second)))
        assert first.events[-1] == ConfigurationEvent(3, 4, "fourth") and len(plain.events) == 3
        first.send("configured 3", "configured 4")
        second.send("configured 3", "refused 4 no such cache")
        wait_until(
            lambda: (
                node.status().fronts[1].rejected_version == 4
                and node.status().fronts[0].configuration_version == 4
            )
        )
        exit_code, output, _ = plane.command("status")
        assert exit_code == 1 and "version 4 NOT IN FORCE, lacking 1: f2" in output
        assert "refused by f2: no such cache" in output
        second.send("configured 4")
        wait_until(lambda: node.status().fronts[1].configuration_version == 4)
        assert "version 4 in force everywhere" in plane.command("status")[1]
    finally:
        node.close()
    assert not any(name.startswith("exception") for name in node.counters.counts)
