"""Settings that other deployments choose or omit. `docs/crossings.md` has a line for each.

The order of events is forced by stand-ins that hold and release bytes, and by calls of the listeners.
"""

import json
import signal

import orjson
import pytest
from gevent import socket

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.request import CachedResponse, Request
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Endpoint, EndpointListChange
from marbleglade.policy.policy import Policy
from marbleglade.policy_driver import PolicyDriver
from marbleglade.runtime import clock
from marbleglade.runtime.counters import Counters
from marbleglade.service import startup_configuration
from marbleglade.settings.environment import read_environment
from marbleglade.settings.reader import InvalidSettingError
from marbleglade.state.decisions import AttemptOrder, RequestOutcome
from marbleglade.state.upstream_registry import UpstreamRegistry
from tests.harness.messages import REQUEST_ID, numbered_request, resp_array, with_entity_fields
from tests.harness.servers import LineServer
from tests.harness.settings import FRONT_SETTINGS, front_configuration
from tests.harness.units import NS_PER_MS
from tests.policy.policy_harness import PolicyHarness


@pytest.mark.parametrize(
    "is_cacheable, cache_response, client_response",
    [
        (False, b"HIT - 2\r\nok\r\n", (b"7", b"ok", b"", b"ok")),
        (False, b"HIT remark=MISS_ORIGIN,report=x1:2 0\r\n\r\n", (b"7", b"ok", b"", b"")),
        (False, b"HIT entity=4be0c1927d55a6f3,issued=5 1\r\nx\r\n", (b"7", b"ok", b"", b"x")),
        (False, b"HIT issued=5 1\r\nx\r\n", (b"7", b"full", b"pause=40", b"")),
        (True, b"HIT - 2\r\nok\r\n", (b"7", b"full", b"pause=40", b"")),
    ],
)
def test_an_uncacheable_object_is_served_without_entity_fields(
    front, is_cacheable, cache_response, client_response
):
    front.policy_driver.policy.parameters.request_classes[0].uncacheable = not is_cacheable
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    front.cache.sockets[0].sendall(REQUEST_ID + b" " + cache_response)
    assert sock.recv(4096) == resp_array(*client_response) and not front.local_cache.objects


def test_an_uncacheable_request_is_never_served_from_the_local_cache(front):
    policy = front.policy_driver.policy
    send_attempt = policy.handle_request
    policy.handle_request = lambda request: (
        front.policy_driver.serve_cached(request) if request.cached else send_attempt(request)
    )
    sock = front.send_request(REQUEST_ID + b" HIT entity=4be0c1927d55a6f3,issued=5 4\r\nbody\r\n")
    sock.recv(4096)
    policy.parameters.request_classes[0].uncacheable = True
    sock.sendall(front.request(8, "0000000000000008"))
    assert front.cache.wait_for_lines(2).startswith("do 0000000000000008")


def test_the_idempotency_key_of_a_request_is_sent_to_the_cache(front):
    sock = front.send_request(
        REQUEST_ID + b" HIT - 2\r\nok\r\n", more=",nonce=a31c3d6cffc90fc47fc97a47e35d8a29"
    )
    assert sock.recv(4096) == resp_array(b"7", b"ok", b"", b"ok")
    assert ",replay=a31c3d6cffc90fc47fc97a47e35d8a29 0" in front.cache.lines[0]
    assert with_entity_fields(b" HIT - ") != b" HIT - "


ABSENT = object()
FIRST_CLASS = ("Classes", 0)


def changed_settings(*path, value):
    """Return the usual settings with one value changed, or removed if it is `ABSENT`."""
    changed = orjson.loads(orjson.dumps(FRONT_SETTINGS))
    section = changed
    for key in path[:-1]:
        section = section[key]
    if value is ABSENT:
        del section[path[-1]]
    else:
        section[path[-1]] = value
    return changed


@pytest.mark.parametrize(
    "path, value, expected",
    [
        (("Classes",), [], "Classes"),
        (("Classes",), [7], "Classes[0]"),
        (("Zone",), -1, "Zone"),
        (("Zone",), 1.5, "Zone"),
        (("Zone",), True, "Zone"),
        *(
            ((*FIRST_CLASS, key), value, f"Classes[0].{key}")
            for key, value in (
                ("Deadline", 0),
                ("Deadline", -5),
                ("Deadline", 1e300),
                ("Deadline", ABSENT),
                ("Aim", 0),
                ("Aim", True),
                ("AimStretch", "x"),
                ("AimStretch", -1),
                ("Gain", []),
                ("KeyTtl", -1),
                ("Repeat", "maybe"),
                ("Group", []),
                ("Name", ""),
                ("Name", "a,b"),
                ("Name", "a b"),
                ("Name", "a=b"),
            )
        ),
        *(
            (("Limits", key), value, f"Limits.{key}")
            for key, value in (
                ("MaxAttempts", 0),
                ("MaxAttempts", 2.5),
                ("ConnectTimeout", -1),
                ("MaxOpen", -1),
                ("StreamsPerConn", {}),
            )
        ),
        (("Resolution",), 0, "Resolution"),
        (("Rules", "ColdFrom"), -1, "Rules.ColdFrom"),
        (("Rules", "Cold"), ABSENT, "Rules.Cold"),
        *(
            (("Specifics", key), value, f"Specifics.{key}")
            for key, value in (
                ("MaxAge", ["x"]),
                ("OneFlowKbPerS", "x"),
                ("CrewByZone", [1, -2]),
                ("ParentKind", -2),
            )
        ),
        (("Skus",), "box", "Skus"),
        (("Dcs",), [1], "Dcs"),
        (("Report",), ["x1"], "Report"),
    ],
)
def test_an_absurd_setting_is_rejected_by_name(path, value, expected):
    with pytest.raises(InvalidSettingError) as caught:
        read_environment(changed_settings(*path, value=value), 7)
    assert expected in str(caught.value) and "\n" not in str(caught.value)


def test_idempotency_by_key_needs_a_window_and_class_names_are_unique():
    for invalid in (
        changed_settings(
            *FIRST_CLASS, value=FRONT_SETTINGS["Classes"][0] | {"Repeat": "guarded", "KeyTtl": None}
        ),
        changed_settings("Classes", value=FRONT_SETTINGS["Classes"] * 2),
    ):
        with pytest.raises(InvalidSettingError, match=r"KeyTtl|twice"):
            read_environment(invalid, 7)


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": {"memory_mb": 0, "sockets": 300}},
        {"limits": {"memory_mb": 64, "sockets": 0}},
        {"limits": {"memory_mb": 64, "sockets": 1e300}},
        {"limits": []},
        {"known": {"index": -1, "updates": []}},
        {"flow_bytes_per_s": -1},
        {"link_bytes_per_s": "x"},
        {"peers": ["nowhere"]},
        {"known": []},
    ],
)
def test_an_absurd_startup_configuration_is_rejected_by_name(tmp_path, changes):
    (tmp_path / "c.json").write_text(json.dumps(front_configuration(**changes)))
    with pytest.raises(
        startup_configuration.InvalidConfigurationError,
        match="|".join(("limits", "known", "bytes_per_s", "peers")),
    ):
        startup_configuration.read_startup_configuration({"GW_CONFIG": str(tmp_path / "c.json")})


@pytest.mark.parametrize(
    "path, value",
    [
        *(
            (("Limits", key), ABSENT)
            for key in (
                "MaxRetryAfter",
                "RetryAfter",
                "ConnectTimeout",
                "IdleClose",
                "StreamsPerConn",
                "PeerMessages",
            )
        ),
        (("Limits", "ConnectTimeout"), 0.0),
        (("Dcs",), ABSENT),
        (("Dcs",), []),
        (("Skus",), ABSENT),
        (("Specifics", "ParentKind"), ABSENT),
        (("Specifics", "ParentKind"), -1),
        (("Specifics", "Sideways"), ABSENT),
        (("Specifics", "OneFlowKbPerS"), ABSENT),
        (("Specifics", "Tells"), ABSENT),
        (("Rules", "AnswerSlack"), ABSENT),
        ((*FIRST_CLASS, "Deadline"), 300.0),
        ((*FIRST_CLASS, "Deadline"), 30_000.0),
        ((*FIRST_CLASS, "Name"), "зимний-план"),
        (("Report",), None),
        (("Classes",), [FRONT_SETTINGS["Classes"][0] | {"Name": f"p{n}"} for n in range(40)]),
        (FIRST_CLASS, FRONT_SETTINGS["Classes"][0] | {"Repeat": "single_shot"}),
        (FIRST_CLASS, FRONT_SETTINGS["Classes"][0] | {"Repeat": "guarded", "Group": "cell"}),
    ],
)
@pytest.mark.parametrize("outcome", [AttemptResult.OK, AttemptResult.CONNECT_FAILED])
def test_requests_are_served_with_settings_that_other_deployments_omit_or_choose(path, value, outcome):
    environment = read_environment(changed_settings(*path, value=value), 7)
    assert environment.connect_timeout > 0 and environment.streams_per_connection > 0
    upstreams, counters = UpstreamRegistry(environment, clock.from_unix_ms), Counters()
    driver = PolicyDriver(environment.parameters, Policy, clock.now, 0, counters, lambda _action: None)
    rows = [("s1", "z", "box"), ("s2", "z", "box"), ("h1", "hubs", "hub"), ("o1", "hubs", "root")]
    change = EndpointListChange(
        1,
        True,
        [Endpoint(id, ("127.0.0.1", 9), zone, kind, 0, UpstreamState.ACTIVE, 0) for id, zone, kind in rows],
    )
    driver.update_endpoints(upstreams.apply(change).listed, True)
    for request_class in environment.parameters.request_classes:
        now = clock.now()
        request = Request(request_class, 9, 0, 4, 0.0, now, now + request_class.client_timeout)
        step = driver.next_step(request)
        assert isinstance(step, AttemptOrder)
        while isinstance(step, AttemptOrder):
            driver.report_result(step, outcome)
            step = driver.next_step(request)
        assert step.outcome is (
            RequestOutcome.SERVED if outcome is AttemptResult.OK else RequestOutcome.REJECTED
        )
        driver.forget(request)
    driver.run_timers()
    assert not len(driver.open_requests)


@pytest.mark.parametrize(
    "link, capacity",
    [
        ({}, 1.0),
        ({"link_bytes_per_s": 0}, 1.0),
        ({"link_bytes_per_s": None}, 1.0),
        ({"link_bytes_per_s": 4000}, 4.0),
        ({"link_bytes_per_s": 500}, 0.5),
    ],
)
def test_cached_objects_are_served_where_the_rate_of_the_fronts_link_is_not_configured(
    tmp_path, link, capacity
):
    """With only the rate of one transfer configured, objects were once cached and never served."""
    (tmp_path / "c.json").write_text(json.dumps(front_configuration(flow_bytes_per_s=1000, **link)))
    configuration = startup_configuration.read_startup_configuration({"GW_CONFIG": str(tmp_path / "c.json")})
    parameters = configuration.environment.parameters
    assert parameters.local_link_capacity == capacity
    harness = PolicyHarness(
        local_link_capacity=parameters.local_link_capacity, freshness_lifetime=60_000 * NS_PER_MS
    )
    harness.request(cached=CachedResponse(NS_PER_MS, harness.clock, None))
    assert harness.actions[-1][0] == "serve_cached"


def test_a_file_of_another_deployment_changes_nothing_and_is_logged(program, tmp_path):
    process, client_address, cache, discovery = program
    file, other = tmp_path / "c.json", LineServer()
    changed = json.loads(file.read_text()) | {"coordinator": ":".join(map(str, other.address))}
    changed["settings"]["Classes"][0]["Name"] = "theirs"
    changed["known"]["updates"].append({"index": 3, "evict": {"shard": 9, "unix_ms": 5}})
    file.write_text(json.dumps(changed))
    process.send_signal(signal.SIGHUP)
    while (line := orjson.loads(process.stderr.readline()))["event"] != "configuration_reload":
        pass
    assert "another deployment" in line["invalid"] and other.lines == [] and discovery.lines == ["follow 2"]
    sock = socket.create_connection(client_address)
    sock.sendall(numbered_request(2, 2))
    assert cache.wait_for_lines(1).startswith("do 0000000000000002")
    other.close()
