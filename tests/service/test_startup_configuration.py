"""Valid and invalid startup configurations of a front."""

import json

import pytest

from marbleglade.service import startup_configuration
from tests.harness.programs import run_program
from tests.harness.settings import FRONT_SETTINGS, front_configuration


def test_a_valid_configuration_is_read(tmp_path):
    (tmp_path / "c.json").write_text(
        json.dumps(front_configuration(peer_listen="127.0.0.1:7", peers=["127.0.0.1:8"]))
    )
    configuration = startup_configuration.read_startup_configuration({"GW_CONFIG": str(tmp_path / "c.json")})
    assert configuration.name == "n3" and configuration.listen == ("127.0.0.1", 4100)
    assert configuration.memory_bytes == 192 << 20 and configuration.max_descriptors == 300
    assert configuration.last_event == 2 and len(configuration.known_events) == 2
    assert configuration.peers == [("127.0.0.1", 8)] and configuration.peers_all is None
    assert configuration.environment.parameters.seed == 0x8C1F30D27A5BE964
    assert list(configuration.environment.request_classes) == ["page"]


@pytest.mark.parametrize(
    "text, expected",
    [
        (None, "can't be read"),
        ("{", "can't be read"),
        ("[]", "must contain a JSON object"),
        *(
            (
                json.dumps({key: value for key, value in front_configuration().items() if key != absent}),
                absent,
            )
            for absent in ("name", "listen", "seed", "limits", "coordinator", "known", "settings")
        ),
        (json.dumps(front_configuration(seed="xyz")), "seed"),
        (json.dumps(front_configuration(listen="nowhere")), "listen"),
        (json.dumps(front_configuration(limits={"memory_mb": 1})), "limits"),
        (json.dumps(front_configuration(known={"index": 1})), "known"),
        (json.dumps(front_configuration(settings=FRONT_SETTINGS | {"Classes": None})), "Classes"),
    ],
)
def test_an_invalid_configuration_is_reported_on_one_line_with_exit_code_2(tmp_path, text, expected):
    if text is not None:
        (tmp_path / "c.json").write_text(text)
    done = run_program(environment={"GW_CONFIG": str(tmp_path / "c.json")})
    assert done.returncode == 2 and expected in done.stderr and done.stderr.count("\n") == 1


def test_a_front_does_not_start_without_a_configuration():
    with pytest.raises(startup_configuration.InvalidConfigurationError, match="GW_CONFIG"):
        startup_configuration.read_startup_configuration({})
