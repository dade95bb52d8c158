"""A control plane client replaces silent and lost nodes, and limits the age of cached objects meanwhile."""

import gevent

from marbleglade.control.messages import LoadView, encode_load_view
from marbleglade.testing.control_node import StandInControlNode
from tests.control.front_client.client_harness import cache, start_with_list, wait
from tests.harness.units import NS_PER_MS


def test_a_silent_node_is_replaced_and_no_purge_is_lost(make_client):
    harness = make_client(3)
    start_with_list(harness)
    silent, remaining = harness.primary, harness.secondary
    third = next(node for node in harness.nodes if node not in (silent, remaining))
    silent.silent = True  # accepts connections and sends nothing
    remaining.purge(7, 0, 100)
    wait(lambda: [purge.object_id for purge in harness.target.purges] == [7])
    wait(lambda: harness.client.primary == remaining.name)
    wait(
        lambda: (
            {node["node"] for node in harness.node_statuses if node["current"]}
            == {remaining.name, third.name}
        )
    )
    assert harness.target.active == {"a", "b"} and harness.discovery.calls == ["pause"]
    assert not harness.target.limits


def test_a_node_that_sends_only_load_views_counts_as_silent(make_client):
    """A node without its discovery service still sends load views, which it computes from load reports."""
    views = []
    harness = make_client(3, apply_load_view=views.append)
    start_with_list(harness)
    cut_off, remaining = harness.primary, harness.secondary
    cut_off.sends_heartbeats = False
    line = encode_load_view(LoadView(b"view"))
    sending = gevent.spawn(lambda: [(cut_off.broadcast(line), gevent.sleep(0.05)) for _ in range(400)])
    wait(lambda: len(views) > 3)
    wait(lambda: harness.client.primary == remaining.name)
    sending.kill()
    assert any("SilentNodeError" in reason for reason in harness.disconnect_reasons())


def test_restarted_nodes_are_used_again(make_client):
    harness = make_client()
    start_with_list(harness)
    for node in harness.nodes:
        node.close()
    wait(lambda: harness.discovery.calls == ["pause", "resume"])
    harness.client.handle_discovery_caught_up()
    for position, old in enumerate(harness.nodes):
        harness.nodes[position] = returned = StandInControlNode(old.name, "d", old.stream + "b", old.address)
        harness.by_name[old.name] = returned
        returned.announce([cache("z")], full_list=True)
    wait(lambda: harness.discovery.calls == ["pause", "resume", "pause"])
    wait(lambda: harness.target.active == {"z"})


def test_the_age_of_cached_objects_is_limited_while_purges_may_be_missed(make_client):
    harness = make_client()
    start_with_list(harness)
    for node in harness.nodes:
        node.silent = True
    wait(lambda: harness.target.limits == [1950 * NS_PER_MS])
    assert harness.discovery.calls == ["pause", "resume"]
    harness.client.handle_discovery_caught_up()
    wait(lambda: harness.target.limits == [1950 * NS_PER_MS, 0])
