"""Configuration documents: errors for which they are rejected, and changes that a front applies."""

import subprocess
import sys

import pytest

from marbleglade.control import settings
from marbleglade.control.configuration.document import (
    Configuration,
    ConfigurationRejectedError,
    InvalidDocumentError,
    read,
)
from marbleglade.control.configuration.reconfiguration import (
    ActiveConfiguration,
    ConfigurationChanges,
    ConfigurationTarget,
    Configurator,
)
from marbleglade.control.messages import MAX_CONFIGURATION_BYTES

CONTROL_SETTINGS = """
deployment: "shop"
region { name: "east" discovery: "127.0.0.1:9092" front: "east-[0-1]" }
region { name: "west" discovery: "127.0.0.1:9093" front: "west-0" }
node { name: "c1" region: "east" zone: "a" address: "127.0.0.1:9401" quorum_address: "127.0.0.1:9501" }
"""
MAINTENANCE_PLAN = "work { asked_ms: 1800000000000 job { front: 1 } }"
EAST_DOCUMENT = f"""
deployment: "shop"
base_version: 4
region {{
  name: "east"
  discovery: "127.0.0.1:9192"
  peer: "127.0.0.1:7001" peer: "127.0.0.1:7002"
  peers_all: "127.0.0.1:7000"
  {MAINTENANCE_PLAN}
}}
"""
EAST_WITH_FRONT_MOVED = EAST_DOCUMENT.replace("7001", "7003").replace("7002", "7001")
OWN_PEER = ("127.0.0.1", 7001)
DISCOVERY_ADDRESS = ("127.0.0.1", 9092)


@pytest.fixture
def control_settings(tmp_path):
    path = tmp_path / "control.textproto"
    path.write_text(CONTROL_SETTINGS)
    return settings.read(str(path))


def errors_of(text, control_settings):
    with pytest.raises(InvalidDocumentError) as caught:
        read(text, control_settings)
    assert all("\n" not in error for error in caught.value.errors)
    return caught.value.errors


def test_a_valid_document_is_read_completely(control_settings):
    document = read(EAST_DOCUMENT, control_settings)
    assert isinstance(document, Configuration) and document.version == 5
    east = document.region("east")
    assert east.discovery == ("127.0.0.1", 9192) and len(east.peers) == 2
    assert east.peers_all == ("127.0.0.1", 7000) and east.maintenance.plan.machines[0].name == "front 1"
    assert document.region("west") is None


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('"shop"', '"other"'), "deployment: 'other', and this is 'shop'"),
        (("base_version", "version"), 'no field named "version"'),
        (("base_version: 4", f"base_version: {1 << 60}"), "base_version"),
        (("base_version: 4", "base_version: -1"), "base_version"),
        (('"east"', '"north"'), "region 'north': the control plane's settings do not list it"),
        (("127.0.0.1:9192", "here:9192"), "discovery: 'here:9192' is not host:port"),
        (("127.0.0.1:7000", "127.0.0.1:99999"), "peers_all"),
        (("127.0.0.1:7002", "127.0.0.1"), "peer 1: '127.0.0.1' is not host:port"),
        (("127.0.0.1:7002", "127.0.0.1:7001"), "peer 1: 127.0.0.1:7001 is listed twice"),
        (("asked_ms: 1800000000000", "asked_ms: 5"), "work: asked_ms"),
        (("front: 1", "front: 2"), "work: job names front 2, and there are 2 peers"),
        (("front: 1", 'place: "a\\nb" after: "c"'), "work: a b comes after c"),
        (('peer: "127.0.0.1:7001" peer: "127.0.0.1:7002"', ""), "peers_all: it is told without peers"),
    ],
)
def test_an_error_names_the_invalid_field(change, expected, control_settings):
    assert change[0] in EAST_DOCUMENT
    assert expected in "; ".join(errors_of(EAST_DOCUMENT.replace(*change), control_settings))


def test_all_errors_are_listed_at_once(control_settings):
    text = EAST_DOCUMENT.replace("base_version", "colour").replace("here", "").replace('"shop"', '"other"')
    text = text.replace("127.0.0.1:9192", "nowhere") + 'region { name: "east" }'
    found = errors_of(text, control_settings)
    assert len(found) == 4
    for text in ("colour", "deployment", "discovery", "listed twice"):
        assert any(text in error for error in found)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "\0",
        "region {",
        "{" * 60_000,
        "region { " * 6_000,
        "x { " * 12_000 + "} " * 12_000,
        "\ud800",
        'deployment: "shop" region: 5',
        "#" * (MAX_CONFIGURATION_BYTES + 1),
    ],
)
def test_text_that_is_not_a_document_is_rejected(text, control_settings):
    assert errors_of(text, control_settings)


def test_a_document_of_the_maximum_length_is_read_and_one_byte_more_is_not(control_settings):
    text = EAST_DOCUMENT + "#" * (MAX_CONFIGURATION_BYTES - len(EAST_DOCUMENT))
    assert read(text, control_settings).base_version == 4
    assert errors_of(text + "#", control_settings) == [
        f"it has {MAX_CONFIGURATION_BYTES + 1} bytes, 65536 at most"
    ]


class RecordingFront:
    """The callbacks of a front, which record their calls."""

    def __init__(self, own_peer=OWN_PEER, has_maintenance=True):
        self.active = ActiveConfiguration(DISCOVERY_ADDRESS, (OWN_PEER,), None)
        self.calls = []
        self.target = ConfigurationTarget(
            lambda: self.active,
            own_peer,
            lambda address: self.calls.append(("discovery", address)),
            lambda peers, broadcast: self.calls.append(("peers", peers, broadcast)),
            (lambda plan: self.calls.append(("maintenance", len(plan.plan.machines))))
            if has_maintenance
            else None,
        )

    def configurator(self, control_settings, region="east"):
        return Configurator(control_settings, region, self.target)


def test_a_front_applies_each_change_once(control_settings):
    front = RecordingFront()
    configurator = front.configurator(control_settings)
    changes = configurator.configure(5, EAST_DOCUMENT)
    assert changes.discovery == ("127.0.0.1", 9192) and configurator.version == 5
    assert front.calls == [
        ("peers", [OWN_PEER, ("127.0.0.1", 7002)], ("127.0.0.1", 7000)),
        ("maintenance", 1),
        ("discovery", ("127.0.0.1", 9192)),
    ]
    front.calls.clear()
    assert configurator.configure(5, EAST_DOCUMENT) == ConfigurationChanges() and not front.calls
    front.active = ActiveConfiguration(
        ("127.0.0.1", 9192), (OWN_PEER, ("127.0.0.1", 7002)), ("127.0.0.1", 7000)
    )
    assert (
        configurator.configure(6, EAST_DOCUMENT.replace("base_version: 4", "base_version: 5"))
        == ConfigurationChanges()
    )
    assert not front.calls and configurator.version == 6


def test_a_document_without_the_region_of_the_front_is_in_force_and_changes_nothing(control_settings):
    front = RecordingFront()
    configurator = front.configurator(control_settings, "west")
    assert configurator.configure(5, EAST_DOCUMENT) == ConfigurationChanges()
    assert configurator.version == 5 and not front.calls


@pytest.mark.parametrize(
    ("front", "version", "text", "reason"),
    [
        (
            RecordingFront(("127.0.0.1", 7009)),
            5,
            EAST_DOCUMENT,
            "its peers lack this front, 127.0.0.1:7009",
        ),
        (RecordingFront(None), 5, EAST_DOCUMENT, "this front was started without"),
        (RecordingFront(has_maintenance=False), 5, EAST_DOCUMENT, "takes part in none"),
        (
            RecordingFront(),
            5,
            EAST_WITH_FRONT_MOVED,
            "moves this front from place 0 to 1 in the list of peers",
        ),
        (RecordingFront(), 6, EAST_DOCUMENT, "says version 5, not 6"),
        (RecordingFront(), 5, EAST_DOCUMENT.replace("shop", "other"), "deployment"),
        (RecordingFront(), 3, EAST_DOCUMENT, "older than 4 in force"),
    ],
)
def test_a_front_that_cannot_apply_a_document_rejects_it_and_changes_nothing(
    front, version, text, reason, control_settings
):
    configurator = front.configurator(control_settings)
    configurator.version = 4
    with pytest.raises(ConfigurationRejectedError, match=reason):
        configurator.configure(version, text)
    assert not front.calls and configurator.version == 4


def test_a_front_without_a_control_plane_does_not_import_its_modules():
    code = "import sys, marbleglade.service.front_process; print(*sys.modules)"
    modules = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "marbleglade.control" not in modules and "google.protobuf" not in modules
