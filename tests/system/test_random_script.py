"""A front under random events gives one response to each request; the checker detects each violation."""

import pytest

from tests.system.random_script import run_scripts
from tests.system.script_checker import (
    AttemptReceived,
    AttemptRejected,
    ClientLeft,
    DrainAnnounced,
    PurgeAnnounced,
    RequestSent,
    ResponseReceived,
    ScriptChecker,
    object_body,
)


def test_no_front_violates_a_rule_whatever_clients_caches_and_discovery_do(tmp_path):
    assert run_scripts(tmp_path, [(11, ""), (12, ""), (13, "")]) == [[], [], []]


FAULTS = {
    "a second response": """
from marbleglade.transport import response_encoder
encode = response_encoder.encode_response
def encode_twice(tag, *arguments):
    return encode(tag, *arguments) * (2 if tag % 5 == 0 else 1)
response_encoder.encode_response = encode_twice
""",
    "after its client left": """
import gevent
from marbleglade.policy_driver import PolicyDriver
from marbleglade.transport.connection_pool import ConnectionPool
acquire = ConnectionPool.acquire
PolicyDriver.client_half_closed = PolicyDriver.client_disconnected = lambda self, request: None
ConnectionPool.take_idle = lambda self, *arguments: None
ConnectionPool.acquire = lambda self, *arguments: (gevent.sleep(0.45), acquire(self, *arguments))[1]
""",
    "after the drain of its cache": """
from marbleglade.model.upstream import UpstreamState
from marbleglade.state.upstream_registry import UpstreamRegistry
apply = UpstreamRegistry.apply
def apply_as_active(self, change, *more):
    for endpoint in change.endpoints:
        endpoint.state = UpstreamState.ACTIVE
    return apply(self, change, *more)
UpstreamRegistry.apply = apply_as_active
""",
    "no response": """
from marbleglade.runtime.shutdown import GracefulShutdown
GracefulShutdown.may_exit = lambda self, now, pending_responses: bool(self.requested_at)
""",
    "issued before a purge": """
from marbleglade.policy.cache_age import CacheAgeLimit
from marbleglade.state.local_cache import LocalCache
LocalCache.purge = lambda self, *arguments: None
CacheAgeLimit.age_limit = lambda self, *arguments: 0
""",
    "a second effect": """
from marbleglade.protocols.cache_protocol import UpstreamRequest
encode = UpstreamRequest.encode
UpstreamRequest.encode = lambda self: encode(self) * 2
""",
}


def test_the_checker_finds_each_seeded_fault(tmp_path):
    """One fault shows only if a client leaves within 0.15 s of its request, so it runs with three seeds."""
    seeds = {fault: [20 + number] for number, fault in enumerate(FAULTS)}
    seeds["after its client left"] += [41, 42]
    scripts = [(fault, seed) for fault, fault_seeds in seeds.items() for seed in fault_seeds]
    results = run_scripts(tmp_path, [(seed, FAULTS[fault]) for fault, seed in scripts])
    found = {fault: [] for fault in FAULTS}
    for (fault, _), violations in zip(scripts, results, strict=True):
        found[fault] += violations
    for fault, violations in found.items():
        assert any(fault in violation for violation in violations), (fault, violations)


def request(class_name="step"):
    return RequestSent(1.0, 0, 7, "t", 0.3, class_name, "9")


def response(at, status, body=b"", tag=7):
    return ResponseReceived(at, 0, tag, status, body)


@pytest.mark.parametrize(
    "events, violation",
    [
        ([], "no response"),
        ([response(1.1, "ok", b"x")], "no cache sent"),
        ([response(1.1, "full"), response(1.2, "full")], "second response"),
        ([response(1.1, "full", tag=8)], "response to an unknown request"),
        ([response(1.9, "full")], "after 0.90"),
        ([ClientLeft(1.1, "t"), AttemptReceived(1.5, "s1", "t")], "0.40 s after its client"),
        ([DrainAnnounced(1.0, "s1"), AttemptReceived(1.4, "s1", "t")], "0.40 s after the drain of its cache"),
        ([AttemptReceived(1.0, "s1", "t"), AttemptReceived(1.1, "s2", "t")], "second effect"),
        ([AttemptReceived(1.0, "s1", "t"), response(1.1, "full")], "may have run"),
        ([PurgeAnnounced(0.6, 600), response(1.1, "ok", object_body("9", 599))], "before a purge"),
        ([response(1.1, "ok", object_body("8", 599))], "no cache sent"),
        ([AttemptReceived(1.0, "s1", "u")], "attempt for an unknown request"),
    ],
)
def test_the_checker_names_each_violation_in_a_record(events, violation):
    assert any(violation in found for found in ScriptChecker().check([request(), *events]))


@pytest.mark.parametrize(
    "record",
    [
        [
            request(),
            AttemptReceived(1.0, "s1", "t"),
            AttemptRejected(1.1, "s1", "t"),
            AttemptReceived(1.2, "s2", "t"),
            response(1.3, "ok", object_body("9", 599)),
            PurgeAnnounced(0.8, 800),
        ],
        [request("page"), ClientLeft(1.1, "t"), AttemptReceived(1.2, "s1", "t")],
    ],
)
def test_the_checker_finds_nothing_in_a_record_of_what_is_allowed(record):
    assert ScriptChecker().check(record) == []
