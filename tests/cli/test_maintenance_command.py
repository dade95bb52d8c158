"""`marbleglade work`: checks and forecasts of maintenance plans, and their state from logs."""

import json

import pytest
from click.testing import CliRunner

from marbleglade.cli.root_command import marbleglade_command
from tests.harness.programs import ROOT

EXAMPLE_PLAN = str(ROOT / "deploy" / "work.textproto")
FLEET_DESCRIPTION = {
    "fronts": 6,
    "load": {"cache": 0.4},
    "near": [["box1", "box2"]],
    "places": [
        {"id": "hub1", "kind": "parent"},
        {"id": "hub2", "kind": "parent"},
        {"id": "hub3", "kind": "parent"},
        {"id": "hub4", "kind": "parent"},
        *({"id": f"box{n}", "zone": "east" if n < 6 else "west"} for n in range(1, 6)),
        *({"id": f"box{n}", "zone": "west"} for n in range(6, 12)),
        {"id": "box3", "zone": "west"},
    ],
}


def run_work_command(*arguments):
    return CliRunner().invoke(marbleglade_command, ["work", *arguments])


def test_the_example_plan_is_valid_and_all_errors_of_a_plan_are_listed(tmp_path):
    result = run_work_command("check", EXAMPLE_PLAN)
    assert result.exit_code == 0 and "7 machines: 3 cache, 3 front, 1 parent" in result.output
    bad = tmp_path / "bad.textproto"
    bad.write_text("asked_ms: 5 job { front: 1 } job { front: 1 } floor: 2")
    result = run_work_command("check", str(bad))
    assert result.exit_code == 2 and result.output.count("marbleglade: ") == 3


@pytest.mark.parametrize(
    "change, exit_code, expected",
    [
        ({}, 0, "7 machines in"),
        ({"load": {"cache": 0.95}}, 1, "never    box1"),
        ({"places": []}, 1, "is not listed"),
        ({"places": [{"id": "box1", "kind": "x"}]}, 2, "KeyError"),
    ],
)
def test_the_forecast_prints_when_each_machine_goes_out_or_why_it_never_does(
    tmp_path, change, exit_code, expected
):
    path = tmp_path / "fleet.json"
    path.write_text(json.dumps(FLEET_DESCRIPTION | change))
    result = run_work_command("plan", EXAMPLE_PLAN, "--fleet", str(path), "--takes-ms", "1000")
    assert result.exit_code == exit_code and expected in result.output, result.output
    if not exit_code:
        lines = result.output.splitlines()
        starts_s = [next(line for line in lines if name in line).split()[0] for name in ("box1", "box2")]
        # These caches are the first two choices for a hot object, so they are not out at the same time.
        assert starts_s[0] != starts_s[1]


def test_the_last_maintenance_state_of_each_front_is_shown_from_its_log(tmp_path):
    path = tmp_path / "f.log"
    path.write_bytes(
        b"\n".join(
            json.dumps(record).encode()
            for record in [
                {
                    "event": "maintenance",
                    "front": "f1",
                    "at": 5,
                    "is_leader": True,
                    "leader": 1,
                    "term": 2,
                    "out_of_service": ["box1"],
                    "completed": 3,
                    "waiting": {"box2": "1 cache at once, and box1 is out"},
                    "halted": {},
                },
                {"event": "drain", "front": "f2", "at": 6, "stage": "draining", "open_requests": 1},
            ]
        )
        + b"\n{cut"
    )
    result = run_work_command("show", str(path))
    assert "leader 1 (this one)" in result.output and "box2: 1 cache at once" in result.output
    assert "draining" in result.output and result.exit_code == 0
