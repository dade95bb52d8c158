"""The configuration document: the errors that reject it, and what a front applies of a valid one."""

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

SETTINGS = """
deployment: "shop"
region { name: "east" discovery: "127.0.0.1:9092" front: "east-[0-1]" }
region { name: "west" discovery: "127.0.0.1:9093" front: "west-0" }
node { name: "c1" region: "east" zone: "a" address: "127.0.0.1:9401" quorum_address: "127.0.0.1:9501" }
"""
WORK = "work { asked_ms: 1800000000000 job { front: 1 } }"
EAST = f"""
deployment: "shop"
base_version: 4
region {{
  name: "east"
  discovery: "127.0.0.1:9192"
  peer: "127.0.0.1:7001" peer: "127.0.0.1:7002"
  peers_all: "127.0.0.1:7000"
  {WORK}
}}
"""
MOVED = EAST.replace("7001", "7003").replace("7002", "7001")
OWN = ("127.0.0.1", 7001)
DISCOVERY = ("127.0.0.1", 9092)


@pytest.fixture
def control(tmp_path):
    path = tmp_path / "control.textproto"
    path.write_text(SETTINGS)
    return settings.read(str(path))


def errors_of(text, control):
    with pytest.raises(InvalidDocumentError) as caught:
        read(text, control)
    assert all("\n" not in error for error in caught.value.errors)
    return caught.value.errors


def test_a_valid_document_is_read_completely(control):
    document = read(EAST, control)
    assert isinstance(document, Configuration) and document.version == 5
    east = document.region("east")
    assert east.discovery == ("127.0.0.1", 9192) and len(east.peers) == 2
    assert east.peers_all == ("127.0.0.1", 7000) and east.maintenance.plan.machines[0].name == "front 1"
    assert document.region("west") is None


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('"shop"', '"other"'), "deployment: 'other', expected 'shop'"),
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
        (('peer: "127.0.0.1:7001" peer: "127.0.0.1:7002"', ""), "peers_all: set without a list of peers"),
    ],
)
def test_each_error_names_its_field(change, expected, control):
    assert change[0] in EAST
    assert expected in "; ".join(errors_of(EAST.replace(*change), control))


def test_all_errors_are_listed_at_once(control):
    text = EAST.replace("base_version", "colour").replace("here", "").replace('"shop"', '"other"')
    text = text.replace("127.0.0.1:9192", "nowhere") + 'region { name: "east" }'
    found = errors_of(text, control)
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
def test_text_that_is_no_document_is_rejected(text, control):
    assert errors_of(text, control)


def test_a_document_of_the_maximum_length_is_read_and_one_byte_more_is_not(control):
    text = EAST + "#" * (MAX_CONFIGURATION_BYTES - len(EAST))
    assert read(text, control).base_version == 4
    assert errors_of(text + "#", control) == [f"it has {MAX_CONFIGURATION_BYTES + 1} bytes, 65536 at most"]


class Front:
    """Records the calls of a front's callbacks."""

    def __init__(self, own_peer=OWN, has_maintenance=True):
        self.active = ActiveConfiguration(DISCOVERY, (OWN,), None)
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

    def configurator(self, control, region="east"):
        return Configurator(control, region, self.target)


def test_a_front_applies_each_change_once(control):
    front = Front()
    configurator = front.configurator(control)
    changes = configurator.configure(5, EAST)
    assert changes.discovery == ("127.0.0.1", 9192) and configurator.version == 5
    assert front.calls == [
        ("peers", [OWN, ("127.0.0.1", 7002)], ("127.0.0.1", 7000)),
        ("maintenance", 1),
        ("discovery", ("127.0.0.1", 9192)),
    ]
    front.calls.clear()
    assert configurator.configure(5, EAST) == ConfigurationChanges() and not front.calls
    front.active = ActiveConfiguration(("127.0.0.1", 9192), (OWN, ("127.0.0.1", 7002)), ("127.0.0.1", 7000))
    assert (
        configurator.configure(6, EAST.replace("base_version: 4", "base_version: 5"))
        == ConfigurationChanges()
    )
    assert not front.calls and configurator.version == 6


def test_a_document_without_the_fronts_region_is_in_force_and_changes_nothing(control):
    front = Front()
    configurator = front.configurator(control, "west")
    assert configurator.configure(5, EAST) == ConfigurationChanges()
    assert configurator.version == 5 and not front.calls


@pytest.mark.parametrize(
    ("front", "version", "text", "reason"),
    [
        (Front(("127.0.0.1", 7009)), 5, EAST, "its peers do not include this front, 127.0.0.1:7009"),
        (Front(None), 5, EAST, "this front was started without peers"),
        (Front(has_maintenance=False), 5, EAST, "takes part in no maintenance"),
        (Front(), 5, MOVED, "moves this front from position 0 to 1 in the list of peers"),
        (Front(), 6, EAST, "has version 5, expected 6"),
        (Front(), 5, EAST.replace("shop", "other"), "deployment"),
        (Front(), 3, EAST, "version 3 is older than version 4, which is in force"),
    ],
)
def test_a_front_that_cannot_use_a_document_rejects_it_and_changes_nothing(
    front, version, text, reason, control
):
    configurator = front.configurator(control)
    configurator.version = 4
    with pytest.raises(ConfigurationRejectedError, match=reason):
        configurator.configure(version, text)
    assert not front.calls and configurator.version == 4


def test_a_front_without_a_control_plane_imports_none_of_it():
    code = "import sys, marbleglade.service.front_process; print(*sys.modules)"
    modules = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "marbleglade.control" not in modules and "google.protobuf" not in modules
