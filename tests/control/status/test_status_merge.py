"""The status of a deployment, merged from the statuses of its control nodes."""

import os
from dataclasses import replace

import pytest

from marbleglade.control.node.control_node import ControlNode
from marbleglade.control.settings import RegionSettings
from marbleglade.control.status.merge import NodeAnswer, merge
from marbleglade.control.status.node_status import InvalidStatusError, decode_status
from marbleglade.model.watch_event import NEVER, Purge
from tests.control.events.control_plane_model import FRONTS, SETTINGS, UNUSED_ADDRESS
from tests.harness.units import SECOND_NS


def create_nodes(*nodes):
    """Create control nodes without sockets; return them and a function that returns their merged status."""
    controls = [ControlNode(SETTINGS, name, sink=os.open(os.devnull, os.O_WRONLY)) for name in nodes]

    def status():
        return merge(SETTINGS, [NodeAnswer(control.node.name, control.status()) for control in controls])

    return controls, status


def test_the_duration_excludes_acknowledgements_repeated_at_another_node():
    (first, second), status = create_nodes("c1", "c2")
    purge = Purge(1, 7, 0, 70)
    for control in (first, second):
        control.confirmation.add_purge(1, purge, SECOND_NS, 1000, True)
    for number, name in enumerate(FRONTS, 1):
        first.confirmation.record_connected(name, 5, number, 0)
        first.confirmation.record_applied(name, number, 1, SECOND_NS + number * 1_000_000)
    assert status().purges[0].duration_ms == 3
    second.confirmation.record_connected("f1", 5, 1, 60 * SECOND_NS)
    second.confirmation.record_applied("f1", 1, 1, 60 * SECOND_NS)
    assert status().purges[0].duration_ms == 3


def test_a_restarted_node_that_received_a_purge_in_a_replay_does_not_change_its_duration():
    (first, second), status = create_nodes("c1", "c2")
    purge = Purge(1, 7, 0, 70)
    first.confirmation.add_purge(1, purge, SECOND_NS, 1000, True)
    second.confirmation.add_purge(1, purge, 90 * SECOND_NS, 90_000, False)
    for control, now in ((first, 2 * SECOND_NS), (second, 91 * SECOND_NS)):
        for number, name in enumerate(FRONTS[: 3 if control is second else 2], 1):
            control.confirmation.record_connected(name, 5, number, 0)
            control.confirmation.record_applied(name, number, 1, now)
    summary = status().purges[0]
    assert not summary.missing_fronts.count and summary.live and summary.duration_ms == 1000


def test_a_configuration_is_merged_by_version_and_rejections_are_named():
    (first, second), status = create_nodes("c1", "c2")
    assert status().configuration.version == 0
    first.confirmation.add_configuration(1, SECOND_NS, 1000)
    first.confirmation.add_configuration(2, SECOND_NS, 1000)
    second.confirmation.add_configuration(1, SECOND_NS, 1000)
    for number, name in enumerate(FRONTS, 1):
        second.confirmation.record_connected(name, 5, number, 0)
    second.confirmation.record_configured("f1", 1, 2, 2 * SECOND_NS)
    second.confirmation.record_configured("f2", 2, 1, 2 * SECOND_NS)
    second.confirmation.record_rejected("f3", 3, 2, "no such cache")
    configuration = status().configuration
    assert configuration.version == 2 and configuration.missing_fronts.first_names == ("f2", "f3")
    assert [(rejection.front, rejection.reason) for rejection in configuration.rejections] == [
        ("f3", "no such cache")
    ]
    for number, name in enumerate(FRONTS, 1):
        second.confirmation.record_configured(name, number, 2, 3 * SECOND_NS)
    assert status().configuration.missing_fronts.count == 0


def test_a_status_of_another_deployment_or_node_is_ignored_and_other_fronts_are_translated():
    other = replace(SETTINGS, deployment="other")
    other_fronts = replace(
        SETTINGS, regions=(RegionSettings("east", UNUSED_ADDRESS, ("f3", "f9", "f1")),)
    )  # f2 is not listed there
    sink = os.open(os.devnull, os.O_WRONLY)
    node_of_other_deployment, control = (
        ControlNode(other, "c1", sink=sink),
        ControlNode(other_fronts, "c2", sink=sink),
    )
    control.confirmation.add_purge(1, Purge(1, 7, 0, 70), SECOND_NS, 1000, True)
    for number, name in enumerate(("f3", "f9", "f1"), 1):
        control.confirmation.record_connected(name, 5, number, 0)
    control.confirmation.record_applied("f3", 1, 1, 2 * SECOND_NS)
    status = merge(
        SETTINGS, [NodeAnswer("c1", node_of_other_deployment.status()), NodeAnswer("c2", control.status())]
    )
    assert status.unreachable_nodes == ["c1"] and "another deployment" in status.answers[0].error
    assert status.purges[0].missing_fronts.first_names == ("f1", "f2") and status.connected_count == 2
    renamed = merge(SETTINGS, [NodeAnswer("c3", control.status())])
    assert renamed.unreachable_nodes == ["c3"]


def test_a_purge_without_a_time_is_a_purge_of_its_own_at_each_node():
    (first, second), status = create_nodes("c1", "c2")
    for control in (first, second):
        control.confirmation.add_purge(1, Purge(1, 7, 0, NEVER), SECOND_NS, 1000, True)
    for number, name in enumerate(FRONTS, 1):
        first.confirmation.record_connected(name, 5, number, 0)
        first.confirmation.record_applied(name, number, 1, 2 * SECOND_NS)
    assert sorted(purge.missing_fronts.count for purge in status().purges) == [0, 3]


@pytest.mark.parametrize("line", [b"", b"[]\n", b"{}\n", b'{"deployment":"x"}\n', b"7\n"])
def test_a_line_that_is_not_a_status_is_rejected(line):
    with pytest.raises(InvalidStatusError):
        decode_status(line)
