"""A front process with a control plane: failing nodes, the fallback to the discovery service, shutdown."""

import json
import os
import signal
import subprocess
import sys
import time

import orjson
import pytest

from marbleglade.runtime import clock
from marbleglade.testing.control_node import StandInControlNode
from marbleglade.testing.discovery_service import DiscoveryService
from tests.harness.control_plane import ControlPlane
from tests.harness.programs import run_program
from tests.harness.servers import LineServer
from tests.harness.settings import endpoint_entry, front_configuration

PURGE_DEADLINE_S = 2.6  # the default in the settings of the control plane


def cache(id, state="active"):
    """An entry of the list of caches, as the discovery service and the nodes send it."""
    return endpoint_entry(id, state=state, started_ms=1)


def list_line(index, servers, full_list=False):
    """The line of a list change event."""
    return orjson.dumps({"index": index, "endpoints": {"full": full_list, "servers": servers}}) + b"\n"


@pytest.fixture
def control_plane(tmp_path):
    """Creates control planes, and closes them after the test."""
    planes = []

    def make(*args, **options):
        planes.append(ControlPlane(tmp_path, *args, **options))
        return planes[-1]

    yield make
    for plane in planes:
        plane.close()


@pytest.fixture
def discovery():
    """A discovery service."""
    service = DiscoveryService()
    yield service
    service.close()


def seconds_until_purge_received(plane, discovery, object_id):
    """Purges an object, and returns the seconds until the front has received the purge."""
    count_before, started_at = plane.front.counter("purge.received"), time.monotonic()
    discovery.purge(object_id, 0, clock.unix_ns() // 1_000_000)
    plane.wait_until(lambda: plane.front.counter("purge.received") > count_before)
    return time.monotonic() - started_at


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_purge_is_applied_in_time_although_a_node_dies_or_hangs(control_plane, discovery, signal_number):
    plane = control_plane(3, scripted=False, discovery_address=discovery.address)
    discovery.announce_address("k", ("127.0.0.1", 9), "box", full_list=True, started_ms=1)
    for name in plane.names:
        plane.start_node(name)
    plane.start_front(known={"index": 0, "updates": []})
    plane.wait_until(lambda: len(plane.current_nodes()) == 2 and plane.cache_states() == {"k": "ACTIVE"})
    assert len(discovery.watchers) == 3  # the three nodes; the front has closed its own watch
    assert seconds_until_purge_received(plane, discovery, 7) < PURGE_DEADLINE_S
    primary = plane.front.counters_event()["control"]["primary"]
    plane.processes.send_signal(signal_number, primary)
    assert seconds_until_purge_received(plane, discovery, 8) < PURGE_DEADLINE_S
    plane.wait_until(lambda: len(plane.current_nodes() - {primary}) == 2)
    assert seconds_until_purge_received(plane, discovery, 9) < PURGE_DEADLINE_S
    assert not plane.front.log.events(event="control", source="discovery") and plane.cache_states() == {
        "k": "ACTIVE"
    }
    assert not [line for line in plane.front.log.events(event="control") if "age_limit_ms" in line]


def deployment_status(plane):
    """The status of the deployment, as printed by `marbleglade control status`."""
    result = run_program("control", "status", plane.settings_file, "--json")
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)


def test_status_shows_an_applied_purge_as_done_and_a_stopped_front_as_left(control_plane, discovery):
    plane = control_plane(2, scripted=False, discovery_address=discovery.address)
    discovery.announce_address("k", ("127.0.0.1", 9), "box", full_list=True, started_ms=1)
    for name in plane.names:
        plane.start_node(name)
    plane.start_front(known={"index": 0, "updates": []})
    plane.wait_until(lambda: len(plane.current_nodes()) == 2)
    plane.front.process.send_signal(signal.SIGSTOP)
    discovery.purge(7, 0, clock.unix_ns() // 1_000_000)
    plane.wait_until(lambda: len(deployment_status(plane)["purges"]) == 1)
    assert deployment_status(plane)["purges"][0]["lacking"] == {"count": 1, "first": ["n3"]}
    plane.front.process.send_signal(signal.SIGCONT)
    plane.wait_until(lambda: deployment_status(plane)["purges"][0]["done"])
    assert plane.front.counter("control.purge") == 1
    plane.front.process.send_signal(signal.SIGTERM)
    plane.wait_until(lambda: plane.front.process.poll() is not None)
    assert deployment_status(plane)["fronts"] == {
        "listed": 1,
        "connected": 0,
        "left": 1,
        "absent": {"count": 0, "first": []},
    }


def start_with_two_nodes(control_plane, **options):
    """Starts a front with two scripted nodes that list the caches a and b."""
    plane = control_plane(**options)
    for node in plane.nodes.values():
        node.announce([cache("a"), cache("b")], full_list=True)
    plane.start_front()
    plane.discovery.wait_for_lines(1)
    plane.wait_until(
        lambda: len(plane.current_nodes()) == 2 and plane.front.log.events(event="control", source="nodes")
    )
    assert plane.cache_states() == {"a": "ACTIVE", "b": "ACTIVE"}
    return plane


def test_without_nodes_a_front_follows_discovery_and_uses_no_removed_cache(control_plane):
    plane = start_with_two_nodes(control_plane)
    for node in plane.nodes.values():
        node.announce([cache("a", "leaving")])
        node.announce([cache("b", "left")])
    plane.wait_until(lambda: plane.cache_states() == {"a": "DRAINING"})
    for node in plane.nodes.values():
        node.close()
    plane.wait_until(lambda: len(plane.discovery.lines) == 2)
    assert plane.discovery.lines == ["follow 2", "follow 2"]
    replay = [
        list_line(3, [cache("a"), cache("b"), cache("e")], full_list=True),
        list_line(4, [cache("a", "leaving")]),
        b'{"index":5,"evict":{"ref":"9","unix_ms":100}}\n',
        list_line(6, [cache("b", "left")]),
    ]
    plane.discovery.sockets[-1].sendall(b"".join(replay))
    plane.wait_until(lambda: plane.front.counter("control.purge") == 1)  # purges are applied at once
    assert plane.cache_states() == {"a": "DRAINING"}  # lists are applied after the last index
    plane.discovery.sockets[-1].sendall(b"6\n")
    plane.wait_until(lambda: plane.cache_states() == {"a": "DRAINING", "e": "ACTIVE"})
    plane.discovery.sockets[-1].sendall(list_line(7, [cache("e", "leaving")]))
    plane.wait_until(lambda: plane.cache_states() == {"a": "DRAINING", "e": "DRAINING"})


def test_restarted_nodes_are_used_again_and_the_watch_of_discovery_is_closed(control_plane):
    plane = start_with_two_nodes(control_plane)
    for node in plane.nodes.values():
        node.close()
    plane.wait_until(lambda: len(plane.discovery.lines) == 2)
    for name, old in plane.nodes.items():
        plane.nodes[name] = StandInControlNode(name, "d", f"restarted-{name}", old.address)
        plane.nodes[name].announce([cache("z")], full_list=True)
    plane.wait_until(lambda: len(plane.front.log.events(event="control", source="nodes")) == 2)
    assert (
        plane.cache_states() == {"z": "ACTIVE"}
        and plane.front.counters_event()["control"]["discovery"] is False
    )
    assert plane.discovery.sockets[-1].recv(1) == b""  # the front has closed it


def test_the_age_of_cached_objects_is_limited_while_purges_may_be_missed(control_plane):
    plane = start_with_two_nodes(control_plane, settings="purge_deadline_ms: 2000")
    plane.discovery.accept_loop.kill()  # it no longer accepts connections
    for node in plane.nodes.values():
        node.silent = True
    plane.wait_until(lambda: plane.front.log.events(event="control", age_limit_ms=1500))
    for node in plane.nodes.values():
        node.silent = False
        node.drop_connections()
    plane.wait_until(lambda: plane.front.log.events(event="control", age_limit_ms=0))
    assert plane.front.counters_event()["control"]["age_limit_ms"] == 0
    prefixes = ("exception", "violated_invariant")
    assert not [name for name in plane.front.counters_event()["counts"] if name.startswith(prefixes)]


def test_a_node_of_another_deployment_is_logged_and_not_used(control_plane):
    plane = control_plane()
    other_node, node = plane.nodes["c1"], plane.nodes["c2"]
    other_node.deployment = "another"
    for listing_node in plane.nodes.values():
        listing_node.announce([cache(listing_node.name)], full_list=True)
    plane.start_front()
    plane.wait_until(
        lambda: plane.current_nodes() == {"c2"} and plane.front.log.events(event="control", source="nodes")
    )
    assert plane.front.log.events(
        event="control", node="c1", disconnected="the server belongs to deployment another, expected d"
    )
    assert (
        plane.cache_states() == {"c2": "ACTIVE"}
        and other_node.connection_count == 1
        and node.connection_count == 1
    )


def test_an_invalid_configuration_is_rejected_to_both_nodes_and_logged(control_plane):
    plane = start_with_two_nodes(control_plane)
    for node in plane.nodes.values():
        node.publish_configuration(4, "nonsense: {")
        node.purge(7, 0, 100)
    plane.wait_until(lambda: all([*node.received_lines][-1] == "applied 3" for node in plane.nodes.values()))
    for node in plane.nodes.values():
        assert len([line for line in node.received_lines if line.startswith("refused 4 ")]) == 1
    assert (
        plane.front.log.events(event="control", rejected_version=4)
        and plane.front.counters_event()["control"]["version"] == 0
    )


def test_a_configuration_is_applied_and_confirmed_to_both_nodes(control_plane):
    plane, new_discovery = start_with_two_nodes(control_plane), LineServer()
    address = f"{new_discovery.address[0]}:{new_discovery.address[1]}"
    text = f'deployment: "d" base_version: 3 region {{ name: "east" discovery: "{address}" }}'
    for node in plane.nodes.values():
        node.publish_configuration(4, text)
    plane.wait_until(lambda: all("configured 4" in node.received_lines for node in plane.nodes.values()))
    assert plane.front.counters_event()["control"]["version"] == 4
    for node in plane.nodes.values():
        node.close()
    assert new_discovery.wait_for_lines(1) == "follow 2"  # the front uses the address of the applied version
    new_discovery.close()


def test_sigterm_is_announced_to_the_nodes_and_the_front_exits(control_plane):
    plane = start_with_two_nodes(control_plane)
    plane.front.process.send_signal(signal.SIGTERM)
    plane.wait_until(lambda: plane.front.process.poll() is not None)
    assert plane.front.process.returncode == 0
    plane.wait_until(lambda: all(node.received_lines[-1] == "leave" for node in plane.nodes.values()))


@pytest.mark.parametrize(
    "text, expected",
    [
        (None, "No such file"),
        ("deployment: 3", "deployment"),
        ('deployment: "d" nodes {}', "nodes"),
        (
            'deployment: "d" region { name: "east" discovery: "127.0.0.1:9" front: "other" } '
            'node { name: "c1" region: "east" zone: "z" address: "127.0.0.1:1" '
            'quorum_address: "127.0.0.1:2" }',
            "lists no front n3",
        ),
    ],
)
def test_invalid_settings_end_the_front_with_an_error_of_one_line(tmp_path, text, expected):
    (tmp_path / "front.json").write_text(json.dumps(front_configuration()))
    if text is not None:
        (tmp_path / "control").write_text(text)
    control = {"MARBLEGLADE_CONTROL": str(tmp_path / "control")}
    result = run_program(environment={"GW_CONFIG": str(tmp_path / "front.json")} | control)
    assert result.returncode == 2 and expected in result.stderr and result.stderr.count("\n") == 1


def test_a_front_without_a_control_plane_imports_no_module_of_it(tmp_path):
    (tmp_path / "front.json").write_text(json.dumps(front_configuration()))
    program = (
        "import os, sys, marbleglade.__main__, marbleglade.service.front_process\n"
        "from marbleglade.service import startup_configuration, wiring\n"
        "front = wiring.build_front(startup_configuration.read_startup_configuration(os.environ))\n"
        "loaded = [name for name in sys.modules if name.startswith(('marbleglade.control', 'google'))]\n"
        "print(front.control, loaded, len(front.loops()))"
    )
    environ = os.environ | {"GW_CONFIG": str(tmp_path / "front.json")}
    result = subprocess.run([sys.executable, "-c", program], env=environ, capture_output=True, text=True)
    assert result.stdout == "None [] 2\n"
