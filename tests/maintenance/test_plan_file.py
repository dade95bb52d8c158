"""Reader of maintenance plans: text format, and packed plans from another front."""

import zlib

import pytest
from google.protobuf import text_format

from marbleglade.maintenance.plan import Kind
from marbleglade.maintenance.plan_file import build_plan, find_errors, unpack_plan
from marbleglade.maintenance.work_pb2 import WorkOrder
from marbleglade.runtime.errors import InvalidConfigurationError

VALID = """asked_ms: 1700000000000 floor: 0.6 deadline_ms: 2000
job { front: 2 takes_ms: 20000 } job { place: "box1" zone: "a" after: "front 2" }
job { place: "hub1" kind: PARENT } limit { most: 2 kind: CACHE } limit { most: 1 zone: "a" }"""


def test_a_plan_is_read_completely():
    plan = build_plan(text_format.Parse(VALID, WorkOrder()))
    assert [(machine.name, machine.kind) for machine in plan.machines] == [
        ("front 2", Kind.FRONT),
        ("box1", Kind.CACHE),
        ("hub1", Kind.PARENT),
    ]
    assert plan.machines[1].after == ("front 2",)
    assert plan.min_serving_share == pytest.approx(0.6)
    assert [str(limit) for limit in plan.limits] == ["2 cache at once", "1 machine in a at once"]


def test_a_plan_survives_packing():
    message = text_format.Parse(VALID, WorkOrder())
    assert unpack_plan(zlib.compress(message.SerializeToString())) == build_plan(message)


@pytest.mark.parametrize(
    "text, error",
    [
        ("asked_ms: 1700000000 job { front: 1 }", "no Unix time"),
        ("asked_ms: 1700000000000", "no machine"),
        ("asked_ms: 1700000000000 job { }", "names no machine"),
        ("asked_ms: 1700000000000 job { front: 1 place: 'x' }", "or two"),
        ("asked_ms: 1700000000000 job { front: 1 } job { front: 1 }", "named twice"),
        ("asked_ms: 1700000000000 job { front: 1 kind: CACHE }", "is a front"),
        ("asked_ms: 1700000000000 job { place: 'x' kind: FRONT }", "is a place"),
        ("asked_ms: 1700000000000 job { front: 1 takes_ms: 1 }", "takes_ms is 1"),
        ("asked_ms: 1700000000000 job { front: 1 after: 'y' }", "which no job names"),
        (
            "asked_ms: 1700000000000 job { place: 'a' after: 'b' } job { place: 'b' after: 'a' }",
            "wait for each",
        ),
        ("asked_ms: 1700000000000 job { front: 1 } floor: 1.5", "floor"),
        ("asked_ms: 1700000000000 job { front: 1 } deadline_ms: 1", "deadline_ms"),
        ("asked_ms: 1700000000000 job { front: 1 } limit { }", "limit of 0"),
    ],
)
def test_each_error_of_a_plan_is_reported_and_none_is_accepted(text, error):
    message = text_format.Parse(text, WorkOrder())
    assert any(error in found for found in find_errors(message))
    with pytest.raises(InvalidConfigurationError):
        unpack_plan(zlib.compress(message.SerializeToString()))


@pytest.mark.parametrize("data", [b"", b"junk", zlib.compress(b"\xff" * 40), zlib.compress(b"x" * 100_000)])
def test_invalid_bytes_from_another_front_are_rejected(data):
    with pytest.raises(InvalidConfigurationError):
        unpack_plan(data)
