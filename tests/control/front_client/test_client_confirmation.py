"""Lines that a control plane client sends: confirmations, rejections, load reports and its shutdown."""

import gevent

from marbleglade.control.messages import LoadView, encode_load_view
from tests.control.front_client.client_harness import cache, start_with_list, wait


def test_a_purge_received_from_two_nodes_is_applied_once_and_confirmed_to_both(make_client):
    harness = make_client()
    start_with_list(harness)
    assert harness.target.active == {"a", "b"}
    harness.secondary.purge(7, 0, 100)
    wait(lambda: harness.target.purges)
    harness.primary.purge(7, 0, 100)
    harness.primary.purge(8, 0, 100)
    wait(lambda: len(harness.target.purges) == 2)
    wait(
        lambda: (
            "applied 3" in harness.primary.received_lines and "applied 2" in harness.secondary.received_lines
        )
    )
    assert harness.counters.counts["control.duplicate_purge"] == 1
    assert harness.discovery.calls == ["pause"]


def test_load_reports_are_sent_to_the_primary_and_only_its_load_views_are_applied(make_client):
    views = []
    harness = make_client(apply_load_view=views.append)
    start_with_list(harness)
    assert harness.client.report(b"report")
    wait(lambda: any(line.startswith("report ") for line in harness.primary.received_lines))
    assert not any(line.startswith("report ") for line in harness.secondary.received_lines)
    harness.secondary.broadcast(encode_load_view(LoadView(b"view of the secondary")))
    harness.primary.broadcast(encode_load_view(LoadView(b"view of the primary")))
    wait(lambda: views)
    gevent.sleep(0.1)
    assert views == [b"view of the primary"]
    harness.client.leave()
    assert not harness.client.report(b"report")


def test_a_new_stream_is_confirmed_by_its_own_indices(make_client):
    harness = make_client(1)
    start_with_list(harness)
    node = harness.nodes[0]
    for elapsed_ms in range(3):
        node.purge(7, 0, 100 + elapsed_ms)
    wait(lambda: "applied 4" in node.received_lines)
    node.stream, node.event_lines, node.received_lines = "second-stream", [], []
    node.announce([cache("a")], full_list=True)
    node.drop_connections()
    wait(lambda: "applied 1" in node.received_lines)
    assert "applied 4" not in node.received_lines and harness.target.active == {"a"}


def test_a_snapshot_is_confirmed_only_after_the_event_of_its_last_index(make_client):
    harness = make_client(1)
    node = harness.nodes[0]
    node.snapshot_to, node.sends_heartbeats = 9, False
    node.announce([cache("a")], full_list=True)
    node.purge(7, 0, 100)
    harness.start()
    wait(lambda: harness.target.purges)
    node.broadcast(b"9\n")  # a heartbeat with the last index does not end the snapshot
    node.broadcast(b'{"index":9,"evict":{"ref":"8","unix_ms":100}}\n')
    wait(lambda: any(line.startswith("applied") for line in node.received_lines))
    assert [line for line in node.received_lines if line.startswith("applied")] == ["applied 9"]


def test_a_rejected_configuration_is_answered_with_the_reason_and_the_previous_one_stays(make_client):
    harness = make_client()
    harness.target.rejections = {5: "no such field"}
    start_with_list(harness)
    for version in (4, 5, 4):
        harness.primary.publish_configuration(version, f"text {version}")
    wait(
        lambda: (
            "refused 5 no such field" in harness.primary.received_lines
            and "applied 4" in harness.primary.received_lines
        )
    )
    harness.secondary.publish_configuration(4, "text 4")
    harness.secondary.publish_configuration(5, "text 5")
    wait(lambda: "refused 5 no such field" in harness.secondary.received_lines)
    assert "configured 4" in harness.secondary.received_lines and harness.target.versions == [(4, "text 4")]
    assert harness.client.status()["version"] == 4
    answers = ["configured 4", "refused 5 no such field"]
    sent = [line for line in harness.primary.received_lines if line in answers]
    harness.primary.drop_connections()  # the answer may have been lost and is sent again
    wait(lambda: len([line for line in harness.primary.received_lines if line in answers]) == len(sent) + 1)


def test_a_failed_event_is_requested_again_and_not_confirmed_if_it_fails_twice(make_client):
    harness = make_client(1)
    start_with_list(harness)
    node = harness.nodes[0]
    harness.target.failures_left = 1
    node.purge(7, 0, 100)
    wait(lambda: "applied 2" in node.received_lines)  # applied at the second attempt
    assert [purge.object_id for purge in harness.target.purges] == [7]
    harness.target.failures_left = 2
    node.purge(8, 0, 100)
    node.purge(9, 0, 100)
    wait(lambda: [purge.object_id for purge in harness.target.purges] == [7, 9])
    wait(lambda: harness.target.limits)  # purge 8 is missing, so the age of cached objects is limited
    assert not {"applied 3", "applied 4"} & {*node.received_lines}


def test_after_the_shutdown_announcement_nothing_is_confirmed_and_no_connection_is_opened(make_client):
    harness = make_client(1)
    start_with_list(harness)
    node = harness.nodes[0]
    harness.client.leave()
    wait(lambda: "leave" in node.received_lines)
    node.purge(7, 0, 100)
    wait(lambda: harness.target.purges)
    gevent.sleep(0.5)  # a confirmation would be sent within 0.2 s
    assert node.received_lines[-1] == "leave"
    node.drop_connections()
    wait(lambda: harness.discovery.calls == ["pause", "resume"])
    gevent.sleep(0.6)  # longer than the first backoff and the confirmation interval
    assert node.received_lines[-1] == "leave" and node.connection_count == 1
