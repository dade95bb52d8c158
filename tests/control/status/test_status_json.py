"""The exact bytes of a node's status line and of `control status --json`, which operators' scripts parse."""

from marbleglade.cli.control_status import as_json, as_text, is_healthy
from marbleglade.control.settings import ControlSettings, NodeSettings, RegionSettings
from marbleglade.control.status.merge import NodeAnswer, merge
from marbleglade.control.status.node_status import (
    ConfigurationStatus,
    FirstAcknowledgementsStatus,
    FrontStatus,
    NodeStatus,
    PurgeStatus,
    decode_status,
    encode_status,
)

ADDRESS = ("127.0.0.1", 9)
SETTINGS = ControlSettings(
    "test",
    (RegionSettings("east", ADDRESS, ("f1", "f2")),),
    (
        NodeSettings("c1", "east", "zone", ADDRESS, ADDRESS),
        NodeSettings("c2", "east", "zone", ADDRESS, ADDRESS),
    ),
    2_600_000_000,
    5_000_000_000,
    1024,
)
STATUS = NodeStatus(
    "test",
    "c1",
    "s1",
    7,
    4,
    True,
    12,
    (FrontStatus("f1", 5, True, False, 4, 2, 0, ""), FrontStatus("f2", 6, True, False, 1, 1, 2, "no cache")),
    (PurgeStatus(2, 0xAB, 0, 70, 1000, True, 2, FirstAcknowledgementsStatus(1, 3, 3)),),
    ConfigurationStatus(2, 1001, FirstAcknowledgementsStatus(1, 4, 4)),
    (1,),
    {"control.closed.ended": 3},
)
LINE = (
    b'{"deployment":"test","node":"c1","stream":"s1","started_ms":7,"last":4,"current":true,'
    b'"discovery_age_ms":12,"fronts":[["f1",5,1,0,4,2,0,""],["f2",6,1,0,1,1,2,"no cache"]],'
    b'"purges":[[2,"00000000000000ab",0,70,1000,1,"2","1",3,3]],"configuration":[2,1001,"1",4,4],'
    b'"latency":[1],"counters":{"control.closed.ended":3}}\n'
)
JSON = (
    '{"deployment":"test","nodes":[{"name":"c1","answered":true,"stream":"s1","started_ms":7,"last":4,'
    '"current":true,"discovery_age_ms":12,"connected":2,"counters":{"control.closed.ended":3}},'
    '{"name":"c2","answered":false,"error":"no answer"}],'
    '"fronts":{"listed":2,"connected":2,"left":0,"absent":{"count":0,"first":[]}},'
    '"purges":[{"object":"00000000000000ab","group":null,"unix_ms":70,"received_ms":1000,"live":true,'
    '"done":false,"took_ms":null,"lacking":{"count":1,"first":["f2"]}}],'
    '"purge_latency_ms":{"count":1,"p50":1.0,"p99":1.0,"worst":1.0},'
    '"configuration":{"version":2,"received_ms":1001,"done":false,"took_ms":null,'
    '"lacking":{"count":1,"first":["f2"]},'
    '"refused":[{"front":"f2","version":2,"reason":"no cache"}]}}'
)


def merged_status():
    return merge(SETTINGS, [NodeAnswer("c1", STATUS), NodeAnswer("c2", None, "no answer")])


def test_the_status_line_of_a_node_keeps_its_keys_and_rows():
    assert encode_status(STATUS) == LINE
    assert decode_status(LINE) == STATUS


def test_the_json_of_the_status_command_keeps_its_keys():
    assert as_json(merged_status()) == JSON


def test_the_text_names_the_fronts_that_miss_a_purge_or_rejected_a_version():
    lines = list(as_text(merged_status()))
    assert "  NOT DONE object 00000000000000ab of 70, lacking 1: f2" in lines
    assert "configuration: version 2 NOT IN FORCE, lacking 1: f2" in lines
    assert "  refused by f2: no cache" in lines
    assert not is_healthy(merged_status(), SETTINGS, 10_000)
