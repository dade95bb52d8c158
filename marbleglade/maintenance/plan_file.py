"""Reader of maintenance plans, as protobuf text format in a file or as a packed plan from another front.

A plan is validated completely before any of it is used; all errors are reported at once.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from ..fleet.fleet_settings import MAX_FILE_BYTES, Bounds, read_text_format
from ..runtime.errors import InvalidConfigurationError
from .plan import ConcurrencyLimit, Kind, Machine, MaintenancePlan, front_name
from .work_pb2 import Job, WorkOrder
from .work_pb2 import Kind as KindCode

MAX_MACHINES = 2048
DEFAULT_MAX_DURATION_MS = 60_000
DEFAULT_DRAIN_TIMEOUT_MS = 10_000
DEFAULT_MIN_SERVING_SHARE = 0.5
TAKES_MS_BOUNDS = Bounds("takes_ms", 1_000, 86_400_000)
DEADLINE_MS_BOUNDS = Bounds("deadline_ms", 100, 600_000)
EARLIEST_UNIX_MS = 1_000_000_000_000  # a lower value is a time in seconds by mistake


def machine_name(job: Job) -> str:
    """Return the name of the machine that a job names."""
    return front_name(job.front) if job.HasField("front") else job.place


def find_errors(message: WorkOrder) -> Iterator[str]:
    """Yield a description of each error in a plan."""
    yield from _find_plan_errors(message)
    jobs: dict[str, Job] = {}
    for position, job in enumerate(message.job, 1):
        name = machine_name(job)
        if job.HasField("front") == bool(job.place):
            yield f"job {position} names no machine, or two: either front or place is expected"
            continue
        if name in jobs:
            yield f"{name} is named twice"
        jobs[name] = job
        yield from _find_job_errors(name, job)
    for name, job in jobs.items():
        for other in job.after:
            if other not in jobs:
                yield f"{name} comes after {other}, which no job names"
    if cycle := _find_cycle({name: list(job.after) for name, job in jobs.items()}):
        yield f"machines wait for each other: {', '.join(cycle)}"
    for limit in message.limit:
        if not limit.most:
            yield "a limit of 0 would let no machine go out of service, at least 1 is expected"


def _find_plan_errors(message: WorkOrder) -> Iterator[str]:
    if message.asked_ms < EARLIEST_UNIX_MS:
        yield "asked_ms is no Unix time in milliseconds"
    if not message.job and not message.withdrawn:
        yield "the plan names no machine and is not withdrawn"
    if len(message.job) > MAX_MACHINES:
        yield f"the plan names {len(message.job)} machines, at most {MAX_MACHINES} are allowed"
    if message.HasField("floor") and not 0 < message.floor < 1:
        yield f"floor is {message.floor:g}, not over 0 and under 1"
    has_deadline = message.HasField("deadline_ms")
    if has_deadline and (error := DEADLINE_MS_BOUNDS.violation(message.deadline_ms)):
        yield error


def _find_job_errors(name: str, job: Job) -> Iterator[str]:
    if job.HasField("front") and job.kind not in (KindCode.ANY, KindCode.FRONT):
        yield f"{name} is a front, but its kind is not FRONT"
    if job.place and job.kind == KindCode.FRONT:
        yield f"{name} is a place, but its kind is FRONT: a front is named by its number"
    if job.HasField("takes_ms") and (error := TAKES_MS_BOUNDS.violation(job.takes_ms)):
        yield f"{name}: {error}"


def _find_cycle(after: dict[str, list[str]]) -> list[str]:
    """Return the machines that can never go out of service, as each waits for another of them."""
    remaining = set(after)
    while ready := {name for name in remaining if not any(other in remaining for other in after[name])}:
        remaining -= ready
    return sorted(remaining)


def build_plan(message: WorkOrder) -> MaintenancePlan:
    """Build a plan from its protobuf message.

    Raises:
        InvalidConfigurationError: With all errors of the plan.
    """
    if errors := list(find_errors(message)):
        raise InvalidConfigurationError("; ".join(errors))
    limits = tuple(
        ConcurrencyLimit(limit.most, Kind(limit.kind) if limit.kind else None, limit.zone)
        for limit in message.limit
    )
    has_floor = message.HasField("floor")
    has_deadline = message.HasField("deadline_ms")
    return MaintenancePlan(
        message.asked_ms,
        machines=tuple(map(_build_machine, message.job)),
        limits=limits or tuple(ConcurrencyLimit(1, kind) for kind in Kind),
        min_serving_share=message.floor if has_floor else DEFAULT_MIN_SERVING_SHARE,
        drain_timeout_ms=message.deadline_ms if has_deadline else DEFAULT_DRAIN_TIMEOUT_MS,
        withdrawn=message.withdrawn,
    )


def _build_machine(job: Job) -> Machine:
    default_kind = Kind.FRONT if job.HasField("front") else Kind.CACHE
    return Machine(
        machine_name(job),
        Kind(job.kind or default_kind),
        job.zone,
        job.takes_ms if job.HasField("takes_ms") else DEFAULT_MAX_DURATION_MS,
        tuple(job.after),
    )


def pack_plan(message: WorkOrder) -> bytes:
    """Return a plan's packed form, in which fronts send it to each other."""
    return zlib.compress(message.SerializeToString(deterministic=True), 9)


@dataclass(slots=True, frozen=True)
class LoadedPlan:
    """A plan with its packed form."""

    plan: MaintenancePlan
    packed: bytes


def read_plan(path: str) -> LoadedPlan:
    """Read a plan from a file.

    Raises:
        InvalidConfigurationError: With all errors of the plan.
    """
    message = read_text_format(path, WorkOrder())
    try:
        return LoadedPlan(build_plan(message), pack_plan(message))
    except InvalidConfigurationError as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error


def unpack_plan(data: bytes) -> MaintenancePlan:
    """Read a packed plan that another front sent.

    Raises:
        InvalidConfigurationError: With all errors of the plan.
    """
    message = WorkOrder()
    decompressor = zlib.decompressobj()
    try:
        serialized = decompressor.decompress(data, MAX_FILE_BYTES)
        if decompressor.unconsumed_tail or not decompressor.eof or decompressor.unused_data:
            raise InvalidConfigurationError("packed plan is too long, or incomplete")
        message.ParseFromString(serialized)
    except (zlib.error, DecodeError) as error:
        raise InvalidConfigurationError(f"data is not a packed maintenance plan: {error}") from error
    return build_plan(message)
