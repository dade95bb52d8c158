"""Shared fixtures, and the order in which tests run.

Tests whose outcome depends on real time are in groups. The tests of a group run one after the other, and
different groups run in parallel.
"""

from pathlib import Path

import pytest

from marbleglade.policy_driver import PolicyDriver
from marbleglade.runtime.counters import Counters
from tests.harness.programs import started_front
from tests.harness.regions import TwoRegions
from tests.harness.single_cache_front import SingleCacheFront
from tests.harness.units import NS_PER_MS
from tests.scripted_policy import ScriptedPolicy

# Helper modules whose failed assertions show the compared values, as pytest does for test modules.
pytest.register_assert_rewrite("tests.control", "tests.state", "tests.transport")

# Modules that use neither sockets nor real time: each may run in parallel with any other.
WITHOUT_REAL_TIME = {
    "benchmarks/test_capacity_page",
    "benchmarks/test_scale_checkers",
    "control/configuration/test_document",
    "control/configuration/test_versions",
    "control/events/test_confirmation",
    "control/events/test_confirmation_states",
    "control/events/test_event_log",
    "control/events/test_session",
    "control/events/test_session_acknowledgements",
    "control/events/test_snapshot_states",
    "control/front_client/test_delta_merge",
    "control/front_client/test_list_sources",
    "control/front_client/test_purge_coverage",
    "control/front_client/test_node_selection",
    "control/front_client/test_stream_progress",
    "control/node/test_discovery_replay",
    "control/node/test_load_view_service",
    "control/node/test_node_log",
    "control/node/test_partial_view",
    "control/quorum/test_codec",
    "control/quorum/test_replica",
    "control/quorum/test_replica_states",
    "control/quorum/test_store",
    "control/quorum/test_stored_data",
    "control/status/test_status_json",
    "control/status/test_status_merge",
    "disk/test_disk_cache",
    "disk/test_disk_cache_files",
    "disk/test_disk_cache_states",
    "disk/test_eviction",
    "disk/test_records",
    "disk/test_stored_data",
    "fleet/test_anti_entropy",
    "fleet/test_fleet_datagrams",
    "fleet/test_leadership",
    "fleet/test_leadership_states",
    "fleet/test_load_view",
    "fleet/test_load_view_aggregation",
    "fleet/test_membership",
    "fleet/test_quota",
    "fleet/test_recovery_after_losses",
    "gateway/test_clock_offset",
    "gateway/test_concurrency_limit",
    "gateway/test_flow_control",
    "gateway/test_frames",
    "gateway/test_messages",
    "gateway/test_partial_bodies",
    "gateway/test_purge_log",
    "gateway/test_recovery",
    "gateway/test_recovery_simulation",
    "gateway/test_request_journal",
    "gateway/test_routes",
    "maintenance/test_drain",
    "maintenance/test_lease_quorum",
    "maintenance/test_lease_quorum_states",
    "maintenance/test_maintenance_datagrams",
    "maintenance/test_plan_file",
    "maintenance/test_plans_under_faults",
    "maintenance/test_schedule",
    "maintenance/test_table_query",
    "policy/test_admission",
    "policy/test_cache_age_after_purges",
    "policy/test_cache_age_limit",
    "policy/test_failure_attribution",
    "policy/test_fill_source",
    "policy/test_link_model",
    "policy/test_local_cache",
    "policy/test_origin_overload",
    "policy/test_retry",
    "policy/test_routing",
    "policy/test_slow_start",
    "protocols/test_cache_protocol",
    "protocols/test_client_protocol",
    "protocols/test_discovery_protocol",
    "protocols/test_golden_bytes",
    "protocols/test_update_datagrams",
    "runtime/test_addresses",
    "simulator/test_adapter",
    "runtime/test_error_guard",
    "runtime/test_shutdown",
    "state/test_body_budget",
    "state/test_local_cache",
    "state/test_purge_cost",
    "state/test_purge_history",
    "state/test_purge_history_states",
    "state/test_purge_index",
    "state/test_purge_states",
    "test_generated_stubs",
    "test_layers",
    "transport/test_event_sequence",
    "test_pages",
}
# Tests of processes in which stand-in servers determine the order of events. Their time limits are long, so
# that a busy machine does not make them fail.
ORDERED_BY_STANDINS = {
    "control/configuration/test_processes",
    "control/configuration/test_proposal_processes",
    "control/configuration/test_store_processes",
    "control/front_client/test_client_confirmation",
    "control/front_client/test_client_connections",
    "control/front_client/test_client_endpoint_lists",
    "control/front_client/test_client_failover",
    "control/front_client/test_front_process",
    "control/node/test_configuration_versions",
    "control/node/test_control_node",
    "control/node/test_discovery_restart",
    "control/node/test_invalid_input",
    "control/node/test_load_view_processes",
    "service/test_deduplication_window",
    "service/test_descriptor_pressure",
    "service/test_restart_readiness",
    "service/test_silent_discovery",
    "service/test_unreachable_connections",
    "service/test_unused_front",
    "system/test_slow_start_of_caches",
    "transport/test_client_departure",
    "transport/test_read_ahead",
}


# Tests with short time limits that stop the processes of fronts or step their clocks.
FAULTY_FRONTS = {
    "benchmarks/test_fault_benchmark",
    "system/test_clock_steps",
    "system/test_failing_calls",
    "system/test_slow_discovery",
    "system/test_stalled_front",
    "system/test_time_limits",
}

# Tests with short time limits of fleets of processes under scripted faults.
FRONT_FLEETS = {
    "fleet/test_fleet_processes",
    "maintenance/test_maintenance_processes",
}


# The groups in the order in which they start. Modules that are in none of the lists have short time limits.
GROUPS = {
    "front fleets": FRONT_FLEETS,
    "short time limits": set(),
    "ordered by stand-ins": ORDERED_BY_STANDINS,
    "faulty fronts": FAULTY_FRONTS,
    "without real time": WITHOUT_REAL_TIME,
}
DEFAULT_GROUP, INDEPENDENT_GROUP = "short time limits", "without real time"
LONGEST_INDEPENDENT = "maintenance/test_lease_quorum_states"
TESTS = Path(__file__).parent


def _group_of(module: str) -> str:
    return next((group for group, modules in GROUPS.items() if module in modules), DEFAULT_GROUP)


def _module_name(path: Path) -> str:
    """The name of a test module in the lists above: its path below `tests`, without its suffix."""
    return str(path.relative_to(TESTS).with_suffix(""))


def _start_order(item: pytest.Item) -> tuple[int, bool]:
    module = _module_name(item.path)
    return list(GROUPS).index(_group_of(module)), module != LONGEST_INDEPENDENT


def pytest_collection_modifyitems(items):
    """Starts the longest tests first, so that no worker still runs one of them after the others are done."""
    items.sort(key=_start_order)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    """Assigns each group to one worker; modules without real time go to any worker that is free.

    The groups of pytest-xdist 3.8 have no effect with pytest 9.2: xdist appends the group to the test id, and
    pytest does not read that suffix.
    """
    from xdist.scheduler import LoadScopeScheduling

    class GroupScheduling(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            module = nodeid.partition("::")[0].removeprefix("tests/").removesuffix(".py")
            group = _group_of(module)
            return module if group == INDEPENDENT_GROUP else group

    return GroupScheduling(config, log)


@pytest.fixture
def two_regions(tmp_path):
    regions = TwoRegions(tmp_path)
    yield regions
    regions.close()


@pytest.fixture
def front():
    """A front in the test process, with one listed cache."""
    front = SingleCacheFront()
    front.apply_endpoints("s1")
    yield front
    front.close()


@pytest.fixture
def connection_gate(front):
    """An event: the front's connections to caches are established only after it is set."""
    return front.hold_connections()


@pytest.fixture
def configuration_changes():
    """Configuration entries that replace the default ones of `program`; a test module may override this."""
    return {}


@pytest.fixture
def program(tmp_path, configuration_changes):
    """A front that runs as a process and is connected to its discovery service."""
    with started_front(tmp_path, configuration_changes) as started:
        yield started


@pytest.fixture
def driver_with_policy():
    """A policy driver, its policy, and its clock: a list with the current time in ns as its only element."""
    clock = [1000 * NS_PER_MS]
    driver = PolicyDriver(
        None, lambda _, driver: ScriptedPolicy(driver), lambda: clock[0], 0, Counters(), lambda _action: None
    )
    return driver, driver.policy, clock
