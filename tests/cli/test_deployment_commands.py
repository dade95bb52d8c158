"""`marbleglade check` and `marbleglade route`, and files that the deployment reader rejects."""

import json

import pytest

from marbleglade.deployment.checks import find_errors
from marbleglade.deployment.reader import InvalidDeploymentError, load, read
from marbleglade.testing.regions import StandInRegions
from tests.harness.programs import run_program
from tests.harness.regions import LINK

TIMEOUT_S = 20


@pytest.fixture
def deployment_path(tmp_path):
    """The path of a file that describes a deployment of two regions."""
    regions = StandInRegions(LINK)
    path = tmp_path / "two.textproto"
    path.write_text(regions.deployment_text())
    yield str(path)
    regions.close()


def test_check_lists_all_errors_with_their_fields(tmp_path):
    path = tmp_path / "bad.textproto"
    path.write_text("""
        regions { name: "East" coordinator: "nowhere" zone: "z" hub_kind: "h" store_kind: "h" }
        regions { name: "west" coordinator: "127.0.0.1:1" zone: "z" hub_kind: "h" store_kind: "s"
                  gateways { name: "a" links: "127.0.0.1:99999" }
                  gateways { name: "a" links: "127.0.0.1:7" } }
        routes { region: "south" first_group: 9 } routes { region: "west" first_group: 9 last_group: 8 }
        profiles { name: "p" agreed_ms: 500 client_timeout_ms: 100 repeat: RECEIPTED }
        limits { most_launches: 99 pace: 5 } link { beat_ms: 100 silent_ms: 200 } rules { cold_factor: nan }
        """)
    result = run_program("check", str(path), seconds=TIMEOUT_S)
    assert result.returncode == 1
    assert [line.split(":")[0] for line in result.stderr.splitlines()] == [
        "limits.most_launches",
        "rules.cold_factor",
        "link.silent_ms",
        "limits.pace, limits.width",
        "regions[0].name",
        "regions[0].coordinator",
        "regions[0].store_kind",
        "regions[0].gateways",
        "regions[1].gateways[0].links",
        "regions[1].gateways[1].name",
        "routes[0].region",
        "routes[0]",
        "routes[1]",
        "profiles[0].agreed_ms",
        "profiles[0].window_ms",
    ]


def test_the_output_of_check_is_an_equal_deployment(deployment_path, tmp_path):
    result = run_program("check", deployment_path, seconds=TIMEOUT_S)
    assert result.returncode == 0 and "cold_factor: 3" in result.stdout
    printed = tmp_path / "printed.textproto"
    printed.write_text(result.stdout)
    assert load(str(printed)) == load(deployment_path) and not find_errors(load(deployment_path))


@pytest.mark.parametrize(
    "text, reason", [("regions {", "two.textproto"), ("odd: 1", "odd"), ("\xff", "two.textproto")]
)
def test_a_file_that_is_not_a_deployment_is_rejected(tmp_path, text, reason):
    path = tmp_path / "two.textproto"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(InvalidDeploymentError, match=reason):
        read(str(path))


@pytest.mark.parametrize(
    "object_id, options, regions, reason",
    [
        ("f000000000000000", [], ["west"], "a route"),
        ("0000000000000001", [], ["east"], "a route"),
        ("7000000000000001", [], ["east", "west"], "nothing"),
        ("7000000000000001", ["--from", "west"], ["west", "east"], "nothing"),
    ],
)
def test_route_prints_the_regions_to_ask_and_the_reason(deployment_path, object_id, options, regions, reason):
    result = run_program("route", deployment_path, object_id, "--json", *options, seconds=TIMEOUT_S)
    printed = json.loads(result.stdout)
    assert (printed["object"], printed["regions"], printed["by"]) == (object_id, regions, reason)
