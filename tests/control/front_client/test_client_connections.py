"""A control plane client resumes lost connections, and closes those on which it receives invalid data."""

import pytest

from tests.control.front_client.client_harness import cache, start_with_list, wait


def test_a_lost_connection_is_resumed_from_the_last_applied_index(make_client):
    harness = make_client(1)
    start_with_list(harness)
    node = harness.nodes[0]
    node.purge(7, 0, 100)
    wait(lambda: "applied 2" in node.received_lines)
    node.drop_connections()
    node.purge(8, 0, 100)
    wait(lambda: "applied 3" in node.received_lines)
    assert [line for line in node.received_lines if line.startswith("f")] == [
        "front f1 77 -",
        "follow 0",
        "front f1 77 s1",
        "follow 2",
    ]
    assert [purge.object_id for purge in harness.target.purges] == [7, 8]


@pytest.mark.parametrize(
    "data, error_name",
    [
        (b"garbage\n", "InvalidLineError"),
        (b'{"index":9,"evict":{"ref":"8","unix_ms":100}}\n', "SequenceError"),
        (b'{"control":{"deployment":"d","node":"n1","stream":"s1","snapshot_to":0}}\n', "InvalidLineError"),
        (b"0\n", "SequenceError"),
        (b"x" * ((1 << 20) + 1), "InvalidLineError"),
        (b'{"index":', "SilentNodeError"),
    ],
)
def test_invalid_and_incomplete_lines_end_the_connection_and_lose_no_event(make_client, data, error_name):
    harness = make_client(1)
    start_with_list(harness)
    node = harness.nodes[0]
    node.sends_heartbeats = False
    node.broadcast(data)
    wait(lambda: harness.counters.counts["control.connection_lost"])
    assert harness.disconnect_reasons()[-1].startswith(error_name)
    node.sends_heartbeats = True
    node.purge(7, 0, 100)
    wait(lambda: "applied 2" in node.received_lines)
    assert [purge.object_id for purge in harness.target.purges] == [7]


@pytest.mark.parametrize(
    "first_line, reason",
    [
        (b"0\n", "the first line is not a greeting"),
        (
            b'{"control":{"deployment":"x","node":"n1","stream":"s","snapshot_to":0}}\n',
            "the server belongs to deployment x, expected d",
        ),
        (
            b'{"control":{"deployment":"d","node":"n9","stream":"s","snapshot_to":0}}\n',
            "the server is node n9, expected n1",
        ),
    ],
)
def test_a_server_that_is_not_the_expected_node_is_logged_and_not_used(make_client, first_line, reason):
    harness = make_client(1)
    node = harness.nodes[0]
    node.first_line = first_line
    node.announce([cache("q")], full_list=True)
    harness.start()
    wait(lambda: harness.counters.counts["control.rejected"])
    assert harness.disconnect_reasons() == [reason] and not harness.target.lists
    unavailable = harness.client.status()["unavailable"]
    assert [state["node"] for state in unavailable] == ["n1"] and unavailable[0]["reconnect_in_ms"] > 25_000
    assert node.connection_count == 1
