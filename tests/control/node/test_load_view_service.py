"""A control node answers the load reports of fronts with aggregated load views."""

import pytest
from click.testing import CliRunner

from marbleglade.cli.root_command import marbleglade_command
from marbleglade.control.events.event_log import EventLog
from marbleglade.control.events.session import ProtocolError, Session
from marbleglade.control.node.load_view_service import LoadViewService
from marbleglade.control.settings import ControlSettings, InvalidSettingsError, read
from marbleglade.fleet.load_view import AggregatedView
from marbleglade.protocols import fleet_datagrams
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log
from tests.fleet.load_reports import front_report


def read_settings(tmp_path, additional_settings: str = "") -> ControlSettings:
    """Read settings with two nodes and four fronts."""
    nodes = "".join(
        f'node {{ name: "c{number}" region: "r" zone: "z{number}" address: "127.0.0.1:{9000 + number}" '
        f'quorum_address: "127.0.0.1:{9100 + number}" }}\n'
        for number in (1, 2)
    )
    region = 'region { name: "r" discovery: "127.0.0.1:1" front: "f[0-3]" }'
    path = tmp_path / "control.textproto"
    path.write_text(f'deployment: "d" {additional_settings} {region}\n{nodes}')
    return read(str(path))


def create_service(settings: ControlSettings) -> LoadViewService:
    counters = Counters()
    return LoadViewService(settings, "c1", ErrorGuard(counters, Log("c1", counters)))


@pytest.fixture
def service(tmp_path):
    return create_service(read_settings(tmp_path, "view_period_ms: 500"))


def test_a_report_is_answered_with_the_aggregated_view(service):
    view = fleet_datagrams.decode(service.handle_report("f2", fleet_datagrams.encode(front_report(2))))
    assert view.fronts == 1
    assert view.zone_loads[2].prober == 2


def test_reports_above_the_rate_limit_are_counted_and_not_answered(service):
    assert service.handle_report("f2", fleet_datagrams.encode(front_report(2)))
    answers = [
        service.handle_report("f2", fleet_datagrams.encode(front_report(2, sequence)))
        for sequence in range(2, 50)
    ]
    assert answers == [b""] * 48
    assert service.guard.counters.counts["control.report_ignored"] == 48


def test_one_worker_publishes_partial_views_and_one_reads_from_the_other_node(service):
    assert len(list(service.workers(lambda _line: None))) == 2


@pytest.mark.parametrize("data", [b"", b"\x01\x08", fleet_datagrams.encode(AggregatedView(1, 1)), b"x" * 300])
def test_data_that_is_not_a_report_raises_a_protocol_error(service, data):
    with pytest.raises(ProtocolError):
        service.handle_report("f2", data)


def test_without_a_period_reports_are_ignored_and_no_worker_runs(tmp_path):
    service = create_service(read_settings(tmp_path))
    assert service.handle_report("f0", fleet_datagrams.encode(front_report(0))) == b""
    assert not list(service.workers(lambda _line: None))


@pytest.mark.parametrize("period_ms", [0, 49, 5001])
def test_a_period_out_of_bounds_is_rejected(tmp_path, period_ms):
    with pytest.raises(InvalidSettingsError, match="view_period_ms"):
        read_settings(tmp_path, f"view_period_ms: {period_ms}")


@pytest.mark.parametrize(
    "additional_settings, expected",
    [
        ("", "load views: made by fronts among themselves"),
        ("view_period_ms: 250", "made by the nodes every 0.25 s"),
    ],
)
def test_the_check_command_states_whether_nodes_or_fronts_compute_load_views(
    tmp_path, additional_settings, expected
):
    read_settings(tmp_path, additional_settings)
    result = CliRunner().invoke(
        marbleglade_command, ["control", "check", str(tmp_path / "control.textproto")]
    )
    assert result.exit_code == 0
    assert expected in result.output


def test_a_load_view_is_sent_between_complete_lines_and_a_later_one_replaces_it():
    session = Session(EventLog("s"), 6144)
    session.queue_load_view(b"first\n")
    session.queue_load_view(b"second\n")
    assert session.time_until_ready(0) == 0
    batch = session.next_batch(0)
    assert batch == b"second\n"
    session.record_written(batch, 3)
    session.queue_load_view(b"third\n")
    assert session.next_batch(0) == b"ond\n"
    session.record_written(b"ond\n", 4)
    assert session.next_batch(0) == b"third\n"
    session.record_written(b"third\n", 6)
    assert session.next_batch(0) == b""
    assert session.time_until_ready(0) is None
