"""`marbleglade fleet`: checks of the fleet's settings, and the fleet's state from logs."""

import json

import pytest
from click.testing import CliRunner

from marbleglade.cli.root_command import marbleglade_command
from marbleglade.fleet.fleet_settings import read
from marbleglade.runtime.errors import InvalidConfigurationError
from tests.harness.programs import ROOT


@pytest.mark.parametrize(
    "text, expected_ms",
    [
        ("", 1000),
        ("beat_ms: 250", 250),
        ("beat_ms: 99", None),
        ("beat_ms: 10001", None),
        ("beat_ms: x", None),
        ("other: 1", None),
        ("beat_ms: 1000\n" * 9000, None),
    ],
)
def test_fleet_settings_are_printed_or_rejected_with_one_line(tmp_path, text, expected_ms):
    path = tmp_path / "fleet.textproto"
    path.write_text(text)
    result = CliRunner().invoke(marbleglade_command, ["fleet", "check", str(path)])
    if expected_ms:
        assert read(str(path)).probe_interval_ms == expected_ms
        assert result.output == f"beat_ms: {expected_ms}\n"
    else:
        with pytest.raises(InvalidConfigurationError):
            read(str(path))
        assert result.exit_code == 2 and result.output.count("\n") == 1


def test_the_example_fleet_settings_are_valid():
    assert read(str(ROOT / "deploy" / "fleet.textproto")).probe_interval_ms == 1000


def test_the_last_fleet_state_of_a_front_is_shown_from_its_log(tmp_path):
    log = tmp_path / "f1.log"
    log.write_text(
        "\n".join(
            json.dumps(record)
            for record in (
                {
                    "at": 1,
                    "front": "f1",
                    "event": "membership",
                    "alive": 3,
                    "listed": 4,
                    "not_alive": [2],
                    "leadership": {"term": 1, "leader": 0, "is_leader": False},
                    "traffic_share": 0.25,
                    "retry_budget_factor": 4,
                },
                {
                    "at": 5,
                    "front": "f1",
                    "event": "counters",
                    "counts": {},
                    "fleet": {"alive": 4, "not_alive": []},
                },
            )
        )
        + '\n{"at": 9, "front'
    )
    result = CliRunner().invoke(marbleglade_command, ["fleet", "show", str(log)])
    assert (
        result.exit_code == 0
        and "alive 4 of 4 not alive [] leadership term 1 leader 0 traffic share 0.25" in result.output
    )
