"""The settings of a control plane: defaults, and all errors reported at once."""

import pytest

from marbleglade.control.settings import MAX_FRONTS, MAX_NODES, InvalidSettingsError, read

REGION = 'region { name: "east" discovery: "127.0.0.1:9092" front: "f[1-3]" front: "odd" }\n'
NODE = (
    'node {{ name: "{0}" region: "east" zone: "a" '
    'address: "127.0.0.1:{1}" quorum_address: "127.0.0.1:{2}" }}\n'
)
VALID = 'deployment: "test"\n' + REGION + NODE.format("c1", 9401, 9501) + NODE.format("c2", 9402, 9502)


@pytest.fixture
def read_settings(tmp_path):
    def read_text(text):
        path = tmp_path / "control.textproto"
        path.write_text(text)
        return read(str(path))

    return read_text


def test_settings_are_read_with_defaults_filled_in(read_settings):
    settings = read_settings(VALID)
    assert settings.deployment == "test" and settings.regions[0].fronts == ("f1", "f2", "f3", "odd")
    assert settings.regions[0].discovery == ("127.0.0.1", 9092)
    assert settings.node("c2").address == ("127.0.0.1", 9402) and settings.node("c3") is None
    assert settings.region_of("f2").name == "east" and settings.region_of("f4") is None
    assert settings.purge_deadline_ns == 2_600_000_000 and settings.configuration_deadline_ns == 5_000_000_000
    assert settings.catch_up_bytes_per_s == 6144
    changed = read_settings(VALID + "purge_deadline_ms: 900 catch_up_bytes_per_s: 2048")
    assert changed.purge_deadline_ns == 900_000_000 and changed.catch_up_bytes_per_s == 2048


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (VALID.replace('"test"', '"te st"'), "deployment: 'te st' is not a valid name"),
        (VALID + "surplus: 1", "surplus"),
        (VALID + "purge_deadline_ms: 1", "purge_deadline_ms: 1 is not between 200 and 600000"),
        (VALID + "catch_up_bytes_per_s: 1023", "catch_up_bytes_per_s: 1023 is not between"),
        ('deployment: "test"', "region: no region is listed"),
        ('deployment: "test"' + REGION, f"node: 0 nodes are listed, expected 1 to {MAX_NODES}"),
        (VALID + REGION, "region: east is listed twice"),
        (VALID.replace('front: "odd"', 'front: "f2"'), "front: f2 is listed twice"),
        (VALID.replace('front: "odd"', 'front: "a b"'), "front: 'a b' is not a valid name"),
        (VALID.replace("f[1-3]", "f[3-1]"), "'f[3-1]' is not a range"),
        (VALID.replace("f[1-3]", f"f[1-{MAX_FRONTS + 1}]"), "is not a range"),
        (VALID.replace("f[1-3]", f"f[1-{MAX_FRONTS}]"), f"front: {MAX_FRONTS + 1} fronts are listed"),
        (VALID.replace("127.0.0.1:9092", "localhost:9092"), "'localhost:9092' is not host:port"),
        (VALID.replace("127.0.0.1:9092", "127.0.0.1"), "'127.0.0.1' is not host:port"),
        (VALID.replace("127.0.0.1:9402", "127.0.0.1:99402"), "is not host:port"),
        (VALID.replace("127.0.0.1:9402", "127.0.0.1:9501"), "address 127.0.0.1:9501 is listed twice"),
        (VALID.replace('region: "east"', 'region: "west"'), "region 'west' is not listed"),
        (VALID.replace('zone: "a"', 'zone: ""'), "zone '' is not a valid name"),
        (VALID.replace('"c2"', '"c1"'), "node: c1 is listed twice"),
    ],
)
def test_invalid_settings_are_rejected_with_an_error_that_names_the_field(read_settings, text, expected):
    with pytest.raises(InvalidSettingsError) as caught:
        read_settings(text)
    assert any(expected in line for line in caught.value.errors), caught.value.errors
    assert all("\n" not in line for line in caught.value.errors)


def test_all_errors_are_listed_at_once(read_settings):
    with pytest.raises(InvalidSettingsError) as caught:
        read_settings('deployment: ""\npurge_deadline_ms: 1\n')
    assert len(caught.value.errors) == 4


def test_a_missing_or_too_long_file_is_rejected(tmp_path):
    with pytest.raises(InvalidSettingsError):
        read(str(tmp_path / "none"))
    (tmp_path / "long").write_text("#" * (1 << 21))
    with pytest.raises(InvalidSettingsError, match="longer than"):
        read(str(tmp_path / "long"))


def test_the_example_settings_are_valid():
    assert len(read("deploy/control.textproto").nodes) == 3
