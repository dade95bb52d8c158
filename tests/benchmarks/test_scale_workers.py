"""Messages of the scale run's workers are decoded as encoded, and lightweight fronts record purges."""

import os

import pytest

from benchmarks.no_upstreams import NoUpstreamError, NoUpstreams
from benchmarks.scale.lightweight_front import LightweightFront, open_log_sink, shared_settings
from benchmarks.scale.messages import common, discovery, fronts, real_fronts, status
from benchmarks.scale.messages.codec import MESSAGE_TYPES, decode, encode
from marbleglade.model.upstream import Upstream
from marbleglade.model.watch_event import Purge

SERVER = {"id": "box0", "addr": "127.0.0.1:1024", "cell": 0}
HOST_REPORT = fronts.HostReport(
    1.5,
    4096,
    0.01,
    [fronts.AppliedPurge("east-0", 1, 2, 0, 3, 4)],
    [fronts.FrontTraffic("east-0", 10, 20)],
    [fronts.FrontState("east-0", 1, 78, 2)],
    [fronts.CachedVersion("east-0", 5, 6, 7)],
    {"exception.x": 1},
)
MESSAGES = [
    common.Ready({"east": "127.0.0.1:4000"}, [SERVER]),
    common.Failed("why"),
    common.Done(),
    common.Collect(True),
    discovery.PublishPurge(1, 0, 2),
    discovery.PublishCaches([SERVER]),
    discovery.SilenceFollowers("east", 4, 1),
    discovery.SendPartialLine("east"),
    discovery.RestartNumbering("east"),
    discovery.QueryService(),
    discovery.ServiceReport(0.5, 4096, 100, 3),
    fronts.StartFronts(["east-0"], "127.0.0.1:4000", "", 8),
    fronts.StopFronts(["east-0"], True),
    fronts.CutFronts(["east-0"]),
    fronts.HealFronts(["east-0"]),
    HOST_REPORT,
    real_fronts.BeginLoad(),
    real_fronts.FinishLoad(),
    real_fronts.OriginPurge(1, 0),
    real_fronts.PurgeTime(1),
    real_fronts.RealFrontsReady(["a1"]),
    real_fronts.RealFrontsUsage([0.5], [4096], [17]),
    real_fronts.RealFrontsReport(10, 1.0, 0, 0, 0, ["note"]),
    status.StatusReport([status.ConfirmedPurge(1, 0, 2, 3, -1)], 5, 1, 2, ["east-0"]),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_is_decoded_as_it_was_encoded(message):
    assert decode(encode(message)) == message


def test_the_messages_above_include_every_type_but_records():
    """Records are sent only within reports."""
    records = {"AppliedPurge", "CachedVersion", "FrontTraffic", "FrontState", "ConfirmedPurge"}
    assert {type(message).__name__ for message in MESSAGES} == set(MESSAGE_TYPES) - records


@pytest.fixture
def front():
    sink = open_log_sink()
    yield LightweightFront("east-3", shared_settings(), sink)
    os.close(sink)


def test_a_lightweight_front_records_the_first_application_of_a_purge(front):
    for index, unix_ms in enumerate((100, 100, 200), 1):
        front.events.apply_and_publish(Purge(index, 7, 9, unix_ms))
    recorded = front.events.take_applied()
    assert [(one.front, one.start_ms, one.object, one.group, one.unix_ms) for one in recorded] == [
        ("east-3", front.start_ms, 7, 0, 100),
        ("east-3", front.start_ms, 7, 0, 200),
    ]
    assert front.events.take_applied() == []
    assert front.handler.events is front.events


def test_a_purge_removes_the_cached_version_of_its_object(front):
    front.refresh_cache()
    cached = list(front.cached_versions())
    front.events.apply_and_publish(Purge(1, cached[0].object, 0, cached[0].issued_ms + 1000))
    assert list(front.cached_versions()) == cached[1:]


def test_a_lightweight_front_has_the_requested_number_of_directory_entries(front):
    front.fill_directory(50)
    assert len(front.policy.directory) == 50


def test_a_load_report_without_upstreams_is_an_error():
    with pytest.raises(NoUpstreamError):
        NoUpstreams().request_load_report(Upstream(b"c"), 1)
