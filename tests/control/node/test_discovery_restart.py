"""Control node processes while their discovery service restarts or is down."""

from marbleglade.model.watch_event import EndpointListChange, Heartbeat
from marbleglade.testing.discovery_service import DiscoveryService
from tests.control.node.control_plane_processes import wait_until


def test_a_restarted_discovery_service_is_watched_again_and_its_complete_list_applied(start_plane):
    plane = start_plane()
    for number in range(5):
        plane.discovery.purge(number + 1, 0, 100)
    watcher = plane.watch("follow 0")
    wait_until(lambda: watcher.last_index == 6)
    plane.discovery.restart_numbering()
    plane.discovery.announce_address("box2", ("127.0.0.1", 8001), "edge")
    plane.discovery.purge(3, 0, 100)  # a duplicate, which adds no event
    wait_until(lambda: watcher.last_index == 7)
    change = watcher.events[-1]
    assert (
        isinstance(change, EndpointListChange)
        and change.complete
        and [endpoint.id for endpoint in change.endpoints] == ["box2"]
    )
    plane.discovery.purge(9, 0, 200)
    wait_until(lambda: watcher.purged(9))
    assert (
        watcher.last_index == 8
        and not watcher.ended
        and plane.status().counters["discovery.index_restart"] == 1
    )


def test_a_node_sends_no_heartbeat_without_its_discovery_service(start_plane):
    plane = start_plane()
    watcher = plane.watch("follow 0")
    wait_until(lambda: Heartbeat(1) in watcher.lines)
    address = plane.discovery.address
    plane.discovery.close()
    wait_until(lambda: not plane.status().current)
    line_count = len(watcher.lines)
    assert "NOT CURRENT" in plane.command("status")[1]
    assert len(watcher.lines) == line_count and not watcher.ended
    plane.discovery = DiscoveryService(address=address)
    plane.discovery.announce_address("box2", ("127.0.0.1", 8001), "edge", full_list=True)
    wait_until(lambda: plane.status().current and len(watcher.lines) > line_count + 2)
