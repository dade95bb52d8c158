"""Fronts and control nodes as processes: load views computed by control nodes, and service without them."""

import signal
from functools import partial

import pytest

from benchmarks.fleet_load import FleetLoad
from marbleglade.testing.front_fleet import FrontFleet
from tests.harness import waiting
from tests.harness.control_plane import NodeProcesses, control_settings, free_address

WAIT_LIMIT_S = 30  # far longer than any wait in these tests
wait_until = partial(waiting.wait_until, seconds=WAIT_LIMIT_S, interval=0.2)
FRONTS = 6
NODES = ("c1", "c2", "c3")
HEARTBEAT_INTERVAL_MS = 300
VIEW_PERIOD_MS = HEARTBEAT_INTERVAL_MS // 2


class FleetControlNodes(NodeProcesses):
    """Control nodes of a fleet; they watch the discovery service of its first front."""

    def __init__(self, folder, monkeypatch, period_ms=VIEW_PERIOD_MS):
        super().__init__(folder)
        monkeypatch.setenv("MARBLEGLADE_CONTROL", str(self.settings_file("")))
        self.period_ms = period_ms

    def write_settings(self, discovery):
        addresses = {name: (free_address(), free_address()) for name in NODES}
        period = f"view_period_ms: {self.period_ms}"
        text = control_settings(discovery, f"f[0-{FRONTS - 1}]", addresses, more=period)
        self.settings_file("").write_text(text)


@pytest.fixture
def fleet_with_load_views(tmp_path, monkeypatch):
    """A fleet under load; three control nodes aggregate its load view, which includes all fronts."""
    nodes = FleetControlNodes(tmp_path, monkeypatch)
    fleet = load = None
    try:
        fleet = FleetWithControlNodes(tmp_path, nodes)
        nodes.start(*NODES)
        fleet.wait_until_ready()
        load = FleetLoad(fleet, 3, [8.0] * FRONTS)
        wait_until_views_include_reports(fleet, FRONTS)
        yield fleet, load, nodes
    finally:
        invalid_responses = load.finish() if load else 0
        errors = fleet.close() if fleet else []
        nodes.close()
    assert not errors and not invalid_responses, (errors, invalid_responses)
    results = load.results
    assert (results.lost, results.duplicates, results.stale, results.corrupted) == (0, 0, 0, 0), results.notes


class FleetWithControlNodes(FrontFleet):
    """A fleet that writes the control plane settings before its first front starts."""

    def __init__(self, folder, nodes):
        self.nodes, self.settings_written = nodes, False
        super().__init__(FRONTS, folder, 5, heartbeat_ms=HEARTBEAT_INTERVAL_MS)

    def start(self, number):
        if not self.settings_written:
            self.nodes.write_settings(self.discovery_services[0].address)
            self.settings_written = True
        super().start(number)


def fleet_states(fleet):
    return [fleet.counters_event(number)["fleet"] for number in fleet.processes]


def wait_until_views_include_reports(fleet, count):
    wait_until(
        lambda: all(
            state["reporting_fronts"] == count and state["view_age_ms"] < 1000
            for state in fleet_states(fleet)
        )
    )


def test_every_front_receives_the_aggregated_view_and_no_front_is_leader(fleet_with_load_views):
    fleet, load, _ = fleet_with_load_views
    assert load.served_share(2.0) > 0.95
    states = fleet_states(fleet)
    leaderships = [state["leadership"] for state in states]
    assert {(leadership["leader"], leadership["is_leader"]) for leadership in leaderships} == {(-1, False)}
    # The shares of all fronts add up to the whole load.
    assert sum(state["traffic_share"] for state in states) == pytest.approx(1.0, abs=0.5)


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_all_fronts_receive_views_again_after_a_node_dies_or_hangs(fleet_with_load_views, signal_number):
    fleet, load, nodes = fleet_with_load_views
    nodes.send_signal(signal_number, "c1")
    wait_until_views_include_reports(fleet, FRONTS)
    assert load.served_share(1.0) > 0.95
    nodes.kill("c1")
    nodes.start("c1")
    wait_until_views_include_reports(fleet, FRONTS)


def test_without_control_nodes_each_front_decides_alone_until_nodes_restart(fleet_with_load_views):
    fleet, load, nodes = fleet_with_load_views
    nodes.kill(*NODES)
    wait_until(lambda: all(state["view_age_ms"] > 4 * VIEW_PERIOD_MS for state in fleet_states(fleet)))
    assert load.served_share(2.0) > 0.95
    assert not any(state["leadership"]["is_leader"] for state in fleet_states(fleet))
    nodes.start(*NODES)
    wait_until_views_include_reports(fleet, FRONTS)


def test_a_view_period_other_than_half_the_heartbeat_interval_is_rejected(tmp_path, monkeypatch):
    nodes = FleetControlNodes(tmp_path, monkeypatch, period_ms=400)
    fleet = FleetWithControlNodes(tmp_path, nodes)
    try:
        assert {process.wait(WAIT_LIMIT_S) for process in fleet.processes.values()} == {2}
        log_lines = fleet.log_path(0).read_text().splitlines()
        assert "view_period_ms is 400, half of the fleet's beat_ms is 150" in log_lines[-1]
    finally:
        fleet.close()
