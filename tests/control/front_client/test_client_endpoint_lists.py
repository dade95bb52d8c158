"""Which list of caches a control plane client has in force: that of a node or of the discovery service."""

from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange, Purge
from tests.control.front_client.client_harness import cache, start_with_list, wait
from tests.control.front_client.endpoints import endpoint


def test_the_list_of_the_secondary_is_in_force_at_once_when_the_primary_is_lost(make_client):
    harness = make_client()
    start_with_list(harness)
    remaining = harness.secondary
    remaining.announce([cache("c")])
    wait(lambda: "applied 2" in remaining.received_lines)
    assert harness.target.active == {"a", "b"}  # the list of the primary is in force
    harness.primary.close()
    wait(lambda: harness.target.active == {"a", "b", "c"})
    assert len([line for line in remaining.received_lines if line.startswith("follow ")]) == 1


def test_a_cache_withdrawn_by_the_secondary_stays_withdrawn_while_the_primary_lists_it(make_client):
    harness = make_client()
    start_with_list(harness)
    harness.secondary.announce([cache("a", "leaving", 5)])
    wait(lambda: harness.target.withdrawn == ["a"])
    harness.primary.announce([cache("a", "active", 5), cache("d")])
    wait(lambda: "d" in harness.target.active)
    assert "a" not in harness.target.active
    harness.primary.announce([cache("a", "leaving", 5)])
    harness.primary.announce([cache("a", "active", 6)])
    wait(lambda: "a" in harness.target.active)


def test_without_nodes_the_client_follows_discovery_and_uses_no_removed_cache(make_client):
    harness = make_client()
    start_with_list(harness)
    harness.primary.announce([cache("b", "left", 1)])
    wait(lambda: harness.target.active == {"a"})
    for node in harness.nodes:
        node.close()
    wait(lambda: harness.discovery.calls == ["pause", "resume"])
    replayed = [endpoint("b"), endpoint("b", UpstreamState.REMOVED), endpoint("e")]
    for index, replayed_endpoint in enumerate(replayed, 1):
        harness.client.handle_discovery_event(EndpointListChange(index, False, [replayed_endpoint]))
        assert harness.target.active == {"a"}  # the list is not applied before the replay is complete
    harness.client.handle_discovery_event(Purge(4, 9, 0, 100))
    assert [purge.object_id for purge in harness.target.purges] == [9]
    harness.client.handle_discovery_caught_up()
    assert harness.target.active == {"a", "e"}
    harness.client.handle_discovery_event(
        EndpointListChange(5, False, [endpoint("e", UpstreamState.DRAINING)])
    )
    assert harness.target.active == {"a"}


def test_the_list_of_a_restarted_discovery_service_is_applied_once_it_is_complete(make_client):
    harness = make_client(0)
    for index, name in enumerate("ab", 1):
        harness.client.handle_discovery_event(EndpointListChange(index, index == 1, [endpoint(name)]))
    harness.client.handle_discovery_caught_up()
    harness.client.handle_discovery_event(
        EndpointListChange(3, False, [endpoint("a", UpstreamState.REMOVED)])
    )
    assert harness.target.active == {"b"}
    replayed = [endpoint("a"), endpoint("c"), endpoint("a", UpstreamState.REMOVED)]
    for index, replayed_endpoint in enumerate(replayed, 1):
        harness.client.handle_discovery_event(EndpointListChange(index, index == 1, [replayed_endpoint]))
        assert harness.target.active == {"b"}
    harness.client.handle_discovery_caught_up()
    assert harness.target.active == {"c"}
